// Package admit decides, at the node that owns an upstream, which work runs,
// waits or is refused.
//
// # Usage
//
//	gate := admit.NewGate(admit.WithQueue(20))
//	gate.SetSlots(10, now)
//	effects := gate.Arrive(work, now)
//	effects = gate.End(work.ID, elapsed, now)
package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// Work is one attempt as the owner of the upstream sees it.
type Work struct {
	ID      types.WorkID
	Request types.RequestID
	// Entry is the node that the caller is connected to.
	Entry      types.InstanceID
	Service    types.ServiceName
	Route      types.RouteName
	Importance conf.Importance
	Idempotent bool
	Key        types.Option[types.Key]
	// Fingerprint tells apart different requests under one key.
	Fingerprint uint64
	// Last states that no other owner will be asked for the key.
	Last bool
	// Passed holds the owners that passed the key on.
	Passed types.Set[types.InstanceID]
	// RequireEcho refuses an answer that does not echo the request identifier.
	RequireEcho bool
	// Deadline is the instant after which the answer is of no use.
	Deadline time.Time
	// Aim is the instant after which the answer is of less use, or zero.
	Aim time.Time
	// LinkWait is the time that a large answer would now wait for the link of
	// the owner's instance.
	LinkWait time.Duration
}

// Keyed reports whether the work runs at most once under its key.
func (w Work) Keyed() bool { return !w.Idempotent && w.Key.IsSome() }

// Arrived is the event that a node asks for work to be run.
type Arrived struct{ Work Work }

// Event marks the type as an event.
func (Arrived) Event() {}

// Ended is the event that the upstream's part of a work is over.
type Ended struct {
	ID types.WorkID
	// Ran states whether the upstream ran the work.
	Ran     fault.Outcome
	Err     *fault.Error
	Elapsed time.Duration
	// Size is that of the answer in bytes.
	Size int
	// Whole states that the upstream's answer arrived whole.
	Whole bool
	// ServerFault states that the upstream answered with a failure of its own.
	ServerFault bool
}

// Event marks the type as an event.
func (Ended) Event() {}

// Canceled is the event that the entry no longer waits for a work.
type Canceled struct{ ID types.WorkID }

// Event marks the type as an event.
func (Canceled) Event() {}

// Dispatch is the effect to send a work to the local upstream.
type Dispatch struct{ Work Work }

// Effect marks the type as an effect.
func (Dispatch) Effect() {}

// Refuse is the effect to answer a work that did not run.
type Refuse struct {
	Work Work
	Err  *fault.Error
}

// Effect marks the type as an effect.
func (Refuse) Effect() {}

// Abort is the effect to cancel a dispatched work at the upstream.
type Abort struct{ ID types.WorkID }

// Effect marks the type as an effect.
func (Abort) Effect() {}
