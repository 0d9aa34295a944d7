package core

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// announcementExpiry is how long an announcement is valid without a renewal.
const announcementExpiry = 10 * time.Second

// leavingHold is how long a process gets no work after an answer of it said that it
// leaves, although its announcements do not. A process that leaves has ended by then.
const leavingHold = time.Minute

// reportedLimitChange is the relative change of the upstream's rate limit from which an
// event is recorded.
const reportedLimitChange = 0.1

// localUpstream is the state of the upstream that this node owns.
type localUpstream struct {
	announcement Announcement
	// known is true while the announcement is valid.
	known bool
	// renewedAt is when the announcement was last received.
	renewedAt time.Time
	// departedAt is when this node received the end announcement of a process that
	// it did not know. It is zero if there was none, or if the record has expired.
	departedAt time.Time
	// readyAt is the time since which the upstream has accepted work without a
	// break.
	readyAt time.Time
	// leavingStatedAt is when an answer of the process last said that the process
	// leaves, or zero if none did or the process has announced it since.
	leavingStatedAt time.Time
	// unreachable is true if a connection to the upstream failed after its last
	// announcement.
	unreachable bool
	// liveness is what the announcements since this node's start prove.
	liveness liveness
	// faultShare estimates the fraction of recent work that failed at the
	// upstream.
	faultShare stat.HitRate
}

// announced applies an announcement of the local upstream, unless a newer one
// was applied before.
func (st *State) announced(announcement Announcement, now time.Time) []types.Effect {
	st.expireDeparture(now)
	last := st.upstream.announcement
	if announcement.Ending && announcement.Process != "" && last == (Announcement{}) {
		return st.recordUnknownDeparture(announcement, now)
	}
	if !announcement.supersedes(last) {
		detail := fmt.Sprintf("process %s sequence %d came after process %s sequence %d", announcement.Process, announcement.Sequence, last.Process, last.Sequence)
		return []types.Effect{trace.Event{Kind: trace.AnnouncementIgnored, Subject: st.fleet.Self().ID, Detail: detail}}
	}
	st.upstream.unreachable = false
	if announcement.Ending {
		st.upstream.announcement.Ending = true
		effects := st.forgetUpstream("it ended")
		if !last.Leaving && !last.Ending {
			effects = append(effects, st.recordDeparture()...)
		}
		return effects
	}
	announcement, confirmed := st.holdLeaving(announcement, now)
	effects := st.switchUpstream(announcement, now)
	if last.Leaving && !announcement.Leaving {
		st.upstream.readyAt = now
	}
	changed := confirmed || !st.upstream.known || last.Leaving != announcement.Leaving || !announcement.sameProcess(last)
	st.upstream.known, st.upstream.departedAt = true, time.Time{}
	st.upstream.announcement = announcement
	st.upstream.renewedAt = now
	changed = st.provenBy(announcement, now) || changed
	effects = append(effects, st.refreshUpstream(now)...)
	if !changed {
		return effects
	}
	kind := trace.UpstreamAnnounced
	if announcement.Leaving {
		kind = trace.UpstreamLeft
		effects = append(effects, st.recordDeparture()...)
	}
	detail := fmt.Sprintf("service %s process %s slots %d", announcement.Service, announcement.Process, announcement.Slots)
	return append(effects, trace.Event{Kind: kind, Subject: st.fleet.Self().ID, Detail: detail})
}

// recordUnknownDeparture records the end of a process that is unknown to this
// node, as happens after a restart of the node. The record's start time is set to
// now: the process started earlier, so its late announcements are recognized by
// their start time and ignored.
func (st *State) recordUnknownDeparture(announcement Announcement, now time.Time) []types.Effect {
	announcement.StartedAt = now.Round(0)
	st.upstream.announcement, st.upstream.departedAt = announcement, now
	return append(st.recordDeparture(), trace.Event{Kind: trace.UpstreamLeft, Subject: st.fleet.Self().ID, Detail: "process " + string(announcement.Process) + " ended before it was known"})
}

// expireDeparture removes the record of an unknown process that ended more than
// announcementExpiry ago. Late announcements of that process can no longer arrive
// then, so announcements without a start time are accepted again.
func (st *State) expireDeparture(now time.Time) {
	if departed := st.upstream.departedAt; !departed.IsZero() && now.Sub(departed) > announcementExpiry {
		st.upstream.announcement, st.upstream.departedAt = Announcement{}, time.Time{}
	}
}

// switchUpstream directs work to the process and address in an announcement if
// either differs from the last announcement, or if no upstream was known. If the
// process changed, work that is queued for the old process is refused.
func (st *State) switchUpstream(announcement Announcement, now time.Time) []types.Effect {
	last := st.upstream.announcement
	if st.upstream.known && announcement.sameProcess(last) && announcement.Address == last.Address {
		return nil
	}
	effects := []types.Effect{UseUpstream{Process: announcement.Process, Address: announcement.Address}}
	if st.upstream.known && announcement.sameProcess(last) {
		return effects
	}
	st.upstream.readyAt = now
	effects = append(effects, st.refuseQueued(fault.NoUpstream, "another upstream took its place")...)
	if announcement.sameProcess(last) {
		return effects
	}
	return append(effects, st.setRateLimit(0, now)...)
}

// refreshUpstream updates the slots and the node's membership record. If the
// announcement has expired, refreshUpstream removes the upstream. It does nothing while the
// upstream may have departed before this node started. If the upstream
// is leaving or closed, queued work is refused so that it can run at another
// upstream, and running work continues.
func (st *State) refreshUpstream(now time.Time) []types.Effect {
	if !st.upstream.known || !st.record.open || !st.upstreamProven(now) {
		return nil
	}
	if now.Sub(st.upstream.renewedAt) > announcementExpiry {
		return st.forgetUpstream("its announcement expired")
	}
	announcement := st.upstream.announcement
	upstream := fleet.Upstream{
		Slots:       announcement.Slots,
		Connections: announcement.Connections,
		WarmUp:      announcement.WarmUp,
		ReadyAt:     st.upstream.readyAt,
		Leaving:     announcement.Leaving || st.retired(now),
		Version:     announcement.Version,
	}
	if self := st.fleet.Self(); self.Service != announcement.Service || self.Upstream != types.Some(upstream) {
		st.fleet.SetUpstream(announcement.Service, types.Some(upstream))
	}
	effective := st.effectiveRule(st.fleet.Self(), now)
	var effects []types.Effect
	switch {
	case announcement.Leaving:
		effects = st.refuseQueued(fault.Closed, "the upstream is leaving")
	case !effective.open:
		effects = st.refuseQueued(fault.Closed, "the upstream is closed at this hour")
	}
	return append(effects, st.admission.SetSlots(effective.slots(upstream), now)...)
}

// forgetUpstream removes the upstream and refuses its queued work. It keeps the
// last announcement, so that late announcements are recognized.
func (st *State) forgetUpstream(reason string) []types.Effect {
	if !st.upstream.known {
		return nil
	}
	st.upstream = localUpstream{announcement: st.upstream.announcement, leavingStatedAt: st.upstream.leavingStatedAt, liveness: st.upstream.liveness}
	st.fleet.SetUpstream("", types.None[fleet.Upstream]())
	event := trace.Event{Kind: trace.UpstreamLeft, Subject: st.fleet.Self().ID, Detail: reason}
	return append(st.refuseQueued(fault.NoUpstream, "the upstream is gone"), event)
}

// refuseQueued refuses all queued work.
func (st *State) refuseQueued(kind fault.Kind, reason string) []types.Effect {
	if st.admission.Queued() == 0 {
		return nil
	}
	return st.admission.RefuseQueued(fault.New(kind, "%s", reason).WithRetryAfter(defaultRetryAfter))
}

// workEnded frees the slot of a work item that ended. If the upstream could not
// be reached, the upstream gets no more work until its next announcement.
func (st *State) workEnded(event admit.Ended, now time.Time) []types.Effect {
	effects := st.keys.ledger.RecordEnd(event, now)
	effects = append(effects, st.recordRun(event, now)...)
	if event.Err != nil && event.Err.Kind == fault.Unreachable && st.upstream.known && !st.upstream.unreachable {
		st.upstream.unreachable = true
		effects = append(effects, trace.Event{Kind: trace.UpstreamLeft, Subject: st.fleet.Self().ID, Detail: event.Err.Message})
		effects = append(effects, st.refuseQueued(fault.NoUpstream, "the upstream takes no connections")...)
	}
	if event.Outcome != fault.NotRun && !event.UpstreamEnded && !st.admission.Aborted(event.ID) {
		st.upstream.faultShare.Observe(event.ServerFault || !event.Complete, now)
		st.recordAnswer(event, now)
	}
	effects = append(effects, st.applyDemand(event.Demand, now)...)
	st.admission.RecordAnswerSize(event.ID, event.Size)
	return append(effects, st.admission.Finish(event.ID, event.Elapsed, now)...)
}

// applyDemand applies what an answer of the upstream says about the work that it takes.
// A late answer of an earlier process is ignored.
func (st *State) applyDemand(demand types.Option[admit.Demand], now time.Time) []types.Effect {
	stated, ok := demand.Get()
	if !ok || !st.upstream.known || stated.Process != st.upstream.announcement.Process {
		return nil
	}
	effects := st.setRateLimit(stated.RateLimit, now)
	if stated.Leaving {
		effects = append(effects, st.leavingStated(now)...)
	}
	return effects
}

// leavingStated withdraws the upstream because its answer says that it leaves.
func (st *State) leavingStated(now time.Time) []types.Effect {
	st.upstream.leavingStatedAt = now
	if st.upstream.announcement.Leaving {
		return nil
	}
	st.upstream.announcement.Leaving = true
	effects := append(st.refreshUpstream(now), st.recordDeparture()...)
	return append(effects, trace.Event{Kind: trace.UpstreamLeft, Subject: st.fleet.Self().ID, Detail: "its answer says that it leaves"})
}

// holdLeaving returns the announcement as that of a leaving process if an answer of the
// same process says so. An announcement that was sent before that answer may arrive
// after it. Once the process announces itself that it leaves, the sequence of the
// announcements tells which one is later. confirmed is true if the announcement is the
// first to say what an answer has said.
func (st *State) holdLeaving(announcement Announcement, now time.Time) (held Announcement, confirmed bool) {
	up := &st.upstream
	stated := !up.leavingStatedAt.IsZero() && announcement.sameProcess(up.announcement)
	switch {
	case !stated || announcement.Leaving:
		up.leavingStatedAt = time.Time{}
	case now.Sub(up.leavingStatedAt) < leavingHold:
		announcement.Leaving = true
		return announcement, false
	}
	return announcement, stated && announcement.Leaving
}

// setRateLimit sets the number of work items per second that the upstream gets. 0 is no
// limit.
func (st *State) setRateLimit(limit float64, now time.Time) []types.Effect {
	old := st.admission.RateLimit()
	effects := st.admission.SetRateLimit(limit, now)
	var detail string
	switch set := st.admission.RateLimit(); {
	case set == 0 && old > 0:
		detail = "none"
	case math.Abs(set-old) > reportedLimitChange*old:
		detail = strconv.FormatFloat(set, 'f', 1, 64) + " a second"
	default:
		return effects
	}
	return append(effects, trace.Event{Kind: trace.RateLimitChanged, Subject: st.fleet.Self().ID, Detail: detail})
}

// workArrived answers, refuses or admits a work item that an entry node sent.
func (st *State) workArrived(work admit.WorkItem, now time.Time) []types.Effect {
	if hold, ok := st.blame.Held(work.Content, now); ok {
		return refuseWork(work, newHeldError("the request", hold, now))
	}
	if work.Keyed() {
		if effects, fresh := st.keyedWorkArrived(work, now); !fresh {
			return effects
		}
	}
	work = st.afterPause(work, now)
	err := st.admissionError(work, now)
	if err == nil {
		err = st.suspectError(work, now)
	}
	if err != nil {
		return refuseWork(work, err)
	}
	work.RequireEcho = st.effectiveRule(st.fleet.Self(), now).rule.RequireEcho
	return st.admission.Submit(work, now)
}

// refuseWork returns the effects of refusing a work item on its arrival.
func refuseWork(work admit.WorkItem, err *fault.Error) []types.Effect {
	return []types.Effect{
		trace.Count{Counter: trace.WorkShed},
		trace.Event{Kind: trace.WorkRefused, Request: work.Request, Detail: err.Error()},
		admit.Refuse{Work: work, Err: err},
	}
}

// admissionError returns the reason why the node can take no work of this kind
// now, or nil if it can.
func (st *State) admissionError(work admit.WorkItem, now time.Time) *fault.Error {
	switch {
	case st.stop.closed, st.stop.outlives(work.Deadline):
		return fault.New(fault.Stopping, "the upstream's node is stopping").WithRetryAfter(defaultRetryAfter)
	case !st.joined():
		return fault.New(fault.NotReady, "the upstream's node has not joined the fleet").WithRetryAfter(defaultRetryAfter)
	case !st.record.open:
		return fault.New(fault.NotReady, "the node has not read its record on the platform").WithRetryAfter(defaultRetryAfter)
	case !st.upstream.known || st.upstream.announcement.Service != work.Service:
		return fault.New(fault.NoUpstream, "the node owns no upstream of service %q", work.Service).WithRetryAfter(defaultRetryAfter)
	case !st.upstreamProven(now):
		return fault.New(fault.NotReady, "the upstream may have departed before the node started").WithRetryAfter(defaultRetryAfter)
	case st.upstream.unreachable:
		return fault.New(fault.NoUpstream, "the upstream takes no connections").WithRetryAfter(defaultRetryAfter)
	case st.upstream.announcement.Leaving:
		return fault.New(fault.Closed, "the upstream is leaving").WithRetryAfter(defaultRetryAfter)
	case !st.effectiveRule(st.fleet.Self(), now).admits(st.admission.TypicalDuration(work.Route), now):
		return fault.New(fault.Closed, "the upstream is closed when the work would end").WithRetryAfter(defaultRetryAfter)
	case !work.StartBy.IsZero() && !now.Before(work.StartBy):
		return fault.New(fault.DeadlineExceeded, "the deadline came while the node was paused").WithRetryAfter(defaultRetryAfter)
	default:
		return st.versionError(work, now)
	}
}
