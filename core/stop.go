package core

import (
	"time"

	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// propagationTime is the assumed time until every node knows that a node is
// stopping.
const propagationTime = 2 * time.Second

// ownerDrainTime is how long before the end of the linger time a stopping node ceases to
// accept work for its upstream: entry nodes learn of it, and what runs ends.
const ownerDrainTime = 700 * time.Millisecond

// stopProgress is the progress of a graceful stop.
type stopProgress struct {
	// linger is the configured minimum time between the request to stop and the
	// exit.
	linger time.Duration
	// limit is the maximum time between the request to stop and the exit, or 0 if
	// there is none.
	limit     time.Duration
	requested bool
	// closesAt is when the node ceases to accept work for its upstream, and closed is
	// true once it has.
	closesAt time.Time
	closed   bool
	// endsAt is when the node exits at the latest, or zero.
	endsAt time.Time
	// lingerUntil is the earliest time at which the node may exit.
	lingerUntil time.Time
	// drained is true once the stop is complete.
	drained bool
}

// stopRequested starts a graceful stop. As an entry node, the node accepts calls until
// lingerUntil, if they end before it exits. As an owner node, it accepts work until
// closesAt, so that its upstream, which goes on, stands idle only for the end of the stop.
func (st *State) stopRequested(now time.Time) []types.Effect {
	if st.stop.requested {
		return nil
	}
	st.stop.requested = true
	st.stop.lingerUntil = now.Add(st.lingerDuration())
	st.stop.closesAt = now
	if st.keys.limits.Margin == 0 {
		st.stop.closesAt = st.stop.lingerUntil.Add(-ownerDrainTime)
	}
	if st.stop.limit > 0 {
		st.stop.endsAt = now.Add(st.stop.limit)
	}
	effects := []types.Effect{trace.Event{Kind: trace.NodeStopping, Subject: st.fleet.Self().ID}}
	return append(effects, st.closeOwner(now)...)
}

// closeOwner makes a stopping node announce that it is leaving and refuse new work for its
// upstream, once it is time. Where idempotency keys are in use, it is time at once: all
// entry nodes have to know of it before the node exits.
func (st *State) closeOwner(now time.Time) []types.Effect {
	if !st.stop.requested || st.stop.closed || now.Before(st.stop.closesAt) {
		return nil
	}
	st.stop.closed = true
	st.fleet.AnnounceLeaving()
	return append(st.fleet.Push(), st.electWatch()...)
}

// superseded starts a graceful stop of a node whose upstream belongs to a later process.
func (st *State) superseded(now time.Time) []types.Effect {
	effects := st.stopRequested(now)
	st.stop.closesAt = now
	return append(effects, st.closeOwner(now)...)
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
	effects := st.closeOwner(now)
	if !st.stop.requested || st.stop.drained || now.Before(st.stop.lingerUntil) {
		return effects
	}
	if st.calls.Len() > 0 || len(st.limits.parked) > 0 || st.admission.Running() > 0 || st.admission.Queued() > 0 {
		return effects
	}
	st.stop.drained = true
	st.fleet.AnnounceLeft()
	return append(append(effects, st.fleet.Push()...), Drained{})
}

// outlives reports whether a call with the given deadline may still run when the node
// has to exit. Its answer would then be cut.
func (sp stopProgress) outlives(deadline time.Time) bool {
	return !sp.endsAt.IsZero() && deadline.After(sp.endsAt)
}
