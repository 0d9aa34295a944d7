package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// TestFaultsAreReported checks which ends of work count against an upstream
// that announces itself as ready all the while.
func TestFaultsAreReported(t *testing.T) {
	for _, test := range []struct {
		name  string
		ended admit.Ended
		leave bool
		want  bool
	}{
		{"served", admit.Ended{Ran: fault.Ran, Whole: true}, false, false},
		{"failed", admit.Ended{Ran: fault.Ran, Whole: true, ServerFault: true}, false, true},
		{"broken off", admit.Ended{Ran: fault.Unknown, Err: fault.New(fault.BrokenAnswer, "cut")}, false, true},
		{"not run", admit.Ended{Ran: fault.NotRun, Err: fault.New(fault.Overloaded, "full")}, false, false},
		{"caller left", admit.Ended{Ran: fault.Unknown, Err: fault.New(fault.BrokenAnswer, "canceled")}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			sg := newSingle(t, 1, 2)
			for range 50 {
				sg.work(1, time.Second)
				test.ended.ID, test.ended.Elapsed = types.WorkID(sg.last), 10*time.Millisecond
				if test.leave {
					sg.step(admit.Canceled{ID: test.ended.ID})
				}
				sg.now = sg.now.Add(10 * time.Millisecond)
				sg.step(test.ended)
			}
			check.Equal(sg.state.Load(sg.now).Faults > 0.8, test.want)
			check.True(sg.state.Load(sg.now.Add(20*time.Second)).Faults < 0.02)
		})
	}
}
