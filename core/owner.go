package core

import (
	"fmt"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// announcementExpiry is how long an announcement holds without a renewal.
const announcementExpiry = 10 * time.Second

// local is what the node knows of its own upstream.
type local struct {
	announcement Announcement
	known        bool
	renewed      time.Time
	// departed is when a process that was not known ended, while that holds.
	departed time.Time
	readyAt  time.Time
	// unreached states that the upstream took no connection since it announced
	// itself last.
	unreached bool
	// faults is the part of the work it ran that failed.
	faults stat.Share
}

func (st *State) announced(announcement Announcement, now time.Time) []types.Effect {
	st.forgetDeparture(now)
	last := st.upstream.announcement
	if announcement.Gone && announcement.Process != "" && last == (Announcement{}) {
		return st.departedUnknown(announcement, now)
	}
	if !announcement.supersedes(last) {
		detail := fmt.Sprintf("process %s sequence %d came after process %s sequence %d", announcement.Process, announcement.Sequence, last.Process, last.Sequence)
		return []types.Effect{trace.Event{Kind: trace.AnnouncementIgnored, Subject: st.fleet.Self().ID, Detail: detail}}
	}
	st.upstream.unreached = false
	if announcement.Gone {
		st.upstream.announcement.Gone = true
		return st.forgetUpstream("it ended")
	}
	effects := st.replaceUpstream(announcement, now)
	if last.Leaving && !announcement.Leaving {
		st.upstream.readyAt = now
	}
	changed := !st.upstream.known || last.Leaving != announcement.Leaving || !announcement.sameProcess(last)
	st.upstream.known, st.upstream.departed = true, time.Time{}
	st.upstream.announcement = announcement
	st.upstream.renewed = now
	effects = append(effects, st.refreshUpstream(now)...)
	if !changed {
		return effects
	}
	kind := trace.UpstreamAnnounced
	if announcement.Leaving {
		kind = trace.UpstreamLeft
	}
	detail := fmt.Sprintf("service %s process %s slots %d", announcement.Service, announcement.Process, announcement.Slots)
	return append(effects, trace.Event{Kind: kind, Subject: st.fleet.Self().ID, Detail: detail})
}

// departedUnknown remembers the end of a process that has not announced itself to
// this node, which may have started since. Late announcements of that process
// are told by its start, which lies before now.
func (st *State) departedUnknown(announcement Announcement, now time.Time) []types.Effect {
	announcement.Born = now.Round(0)
	st.upstream.announcement, st.upstream.departed = announcement, now
	return []types.Effect{trace.Event{Kind: trace.UpstreamLeft, Subject: st.fleet.Self().ID, Detail: "process " + string(announcement.Process) + " ended before it was known"}}
}

// forgetDeparture drops the memory of an unknown process once its announcements
// can't be late any more, so that one without a start is taken again.
func (st *State) forgetDeparture(now time.Time) {
	if departed := st.upstream.departed; !departed.IsZero() && now.Sub(departed) > announcementExpiry {
		st.upstream.announcement, st.upstream.departed = Announcement{}, time.Time{}
	}
}

// replaceUpstream turns to the process of an announcement if it is another one
// than before. What waits for the old one is refused.
func (st *State) replaceUpstream(announcement Announcement, now time.Time) []types.Effect {
	last := st.upstream.announcement
	if st.upstream.known && announcement.sameProcess(last) && announcement.Address == last.Address {
		return nil
	}
	effects := []types.Effect{UseUpstream{Process: announcement.Process, Address: announcement.Address}}
	if st.upstream.known && announcement.sameProcess(last) {
		return effects
	}
	st.upstream.readyAt = now
	return append(effects, st.clear(fault.NoUpstream, "another upstream took its place")...)
}

// refreshUpstream brings the slots and the node's record up to date. Work that
// waits at an upstream that takes none any more is refused, so that it runs
// elsewhere; running work goes on.
func (st *State) refreshUpstream(now time.Time) []types.Effect {
	if !st.upstream.known {
		return nil
	}
	if now.Sub(st.upstream.renewed) > announcementExpiry {
		return st.forgetUpstream("its announcement expired")
	}
	announcement := st.upstream.announcement
	upstream := fleet.Upstream{
		Slots:       announcement.Slots,
		Connections: announcement.Connections,
		WarmUp:      announcement.WarmUp,
		ReadyAt:     st.upstream.readyAt,
		Leaving:     announcement.Leaving,
	}
	if self := st.fleet.Self(); self.Service != announcement.Service || self.Upstream != types.Some(upstream) {
		st.fleet.SetUpstream(announcement.Service, types.Some(upstream))
	}
	opening := st.opening(st.fleet.Self(), now)
	var effects []types.Effect
	switch {
	case announcement.Leaving:
		effects = st.clear(fault.Closed, "the upstream is leaving")
	case !opening.open:
		effects = st.clear(fault.Closed, "the upstream is closed at this hour")
	}
	return append(effects, st.gate.SetSlots(opening.slots(upstream), now)...)
}

// forgetUpstream keeps the last announcement, so that a late one is known by it.
func (st *State) forgetUpstream(reason string) []types.Effect {
	if !st.upstream.known {
		return nil
	}
	st.upstream = local{announcement: st.upstream.announcement}
	st.fleet.SetUpstream("", types.None[fleet.Upstream]())
	event := trace.Event{Kind: trace.UpstreamLeft, Subject: st.fleet.Self().ID, Detail: reason}
	return append(st.clear(fault.NoUpstream, "the upstream is gone"), event)
}

// clear refuses all waiting work.
func (st *State) clear(kind fault.Kind, reason string) []types.Effect {
	if st.gate.Queued() == 0 {
		return nil
	}
	return st.gate.Clear(fault.New(kind, "%s", reason).WithRetryAfter(comeBackSoon))
}

// workEnded frees the slot of a work. An upstream that takes no connection gets
// no more work until it announces itself again.
func (st *State) workEnded(event admit.Ended, now time.Time) []types.Effect {
	effects := st.keys.ledger.Ended(event, now)
	if event.Err != nil && event.Err.Kind == fault.Unreachable && st.upstream.known && !st.upstream.unreached {
		st.upstream.unreached = true
		effects = append(effects, trace.Event{Kind: trace.UpstreamLeft, Subject: st.fleet.Self().ID, Detail: event.Err.Message})
		effects = append(effects, st.clear(fault.NoUpstream, "the upstream takes no connections")...)
	}
	if event.Ran != fault.NotRun && !st.gate.Aborted(event.ID) {
		st.upstream.faults.Observe(event.ServerFault || !event.Whole, now)
	}
	st.gate.Sized(event.ID, event.Size)
	return append(effects, st.gate.End(event.ID, event.Elapsed, now)...)
}

func (st *State) workArrived(work admit.Work, now time.Time) []types.Effect {
	if work.Keyed() {
		if effects, fresh := st.keyedArrived(work, now); !fresh {
			return effects
		}
	}
	if err := st.ownerFault(work, now); err != nil {
		return []types.Effect{
			trace.Count{Counter: trace.WorkShed},
			trace.Event{Kind: trace.WorkRefused, Request: work.Request, Detail: err.Error()},
			admit.Refuse{Work: work, Err: err},
		}
	}
	work.RequireEcho = st.opening(st.fleet.Self(), now).rule.RequireEcho
	return st.gate.Arrive(work, now)
}

func (st *State) ownerFault(work admit.Work, now time.Time) *fault.Error {
	switch {
	case st.stop.asked:
		return fault.New(fault.Stopping, "the upstream's node is stopping").WithRetryAfter(comeBackSoon)
	case !st.joined():
		return fault.New(fault.NotReady, "the upstream's node has not joined the fleet").WithRetryAfter(comeBackSoon)
	case !st.upstream.known || st.upstream.announcement.Service != work.Service:
		return fault.New(fault.NoUpstream, "the node owns no upstream of service %q", work.Service).WithRetryAfter(comeBackSoon)
	case st.upstream.unreached:
		return fault.New(fault.NoUpstream, "the upstream takes no connections").WithRetryAfter(comeBackSoon)
	case st.upstream.announcement.Leaving:
		return fault.New(fault.Closed, "the upstream is leaving").WithRetryAfter(comeBackSoon)
	case !st.opening(st.fleet.Self(), now).takes(st.gate.Usual(work.Route), now):
		return fault.New(fault.Closed, "the upstream is closed when the work would end").WithRetryAfter(comeBackSoon)
	default:
		return nil
	}
}
