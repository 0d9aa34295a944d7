// Package core combines routing, admission control, membership and configuration
// in the state machine of one node. A State takes an event and the current time
// and returns effects for the caller to carry out. It does no I/O, reads no clock
// and draws random numbers only from its seeded source, so the same events give
// the same effects.
//
// # Usage
//
//	state := core.New(self, core.WithSeed(7))
//	effects := state.Step(core.Tick{}, now)
package core

import (
	"time"
	"unicode/utf8"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

// Tick is the periodic event that triggers all time-based decisions, such as
// probes and expiry.
type Tick struct {
	// Suspended is for how long the machine was suspended since the last tick.
	// The time passed to Step does not include it.
	Suspended time.Duration
}

// Event implements types.Event.
func (Tick) Event() {}

// Announcement describes an upstream to the node that owns it. The upstream
// renews it regularly.
type Announcement struct {
	// Process identifies the upstream's process, and StartedAt is when it
	// started. Both are optional. A process that started later replaces an
	// earlier one.
	Process   types.ProcessID
	StartedAt time.Time
	// Sequence orders the announcements of one process. Announcements with
	// sequence 0 take effect in the order of arrival.
	Sequence uint64
	// Address is the address at which the upstream accepts work.
	Address types.Address
	Service types.ServiceName
	// Version is the version of the software that the process runs. It is optional.
	Version     types.UpstreamVersion
	Slots       int
	Connections int
	WarmUp      time.Duration
	// Leaving is true if the upstream accepts no new work.
	Leaving bool
	// Ending is true if the process is about to end. It still finishes the work
	// that it already runs.
	Ending bool
}

// CheckNames returns an error of kind fault.InvalidInput if other nodes would refuse a
// message with a name in the announcement.
func (an Announcement) CheckNames() error {
	for _, name := range []string{string(an.Process), string(an.Version)} {
		if len(name) > fleet.MaxNameLength || !utf8.ValidString(name) {
			return fault.New(fault.InvalidInput, "the announcement has a name of more than %d bytes or one that is not UTF-8", fleet.MaxNameLength)
		}
	}
	return nil
}

// supersedes reports whether an announcement is newer than old and may replace
// old. The end of a process supersedes only announcements of that process, and
// nothing else from the process supersedes its end. Otherwise the later start time
// decides. If the start times are equal, the higher sequence decides between
// announcements of one process; between different processes, or if a sequence is
// 0, an replaces old.
func (an Announcement) supersedes(old Announcement) bool {
	if an.Ending {
		return an.Process == old.Process && (an.StartedAt.IsZero() || !an.StartedAt.Before(old.StartedAt))
	}
	if an.Process == old.Process && an.StartedAt.Equal(old.StartedAt) && old.Ending {
		return false
	}
	if !an.StartedAt.Equal(old.StartedAt) {
		return an.StartedAt.After(old.StartedAt)
	}
	if an.Process != old.Process || an.Sequence == 0 || old.Sequence == 0 {
		return true
	}
	return an.Sequence > old.Sequence
}

// sameProcess reports whether two announcements come from the same process and
// name the same service.
func (an Announcement) sameProcess(other Announcement) bool {
	return an.Process == other.Process && an.StartedAt.Equal(other.StartedAt) && an.Service == other.Service
}

// UpstreamAnnounced reports that the local upstream sent an announcement.
type UpstreamAnnounced struct{ Announcement Announcement }

// Event implements types.Event.
func (UpstreamAnnounced) Event() {}

// StopRequested reports that a graceful stop of the node was requested.
type StopRequested struct{}

// Event implements types.Event.
func (StopRequested) Event() {}

// RetryBudgetChanged reports that the settings changed the retry budget.
type RetryBudgetChanged struct{ RetryBudget flow.RetryBudget }

// Event implements types.Event.
func (RetryBudgetChanged) Event() {}

// UseUpstream is the effect to send all further work to an upstream's process at
// an address.
type UseUpstream struct {
	Process types.ProcessID
	Address types.Address
}

// Effect implements types.Effect.
func (UseUpstream) Effect() {}

// WatchPlatform is the effect to start or stop watching the platform's
// configuration root.
type WatchPlatform struct {
	On bool
	// Cached is true if the platform may report changes late, which costs it less.
	Cached bool
}

// Effect implements types.Effect.
func (WatchPlatform) Effect() {}

// Drained is the effect that ends a graceful stop: the node has no request in
// flight and may exit.
type Drained struct{}

// Effect implements types.Effect.
func (Drained) Effect() {}
