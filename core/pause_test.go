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
		// wantStart is the time left to start the work, or 0 if it is not limited.
		wantStart time.Duration
	}{
		{"stopped, the deadline may have passed", 1500 * time.Millisecond, 0, time.Second, 0, false, 0, 0},
		{"stopped, time is left in any case", 1500 * time.Millisecond, 0, 4 * time.Second, 0, true, 4 * time.Second, 2500 * time.Millisecond},
		{"stopped, read a little later", 1500 * time.Millisecond, 0, time.Second, 100 * time.Millisecond, false, 0, 0},
		{"stopped, sent after the pause", 1500 * time.Millisecond, 0, time.Second, 300 * time.Millisecond, true, time.Second, 0},
		{"suspended", 0, 1500 * time.Millisecond, time.Second, 0, false, 0, 0},
		{"ticks a little late", 300 * time.Millisecond, 0, 200 * time.Millisecond, 0, true, 200 * time.Millisecond, 0},
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
					check.Equal(ef.Work.StartBy.IsZero(), test.wantStart == 0)
					if test.wantStart > 0 {
						check.Equal(ef.Work.StartBy.Sub(sn.now), test.wantStart)
					}
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

// busy lets time pass in which the node handles events, but no tick.
func (sn *singleNode) busy(limit time.Duration) {
	for end := sn.now.Add(limit); sn.now.Before(end); {
		sn.now = sn.now.Add(tickInterval)
		sn.step(core.RecordRead{})
	}
}

// callDeadlines returns when the node gives a call up, and until when its first attempt
// may run, both from now.
func (sn *singleNode) callDeadlines(limit time.Duration) (call, attempt time.Duration) {
	sn.lastID++
	arrived := flow.CallArrived{Call: types.CallID(sn.lastID), Request: "r", Target: route.Request{Method: "POST", Path: "/s0"}, Limit: types.Some(limit)}
	for _, effect := range sn.step(arrived) {
		switch ef := effect.(type) {
		case types.SetTimer:
			if ef.Timer.Kind == types.CallDeadline {
				call = ef.At.Sub(sn.now)
			}
		case flow.StartAttempt:
			attempt = ef.Deadline.Sub(sn.now)
		}
	}
	return call, attempt
}

// TestNoCallIsGivenUpBeforeItsTimeoutAfterAPause guards against calls that end early,
// while their upstream is at work, because the node was paused or its ticks were late.
func TestNoCallIsGivenUpBeforeItsTimeoutAfterAPause(t *testing.T) {
	for name, pass := range map[string]func(sn *singleNode){
		"late tick":       func(sn *singleNode) { sn.busy(600 * time.Millisecond) },
		"stopped process": func(sn *singleNode) { sn.now = sn.now.Add(700 * time.Millisecond) },
		"suspend":         func(sn *singleNode) { sn.step(core.Tick{Suspended: 700 * time.Millisecond}) },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			sn := newNode(t, 1, 3)
			sn.ticks(time.Second)
			pass(sn)
			call, attempt := sn.callDeadlines(900 * time.Millisecond)
			check.Equal(call, 900*time.Millisecond)
			check.Equal(attempt, 900*time.Millisecond)
		})
	}
}

// TestNoRunIsBrokenOffBeforeItsDeadlineAfterAPause guards against owners that break off a
// run while its entry node still waits, because they were paused or their ticks were late.
func TestNoRunIsBrokenOffBeforeItsDeadlineAfterAPause(t *testing.T) {
	for name, pass := range map[string]func(sn *singleNode){
		"late tick":       func(sn *singleNode) { sn.busy(600 * time.Millisecond) },
		"stopped process": func(sn *singleNode) { sn.now = sn.now.Add(700 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			sn := newNode(t, 1, 1)
			sn.ticks(time.Second)
			pass(sn)
			effects := sn.work(1, 2*time.Second)
			dispatched, _, _ := countOutcomes(effects)
			check.Equal(dispatched, 1)
			for _, effect := range effects {
				if ef, ok := effect.(admit.Dispatch); ok {
					check.Equal(ef.Work.Deadline.Sub(sn.now), 2*time.Second)
				}
			}
		})
	}
}

// TestBusyNodeRefusesNothingForALateTick guards against a node that takes a late tick for a
// pause, though it handles events, and refuses what may have waited through it.
func TestBusyNodeRefusesNothingForALateTick(t *testing.T) {
	check := is.New(t)
	sn := newNode(t, 1, 3)
	sn.ticks(time.Second)
	sn.busy(600 * time.Millisecond)
	call, _ := sn.callDeadlines(400 * time.Millisecond)
	check.Equal(call, 400*time.Millisecond)
	dispatched, _, _ := countOutcomes(sn.work(1, 400*time.Millisecond))
	check.Equal(dispatched, 1)
}

// TestBusyNodeDoesNotRejoinForLateTicks guards against a node that handles events, but rejoins
// the fleet and refuses its work because no tick has come for long.
func TestBusyNodeDoesNotRejoinForLateTicks(t *testing.T) {
	check := is.New(t)
	sn := newNode(t, 1, 3)
	sn.ticks(time.Second)
	sn.busy(4 * time.Second)
	check.True(sn.state.Ready())
	dispatched, _, _ := countOutcomes(sn.work(1, time.Second))
	check.Equal(dispatched, 1)
}
