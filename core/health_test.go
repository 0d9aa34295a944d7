package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// TestFaultsAreReported checks which outcomes of work raise the fault share that a
// node reports for its upstream, and that the fault share decays without work.
func TestFaultsAreReported(t *testing.T) {
	for _, test := range []struct {
		name  string
		ended admit.Ended
		leave bool
		want  bool
	}{
		{"served", admit.Ended{Outcome: fault.Ran, Complete: true}, false, false},
		{"failed", admit.Ended{Outcome: fault.Ran, Complete: true, ServerFault: true}, false, true},
		{"broken off", admit.Ended{Outcome: fault.Unknown, Err: fault.New(fault.BrokenAnswer, "cut")}, false, true},
		{"not run", admit.Ended{Outcome: fault.NotRun, Err: fault.New(fault.Overloaded, "full")}, false, false},
		{"caller left", admit.Ended{Outcome: fault.Unknown, Err: fault.New(fault.BrokenAnswer, "canceled")}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			sn := newNode(t, 1, 2)
			for range 50 {
				sn.work(1, time.Second)
				test.ended.ID, test.ended.Elapsed = types.WorkID(sn.lastID), 10*time.Millisecond
				if test.leave {
					sn.step(admit.Canceled{ID: test.ended.ID})
				}
				sn.now = sn.now.Add(10 * time.Millisecond)
				sn.step(test.ended)
			}
			check.Equal(sn.state.Load(sn.now).FaultShare > 0.8, test.want)
			check.True(sn.state.Load(sn.now.Add(20*time.Second)).FaultShare < 0.02)
		})
	}
}
