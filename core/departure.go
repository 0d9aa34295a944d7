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
// whose departure is in the record is thus not used in between.
func WithRecordRead(limit time.Duration) Option {
	return func(se *settings) { se.recordReadLimit = limit }
}

// recordGate holds work back until this node's record on the platform was read.
type recordGate struct {
	limit     time.Duration
	firstTick time.Time
	open      bool
}

func (ga *recordGate) tick(now time.Time) {
	if ga.firstTick.IsZero() {
		ga.firstTick = now
	}
	ga.open = ga.open || now.Sub(ga.firstTick) >= ga.limit
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
