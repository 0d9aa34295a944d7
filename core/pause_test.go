package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// ticks lets time pass with the usual ticks.
func (sn *singleNode) ticks(limit time.Duration) {
	for end := sn.now.Add(limit); sn.now.Before(end); {
		sn.now = sn.now.Add(tickInterval)
		sn.step(core.Tick{})
	}
}

// TestOwnerThatWakesDoesNotDispatchWorkGivenUp guards against work that waited unread
// while its owner was paused and that the owner takes for fresh: the entry node has
// answered its caller by then.
func TestOwnerThatWakesDoesNotDispatchWorkGivenUp(t *testing.T) {
	for _, test := range []struct {
		name             string
		stopped, suspend time.Duration
		left, after      time.Duration
		want             bool
		wantLeft         time.Duration
	}{
		{"stopped, the deadline may have passed", 1500 * time.Millisecond, 0, time.Second, 0, false, 0},
		{"stopped, time is left in any case", 1500 * time.Millisecond, 0, 4 * time.Second, 0, true, 2500 * time.Millisecond},
		{"stopped, read a little later", 1500 * time.Millisecond, 0, time.Second, 100 * time.Millisecond, false, 0},
		{"stopped, sent after the pause", 1500 * time.Millisecond, 0, time.Second, 300 * time.Millisecond, true, time.Second},
		{"suspended", 0, 1500 * time.Millisecond, time.Second, 0, false, 0},
		{"ticks a little late", 300 * time.Millisecond, 0, 200 * time.Millisecond, 0, true, 200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			sn := newUnannouncedNode(t)
			sn.ticks(time.Second)
			sn.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
			sn.now = sn.now.Add(test.stopped)
			if test.suspend > 0 {
				sn.step(core.Tick{Suspended: test.suspend})
			}
			if test.after > 0 {
				sn.step(core.Tick{})
				sn.ticks(test.after)
			}
			effects := sn.work(1, test.left)
			dispatched, refused, _ := countOutcomes(effects)
			check.Equal(dispatched == 1, test.want)
			if !test.want {
				check.Equal(refused[0].Outcome, fault.NotRun)
				return
			}
			for _, effect := range effects {
				if ef, ok := effect.(admit.Dispatch); ok {
					check.Equal(ef.Work.Deadline.Sub(sn.now), test.wantLeft)
				}
			}
		})
	}
}

// TestQueuedWorkIsRefusedAfterASuspend checks that work which waited while the machine
// was suspended is not dispatched by its deadline, which does not count that time.
func TestQueuedWorkIsRefusedAfterASuspend(t *testing.T) {
	check := is.New(t)
	sn := newUnannouncedNode(t)
	sn.ticks(time.Second)
	sn.announce(core.Announcement{Service: "s0", Slots: 1, Connections: 100})
	sn.work(2, time.Second)
	_, refused, _ := countOutcomes(sn.step(core.Tick{Suspended: 1500 * time.Millisecond}))
	check.Equal(len(refused), 1)
	check.Equal(refused[0].Outcome, fault.NotRun)
}

// TestEntryThatWakesDoesNotSendWhatItsCallerGaveUp checks that a call that may have
// waited unread for its caller's whole time limit is not sent on.
func TestEntryThatWakesDoesNotSendWhatItsCallerGaveUp(t *testing.T) {
	check := is.New(t)
	sn := newNode(t, 1, 3)
	call := func(limit time.Duration) (sent bool, err *fault.Error) {
		sn.lastID++
		target := route.Request{Method: "GET", Path: "/s0"}
		arrived := flow.CallArrived{Call: types.CallID(sn.lastID), Request: "r", Target: target, Limit: types.Some(limit)}
		for _, effect := range sn.step(arrived) {
			switch ef := effect.(type) {
			case flow.StartAttempt:
				sent = true
			case flow.Fail:
				err = ef.Err
			}
		}
		return sent, err
	}
	sn.ticks(time.Second)
	sent, _ := call(600 * time.Millisecond)
	check.True(sent)
	sn.now = sn.now.Add(800 * time.Millisecond)
	sent, err := call(600 * time.Millisecond)
	check.True(!sent)
	check.Equal(err.Outcome, fault.NotRun)
	check.True(err.RetryAfter > 0)
	sn.ticks(300 * time.Millisecond)
	sent, _ = call(600 * time.Millisecond)
	check.True(sent)
}
