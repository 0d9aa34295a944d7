package core

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// readPatience is how long a delegate waits for the platform's answer before it
	// steps down.
	readPatience = 500 * time.Millisecond
	// detachedInterval is the average time between two reads by which the detached
	// nodes of a zone, taken together, check whether they reach the platform again.
	detachedInterval = time.Second
)

// PollRoot is the effect to read the platform's configuration root, offer it to the
// state machine and report the end of the read with RootPolled.
type PollRoot struct{}

// Effect implements types.Effect.
func (PollRoot) Effect() {}

// RootPolled reports that a read requested by PollRoot ended. Err is nil if the platform
// answered.
type RootPolled struct{ Err *fault.Error }

// Event implements types.Event.
func (RootPolled) Event() {}

// WatchFailed reports that the watch of a delegate that does not poll has failed.
type WatchFailed struct{}

// Event implements types.Event.
func (WatchFailed) Event() {}

// WithPolling makes a delegate read the platform's configuration root every interval on
// average, besides watching it.
func WithPolling(interval time.Duration) Option {
	return func(se *settings) { se.pollInterval = interval }
}

// rootPoller schedules the reads of the platform's configuration root. Delegates read
// it so that a version arrives although watches are late, and detached nodes read it to
// learn when the platform answers them again.
type rootPoller struct {
	interval time.Duration
	rand     *rand.Rand
	due      time.Time
	// askedAt is when the pending read began, or zero if none is pending.
	askedAt  time.Time
	delegate bool
}

// pollRoot starts a read if one is due. A delegate whose read is not answered in time
// steps down: alive nodes are not of use as delegates if the platform does not answer
// them.
func (st *State) pollRoot(now time.Time) []types.Effect {
	po := &st.poller
	effects := st.delegatePolling(now)
	if !po.askedAt.IsZero() {
		if po.delegate && now.Sub(po.askedAt) >= readPatience {
			return append(effects, st.detach(fault.New(fault.PlatformUnavailable, "no answer within %s", readPatience))...)
		}
		return effects
	}
	self := st.fleet.Self()
	polls := po.delegate && po.interval > 0 || self.Detached && !self.Leaving
	if !polls || now.Before(po.due) {
		return effects
	}
	po.askedAt = now
	po.due = now.Add(po.wait(self.Detached, st.fleet.DetachedInZone()))
	return append(effects, PollRoot{})
}

// delegatePolling notes whether this node is a delegate. One that has just been elected
// reads at once. It reports a change if delegates poll.
func (st *State) delegatePolling(now time.Time) []types.Effect {
	po := &st.poller
	if po.delegate == st.fleet.IsDelegate() {
		return nil
	}
	po.delegate = !po.delegate
	detail := "ended"
	if po.delegate {
		detail = "began"
		po.due = now
	}
	if po.interval == 0 {
		return nil
	}
	return []types.Effect{trace.Event{Kind: trace.PollingChanged, Subject: st.fleet.Self().ID, Detail: detail}}
}

// wait returns the time until the next read, between half and one and a half times the
// average.
func (po *rootPoller) wait(detached bool, detachedInZone int) time.Duration {
	average := po.interval
	if detached {
		average = detachedInterval * time.Duration(detachedInZone)
	}
	return average/2 + time.Duration(po.rand.Int64N(int64(average)))
}

func (st *State) rootPolled(event RootPolled) []types.Effect {
	st.poller.askedAt = time.Time{}
	if event.Err != nil {
		return st.detach(event.Err)
	}
	if !st.fleet.Self().Detached {
		return nil
	}
	recovered := trace.Event{Kind: trace.PlatformRecovered, Subject: st.fleet.Self().ID, Detail: "read"}
	return append(st.fleet.SetDetached(false), recovered)
}

// detach announces that the platform does not answer this node's reads, so that other
// nodes of the zone become delegates in its place.
func (st *State) detach(err *fault.Error) []types.Effect {
	if st.fleet.Self().Detached {
		return nil
	}
	failed := trace.Event{Kind: trace.PlatformFailed, Subject: st.fleet.Self().ID, Detail: "read: " + err.Error()}
	return append(st.fleet.SetDetached(true), failed)
}
