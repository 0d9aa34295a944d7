package core

import (
	"time"

	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// RecordDeparture is the effect to write a departure of the local upstream's
// process to this node's record on the platform, so that a restarted node finds
// it there.
type RecordDeparture struct{ Departure fleet.Departure }

// Effect implements types.Effect.
func (RecordDeparture) Effect() {}

// RecordRead reports that this node's record on the platform was read or
// written. Departure and Crashes are those that an earlier process of this node
// recorded, if any.
type RecordRead struct {
	Departure types.Option[fleet.Departure]
	Crashes   []blame.StoredCrash
}

// Event implements types.Event.
func (RecordRead) Event() {}

// WithRecordRead makes the node give its upstream no work before the RecordRead
// event, or before the node's first tick is longer ago than limit. An upstream
// whose departure is in the record is thus not used in between. After the limit, the
// upstream must prove that it has not departed (see liveness).
func WithRecordRead(limit time.Duration) Option {
	return func(se *settings) { se.recordReadLimit = limit }
}

// WithAnnouncementPeriod sets the time between two announcements of an upstream's process.
// The default is a second.
func WithAnnouncementPeriod(period time.Duration) Option {
	return func(se *settings) { se.announcementPeriod = period }
}

// recordGate holds work back until this node's record on the platform was read.
type recordGate struct {
	limit     time.Duration
	firstTick time.Time
	open      bool
	// doubted is true if the record was not read within the limit. A departure that was
	// acknowledged while the platform did not take it is then unknown.
	doubted bool
}

func (ga *recordGate) tick(now time.Time) {
	if ga.firstTick.IsZero() {
		ga.firstTick = now
	}
	if !ga.open && now.Sub(ga.firstTick) >= ga.limit {
		ga.open, ga.doubted = true, true
	}
}

// tickRecord opens the gate if the record was not read within the limit.
func (st *State) tickRecord(now time.Time) []types.Effect {
	doubted := st.record.doubted
	st.record.tick(now)
	if st.record.doubted == doubted || st.upstreamProven(now) {
		return nil
	}
	detail := "the node's record was not read within " + st.record.limit.String() + ", and no peer that ran before has answered"
	return []types.Effect{trace.Event{Kind: trace.UpstreamDoubted, Subject: st.fleet.Self().ID, Detail: detail}}
}

// recordRead applies the departure in this node's record on the platform.
func (st *State) recordRead(event RecordRead, now time.Time) []types.Effect {
	st.record.open = true
	effects := st.blameChanged(st.blame.Restore(event.Crashes, now), nil, now)
	if departure, ok := event.Departure.Get(); ok {
		st.fleet.SetDeparture(departure)
		effects = append(effects, st.departureLearned(departure, now)...)
	}
	return append(effects, st.refreshUpstream(now)...)
}

// departureLearned applies a departure that an earlier process of this node
// recorded. Announcements that are older than the departure are ignored from then
// on, and the upstream is removed if such an announcement was applied before.
func (st *State) departureLearned(departure fleet.Departure, now time.Time) []types.Effect {
	departed := Announcement{
		Process:   departure.Process,
		StartedAt: departure.StartedAt,
		Sequence:  departure.Sequence,
		Leaving:   !departure.Ended,
		Ending:    departure.Ended,
	}
	last := st.upstream.announcement
	if last != (Announcement{}) && last.supersedes(departed) {
		return nil
	}
	effects := st.forgetUpstream("it departed before this node restarted")
	st.upstream.announcement = departed
	if departed.StartedAt.IsZero() {
		st.upstream.departedAt = now
	}
	detail := "process " + string(departure.Process) + " departed before this node restarted"
	return append(effects, trace.Event{Kind: trace.UpstreamLeft, Subject: st.fleet.Self().ID, Detail: detail})
}

const (
	// defaultAnnouncementPeriod is the time between two announcements where the settings
	// state none.
	defaultAnnouncementPeriod = time.Second
	// provenPeriods is the number of regular periods between announcements by which a process
	// proves that it goes on. Announcements that were delayed may arrive one period apart by
	// chance.
	provenPeriods = 2
	// periodTolerance is the ratio of a period to the difference from it that still counts as
	// regular.
	periodTolerance = 4
	// freshProcess is the age at the start of the node up to which a process cannot have
	// departed before: it would have had to start, announce itself and leave.
	freshProcess = 2 * time.Second
)

// liveness is the evidence that a process goes on announcing itself. Announcements may arrive
// seconds late, and one that was sent before a departure looks like any other. A process
// that goes on sends them regularly.
type liveness struct {
	process   types.ProcessID
	startedAt time.Time
	sequence  uint64
	heardAt   time.Time
	periods   int
	// proven is true once the periods suffice. What the process announces from then on
	// comes to this node, at whatever times.
	proven bool
}

// observe adds an announcement.
func (lv *liveness) observe(announcement Announcement, period time.Duration, now time.Time) {
	steps := 1
	if announcement.Sequence > lv.sequence && lv.sequence > 0 {
		steps = int(min(announcement.Sequence-lv.sequence, provenPeriods))
	}
	same := announcement.Process == lv.process && announcement.StartedAt.Equal(lv.startedAt)
	difference := now.Sub(lv.heardAt) - time.Duration(steps*int(period))
	if regular := same && difference.Abs() <= period/periodTolerance; regular {
		lv.periods += steps
	} else {
		lv.periods = 0
	}
	lv.proven = same && lv.proven || lv.periods >= provenPeriods
	lv.process, lv.startedAt, lv.sequence, lv.heardAt = announcement.Process, announcement.StartedAt, announcement.Sequence, now
}

// provenBy adds an announcement to the evidence. It reports whether this one proves that the
// process goes on.
func (st *State) provenBy(announcement Announcement, now time.Time) bool {
	doubted := !st.upstreamProven(now)
	st.upstream.liveness.observe(announcement, st.announcementPeriod, now)
	return doubted && st.upstreamProven(now)
}

// upstreamProven reports whether the upstream's process cannot have departed before this
// node started. That is so if the platform's record or a peer would tell of it, if the process
// is as young as the node or goes on announcing itself, or once announcements of before can
// no longer arrive.
func (st *State) upstreamProven(now time.Time) bool {
	if !st.record.doubted || st.fleet.AnsweredByEarlier() || now.Sub(st.record.firstTick) >= announcementExpiry {
		return true
	}
	startedAt := st.upstream.announcement.StartedAt
	young := !startedAt.IsZero() && startedAt.After(st.fleet.Self().StartedAt.Add(-freshProcess))
	return young || st.upstream.liveness.proven
}

// recordDeparture records that the upstream's process has departed, as its last
// announcement says.
func (st *State) recordDeparture() []types.Effect {
	announcement := st.upstream.announcement
	departure := fleet.Departure{
		Process:   announcement.Process,
		StartedAt: announcement.StartedAt,
		Sequence:  announcement.Sequence,
		Ended:     announcement.Ending,
	}
	st.fleet.SetDeparture(departure)
	return append(st.fleet.Push(), RecordDeparture{Departure: departure})
}
