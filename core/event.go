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

	"sequoiamill.example/sequoiamill/types"
)

// Tick is the event that lets periodic decisions fall due.
type Tick struct{}

// Event marks the type as an event.
func (Tick) Event() {}

// Announcement is what an upstream tells its own node about itself.
type Announcement struct {
	Service     types.ServiceName
	Slots       int
	Connections int
	WarmUp      time.Duration
	// Leaving states that the upstream wants no new work.
	Leaving bool
}

// UpstreamAnnounced is the event that the local upstream announced itself.
type UpstreamAnnounced struct{ Announcement Announcement }

// Event marks the type as an event.
func (UpstreamAnnounced) Event() {}

// StopAsked is the event that the node is to stop gracefully.
type StopAsked struct{}

// Event marks the type as an event.
func (StopAsked) Event() {}

// WatchPlatform is the effect to start or end watching the platform's root.
type WatchPlatform struct{ On bool }

// Effect marks the type as an effect.
func (WatchPlatform) Effect() {}

// Drained is the effect that a stopping node has no request in flight.
type Drained struct{}

// Effect marks the type as an effect.
func (Drained) Effect() {}
