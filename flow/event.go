// Package flow handles a caller's request at the entry node, the node that the
// caller is connected to: attempts, retries, hedges and deadlines. Non-idempotent
// work with an idempotency key runs at most once, even if the caller retries it:
// the owner node, the node that owns an upstream, records the key in a ledger.
//
// # Usage
//
//	table := flow.NewTable(flow.Hooks{Pick: pick, NextOwner: next, AttemptStarted: started, AttemptEnded: ended})
//	effects := table.Begin(call, now)
//	effects = table.HandleAttemptEnded(flow.AttemptEnded{Call: call.ID, Attempt: 1}, now)
package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/cost"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// CallArrived reports that a caller's request arrived.
type CallArrived struct {
	// Content identifies the request among those on its route when it comes again.
	Content types.ContentHash
	// Features are the classes of the request by which its cost is learned.
	Features cost.Features
	Call     types.CallID
	Request  types.RequestID
	Key      types.Option[types.Key]
	Target   route.Request
	// Limit is how long the caller waits for the answer, if it sent a limit.
	Limit types.Option[time.Duration]
	// Credential is the digest of the key by which the caller shows its team, if any.
	Credential types.Option[types.KeyDigest]
}

// Event implements types.Event.
func (CallArrived) Event() {}

// CallCanceled reports that the caller canceled its request or disconnected.
type CallCanceled struct{ Call types.CallID }

// Event implements types.Event.
func (CallCanceled) Event() {}

// Verdict is the outcome of an attempt.
type Verdict int

// The outcomes of an attempt.
const (
	// Answered means that the complete answer arrived.
	Answered Verdict = iota + 1
	// NotRun means that the work was refused: it did not run and will not run.
	NotRun
	// Lost means that the work was sent but no complete answer arrived, so that it
	// may have run.
	Lost
	// Unsent means that the node that owns the upstream could not be reached.
	Unsent
)

// String returns the kebab-case name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Lost:
		return "lost"
	case Unsent:
		return "unsent"
	default:
		return "unknown-verdict"
	}
}

// AttemptEnded reports that an attempt ended, with or without an answer.
type AttemptEnded struct {
	Call    types.CallID
	Attempt int
	Verdict Verdict
	Err     *fault.Error
	// RefusedByUpstream is true if the upstream itself refused the work, not
	// its owner node.
	RefusedByUpstream bool
	// KeyDeclined is true if the owner node has recorded that it will never run
	// work with the call's idempotency key, so that another owner may be asked.
	KeyDeclined bool
	// Load is the upstream's load that its owner node reported.
	Load    route.Load
	Elapsed time.Duration
	// AtUpstream is how long the upstream ran the work, and Lasting how long it usually
	// runs work of the route. They are 0 if the owner node does not report them.
	AtUpstream, Lasting time.Duration
	// Size is the size of the answer in bytes.
	Size int
	// ServerFault is true if the upstream answered with a status of 500 or above.
	ServerFault bool
	// UpstreamEnded is true if the upstream's process ended during the attempt.
	UpstreamEnded bool
}

// Event implements types.Event.
func (AttemptEnded) Event() {}

// StartAttempt is the effect to send a call to the node that owns an upstream.
type StartAttempt struct {
	Call     types.CallID
	Attempt  int
	Request  types.RequestID
	Target   route.Candidate
	Route    conf.Route
	Key      types.Option[types.Key]
	Content  types.ContentHash
	Deadline time.Time
	// Team is the team of the request, or empty if there is none. HideCredential is true
	// if the caller's key must not be passed on.
	Team           types.TeamName
	HideCredential bool
	// SoftDeadline is the time after which the answer is of less use.
	// It is zero if the route has none.
	SoftDeadline time.Time
	// LastOwner is true if no other owner node will be asked to run the key.
	LastOwner bool
	// KeyDeclinedBy holds the owner nodes that were asked before and will never
	// run the key.
	KeyDeclinedBy types.Set[types.InstanceID]
}

// Effect implements types.Effect.
func (StartAttempt) Effect() {}

// CancelAttempt is the effect to cancel an attempt in flight.
type CancelAttempt struct {
	Call    types.CallID
	Attempt int
}

// Effect implements types.Effect.
func (CancelAttempt) Effect() {}

// Deliver is the effect to send an attempt's answer to the caller.
type Deliver struct {
	Call    types.CallID
	Attempt int
}

// Effect implements types.Effect.
func (Deliver) Effect() {}

// Fail is the effect to answer the caller with an error.
type Fail struct {
	Call types.CallID
	Err  *fault.Error
}

// Effect implements types.Effect.
func (Fail) Effect() {}
