// Package core joins the decisions of all other packages in one reducer. A
// State takes an event and the present time and returns effects. It does no
// I/O, reads no clock and draws random numbers only from its seeded source, so
// the same events give the same effects.
//
// # Usage
//
//	state := core.New(self, core.WithSeed(7))
//	effects := state.Step(core.Tick{}, now)
package core

import (
	"time"

	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

// Tick is the event that lets periodic decisions fall due.
type Tick struct {
	// Suspended is for how long the machine was suspended since the last tick,
	// which the present time does not show.
	Suspended time.Duration
}

// Event marks the type as an event.
func (Tick) Event() {}

// Announcement is what an upstream tells its own node about itself.
type Announcement struct {
	// Process names the upstream's process and Born is when it started, if the
	// upstream tells so. A later process takes the place of an earlier one.
	Process types.ProcessID
	Born    time.Time
	// Sequence orders the announcements of one process; 0 means that they are
	// taken in the order of arrival.
	Sequence uint64
	// Address is where the upstream takes work.
	Address     types.Address
	Service     types.ServiceName
	Slots       int
	Connections int
	WarmUp      time.Duration
	// Leaving states that the upstream wants no new work.
	Leaving bool
	// Gone states that the upstream ends; it goes on with what it runs.
	Gone bool
}

// supersedes reports whether an announcement is later than another one.
func (an Announcement) supersedes(old Announcement) bool {
	if an.Gone {
		return an.Process == old.Process && (an.Born.IsZero() || !an.Born.Before(old.Born))
	}
	if an.Process == old.Process && an.Born.Equal(old.Born) && old.Gone {
		return false
	}
	if !an.Born.Equal(old.Born) {
		return an.Born.After(old.Born)
	}
	if an.Process != old.Process || an.Sequence == 0 || old.Sequence == 0 {
		return true
	}
	return an.Sequence > old.Sequence
}

// sameProcess reports whether two announcements are of one process of a service.
func (an Announcement) sameProcess(other Announcement) bool {
	return an.Process == other.Process && an.Born.Equal(other.Born) && an.Service == other.Service
}

// UpstreamAnnounced is the event that the local upstream announced itself.
type UpstreamAnnounced struct{ Announcement Announcement }

// Event marks the type as an event.
func (UpstreamAnnounced) Event() {}

// StopAsked is the event that the node is to stop gracefully.
type StopAsked struct{}

// Event marks the type as an event.
func (StopAsked) Event() {}

// BudgetChanged is the event that the settings allow another number of repeats.
type BudgetChanged struct{ Budget flow.Budget }

// Event marks the type as an event.
func (BudgetChanged) Event() {}

// UseUpstream is the effect to send work to an upstream's process from now on.
type UseUpstream struct {
	Process types.ProcessID
	Address types.Address
}

// Effect marks the type as an effect.
func (UseUpstream) Effect() {}

// WatchPlatform is the effect to start or end watching the platform's root.
type WatchPlatform struct{ On bool }

// Effect marks the type as an effect.
func (WatchPlatform) Effect() {}

// Drained is the effect that a stopping node has no request in flight.
type Drained struct{}

// Effect marks the type as an effect.
func (Drained) Effect() {}
