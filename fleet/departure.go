package fleet

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// departureSize is an upper bound for the size of an encoded departure in bytes,
// excluding the process ID.
const departureSize = 32

// Departure records that an upstream's process accepts no new work. It is part of
// the membership record of the process's node, so that the node learns of the
// departure again after a restart.
type Departure struct {
	Process types.ProcessID
	// StartedAt is when the process started. It is zero if the process does not
	// state it.
	StartedAt time.Time
	// Sequence is the sequence of the announcement that reported the departure.
	Sequence uint64
	// Ended is true if the process has announced its end. Otherwise, the process
	// may accept work again later.
	Ended bool
}

// supersedes reports whether a departure is later than old.
func (de Departure) supersedes(old Departure) bool {
	switch {
	case !de.StartedAt.Equal(old.StartedAt):
		return de.StartedAt.After(old.StartedAt)
	case de.Ended != old.Ended:
		return de.Ended
	default:
		return de.Sequence > old.Sequence
	}
}

// DepartureLearned is the effect to apply a departure that this node recorded
// before its process restarted.
type DepartureLearned struct{ Departure Departure }

// Effect implements types.Effect.
func (DepartureLearned) Effect() {}

// WithDeparture returns a copy of the record with the given departure, unless the
// record has a later one.
func (m Member) WithDeparture(departure types.Option[Departure]) Member {
	given, ok := departure.Get()
	if !ok {
		return m
	}
	if old, known := m.Departure.Get(); !known || given.supersedes(old) {
		m.Departure = departure
	}
	return m
}

// SetDeparture records the departure of the local upstream's process in this
// node's record and announces the record to peers. An earlier departure than the
// recorded one is ignored.
func (tb *Table) SetDeparture(departure Departure) {
	if self := tb.self.WithDeparture(types.Some(departure)); self != tb.self {
		tb.announce(self)
	}
}

// learnDeparture takes over the departure in a peer's record of this node. The
// record may be that of an earlier process of this instance.
func (tb *Table) learnDeparture(reported Member) []types.Effect {
	departure, ok := reported.Departure.Get()
	if !ok || tb.self.WithDeparture(reported.Departure) == tb.self {
		return nil
	}
	tb.SetDeparture(departure)
	return []types.Effect{DepartureLearned{Departure: departure}}
}
