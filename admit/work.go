// Package admit implements admission control for one upstream: at the node that
// owns the upstream, it decides which work is dispatched, queued or refused.
//
// # Usage
//
//	controller := admit.NewController(admit.WithQueue(20))
//	controller.SetSlots(10, now)
//	effects := controller.Submit(work, now)
//	effects = controller.Finish(work.ID, elapsed, now)
package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// WorkItem is one attempt of a call, as received by the owner node, the node that
// owns the upstream.
type WorkItem struct {
	ID      types.WorkID
	Request types.RequestID
	// EntryNode is the entry node, to which the caller is connected.
	EntryNode  types.InstanceID
	Service    types.ServiceName
	Route      types.RouteName
	Importance conf.Importance
	Idempotent bool
	Key        types.Option[types.Key]
	// Fingerprint is a hash of the request. It detects a key that is reused for a
	// different request.
	Fingerprint uint64
	// Content identifies the request when it comes again.
	Content types.ContentHash
	// Team is the team whose request this is, or empty if there is none.
	Team types.TeamName
	// LastOwner is true if the entry node will ask no other owner node to run this
	// key.
	LastOwner bool
	// KeyDeclinedBy holds the owner nodes that declined this key before and will
	// never run it.
	KeyDeclinedBy types.Set[types.InstanceID]
	// RequireEcho is true if an answer is valid only if it echoes the request
	// identifier.
	RequireEcho bool
	// Deadline is the time after which an answer is useless to the caller.
	Deadline time.Time
	// StartBy is the time before which the work must start, because its entry node may
	// have given it up then. Zero means that it may start until Deadline. Work that has
	// started runs until Deadline.
	StartBy time.Time
	// SoftDeadline is the time after which an answer is worth less to the caller.
	// Zero means that there is no soft deadline.
	SoftDeadline time.Time
	// CostFactor is what the work is likely to cost in relation to the usual work on its
	// route, or 0 if the entry node does not know.
	CostFactor float64
	// Lasting is how long usual work on the route lasts at the upstream, or 0 if too
	// little is known. The controller sets it when it dispatches the work.
	Lasting time.Duration
	// LinkWait is how long a large answer would wait for the network link of the
	// owner node's instance if the answer were sent when the work arrived.
	LinkWait time.Duration
}

// startBy returns the time before which the work must start.
func (w WorkItem) startBy() time.Time {
	if w.StartBy.IsZero() {
		return w.Deadline
	}
	return w.StartBy
}

// Keyed reports whether the work is non-idempotent and has an idempotency key,
// so that it must run at most once.
func (w WorkItem) Keyed() bool { return !w.Idempotent && w.Key.IsSome() }

// Arrived reports that an entry node sent a work item to the owner node.
type Arrived struct{ Work WorkItem }

// Event implements types.Event.
func (Arrived) Event() {}

// Ended reports that the upstream has finished a work item, or that the exchange
// with the upstream failed.
type Ended struct {
	ID types.WorkID
	// Outcome says whether the upstream ran the work, did not run it, or may have
	// run it.
	Outcome fault.Outcome
	Err     *fault.Error
	Elapsed time.Duration
	// Size is the size of the answer in bytes.
	Size int
	// Complete is true if the upstream's answer arrived completely.
	Complete bool
	// ServerFault is true if the upstream answered with a server error.
	ServerFault bool
	// UpstreamEnded is true if the upstream closed the connection before it had
	// answered and takes no new ones.
	UpstreamEnded bool
	// Demand is what the upstream's answer says about the work that it takes, or
	// none if there was no answer of the upstream.
	Demand types.Option[Demand]
}

// Demand is what an upstream's answer says about the work that it takes.
type Demand struct {
	// Process is the upstream's process that answered.
	Process types.ProcessID
	// RateLimit is the number of work items per second that the upstream takes, or 0
	// if it names none.
	RateLimit float64
	// Leaving is true if the upstream says that it accepts no new work.
	Leaving bool
}

// Event implements types.Event.
func (Ended) Event() {}

// Canceled reports that the entry node no longer waits for a work item.
type Canceled struct{ ID types.WorkID }

// Event implements types.Event.
func (Canceled) Event() {}

// Dispatch is the effect to send a work item to the local upstream.
type Dispatch struct{ Work WorkItem }

// Effect implements types.Effect.
func (Dispatch) Effect() {}

// Refuse is the effect to refuse a work item, which did not run, with an error.
type Refuse struct {
	Work WorkItem
	Err  *fault.Error
}

// Effect implements types.Effect.
func (Refuse) Effect() {}

// Abort is the effect to cancel a dispatched work item at the upstream.
type Abort struct{ ID types.WorkID }

// Effect implements types.Effect.
func (Abort) Effect() {}
