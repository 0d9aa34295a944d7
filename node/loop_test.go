package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// TestSuspendIsNoticedBeforeWorkIsRead checks that work that is read after a suspend and
// before the next tick is not taken for fresh.
func TestSuspendIsNoticedBeforeWorkIsRead(t *testing.T) {
	check := is.New(t)
	now, suspended := time.Now(), time.Duration(0)
	var effects []types.Effect
	lp := &loop{
		state:     core.New(fleet.Member{ID: "a", Zone: "kolkata", Address: "10.0.0.1:1", StartedAt: now}),
		now:       func() time.Time { return now },
		run:       func(effect types.Effect) { effects = append(effects, effect) },
		suspended: func() time.Duration { return suspended },
	}
	rejoined := func() bool {
		for _, effect := range effects {
			if event, ok := effect.(trace.Event); ok && event.Kind == trace.NodeRejoined {
				return true
			}
		}
		return false
	}
	work := admit.WorkItem{ID: 1, Deadline: now.Add(time.Second)}
	lp.post(core.Tick{})
	lp.post(admit.Arrived{Work: work})
	check.True(!rejoined())
	suspended = 5 * time.Second
	lp.post(admit.Arrived{Work: work})
	check.True(rejoined())
}
