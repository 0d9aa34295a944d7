package core

import (
	"fmt"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// minPause is the shortest time without an event that counts as a pause.
	minPause = 500 * time.Millisecond
	// maxPause is the longest pause after which the node need not rejoin. It is
	// shorter than the time after which other nodes declare a silent node dead.
	maxPause = 3 * time.Second
	// wakePeriod is how long after a pause the node reads requests that may have waited
	// through the pause in the buffers of its connections.
	wakePeriod = 200 * time.Millisecond
)

// pause is the latest time in which the process did not run, because it was stopped, its
// machine was suspended or it got no processor time.
type pause struct {
	length  time.Duration
	endedAt time.Time
}

// maxWaited returns how long a request that is read now may have waited unread.
func (pa pause) maxWaited(now time.Time) time.Duration {
	if pa.endedAt.IsZero() || now.Sub(pa.endedAt) >= wakePeriod {
		return 0
	}
	return pa.length
}

// detectPause notices that the process was paused: it handled no event. A late tick alone
// is no pause, as a busy node handles other events meanwhile. After more than maxPause, the
// node rejoins the fleet, since other nodes may have declared it dead. detectPause runs
// before every event, because work that arrived during the pause may be handled before
// the next tick.
func (st *State) detectPause(event types.Event, now time.Time) []types.Effect {
	suspended := time.Duration(0)
	if tick, ok := event.(Tick); ok {
		suspended = tick.Suspended
	}
	last := st.lastEvent
	st.lastEvent = now
	gap := now.Sub(last) + suspended
	if !st.ticked || gap < minPause {
		return nil
	}
	st.pause = pause{length: gap, endedAt: now}
	refused := fault.New(fault.NotReady, "the node was paused").WithRetryAfter(defaultRetryAfter)
	if gap <= maxPause {
		detail := fmt.Sprintf("no event for %s, suspended for %s of it", gap.Round(time.Millisecond), suspended.Round(time.Millisecond))
		effects := []types.Effect{trace.Event{Kind: trace.NodePaused, Subject: st.fleet.Self().ID, Detail: detail}}
		if suspended < minPause {
			return effects
		}
		// The deadlines of queued work do not count the time of the suspend.
		return append(effects, st.admission.RefuseQueued(refused)...)
	}
	st.fleet.Rejoin(now)
	st.keys.ledger.MarkIncompleteBefore(now)
	effects := []types.Effect{
		trace.Event{Kind: trace.NodeRejoined, Subject: st.fleet.Self().ID, Detail: "paused for " + gap.Truncate(time.Millisecond).String()},
		ReadRoot{Epoch: st.fleet.Epoch()},
	}
	return append(effects, st.admission.RefuseQueued(refused)...)
}

// afterPause returns the work item as it has to be treated if it waited unread through the
// whole pause: its entry node may have given it up that much earlier, and then it must not
// start. Its deadline stays, since it may as well have been sent after the pause.
func (st *State) afterPause(work admit.WorkItem, now time.Time) admit.WorkItem {
	waited := st.pause.maxWaited(now)
	if waited == 0 {
		return work
	}
	work.StartBy = work.Deadline.Add(-waited)
	if !work.SoftDeadline.IsZero() {
		work.SoftDeadline = work.SoftDeadline.Add(-waited)
	}
	return work
}
