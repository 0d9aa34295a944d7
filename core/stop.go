package core

import (
	"time"

	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// propagationTime is the assumed time until every node knows that a node is
// stopping.
const propagationTime = 2 * time.Second

// stopProgress is the progress of a graceful stop.
type stopProgress struct {
	// linger is the configured minimum time between the request to stop and the
	// exit.
	linger time.Duration
	// limit is the maximum time between the request to stop and the exit, or 0 if
	// there is none.
	limit     time.Duration
	requested bool
	// endsAt is when the node exits at the latest, or zero.
	endsAt time.Time
	// lingerUntil is the earliest time at which the node may exit.
	lingerUntil time.Time
	// drained is true once the stop is complete.
	drained bool
}

// stopRequested starts a graceful stop: the node announces that it is leaving and
// refuses new work for its upstream from now on. As an entry node, it accepts
// calls until lingerUntil, if they end before the node exits.
func (st *State) stopRequested(now time.Time) []types.Effect {
	if st.stop.requested {
		return nil
	}
	st.stop.requested = true
	st.stop.lingerUntil = now.Add(st.lingerDuration())
	if st.stop.limit > 0 {
		st.stop.endsAt = now.Add(st.stop.limit)
	}
	st.fleet.AnnounceLeaving()
	effects := []types.Effect{trace.Event{Kind: trace.NodeStopping, Subject: st.fleet.Self().ID}}
	effects = append(effects, st.fleet.Push()...)
	return append(effects, st.electDelegate()...)
}

// lingerDuration returns the minimum time for which a stopping node keeps running.
// If the node accepts work for an upstream, it must keep answering work items
// whose keys are in its ledger until all entry nodes know of the stop and send it
// no new keys.
func (st *State) lingerDuration() time.Duration {
	if !st.fleet.Self().AcceptsWork() {
		return st.stop.linger
	}
	return max(st.stop.linger, st.keys.limits.Margin+propagationTime)
}

// checkDrained completes a graceful stop once the linger time is over and no
// request is in flight.
func (st *State) checkDrained(now time.Time) []types.Effect {
	if !st.stop.requested || st.stop.drained || now.Before(st.stop.lingerUntil) {
		return nil
	}
	if st.calls.Len() > 0 || len(st.limits.parked) > 0 || st.admission.Running() > 0 || st.admission.Queued() > 0 {
		return nil
	}
	st.stop.drained = true
	st.fleet.AnnounceLeft()
	return append(st.fleet.Push(), Drained{})
}

// outlives reports whether a call with the given deadline may still run when the node
// has to exit. Its answer would then be cut.
func (sp stopProgress) outlives(deadline time.Time) bool {
	return !sp.endsAt.IsZero() && deadline.After(sp.endsAt)
}
