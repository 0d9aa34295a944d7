// Package flow follows one request at the node that its caller is connected
// to: attempts, retries, hedges and the rule that work which must not run
// twice is sent at most once.
//
// # Usage
//
//	table := flow.NewTable(flow.Seams{Pick: pick, Next: next, Began: began, Ended: ended})
//	effects := table.Begin(call, now)
//	effects = table.Ended(flow.AttemptEnded{Call: call.ID, Attempt: 1}, now)
package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// CallArrived is the event that a caller sent a request.
type CallArrived struct {
	Call    types.CallID
	Request types.RequestID
	Key     types.Option[types.Key]
	Target  route.Request
	// Limit is the time that the caller waits, if it said so.
	Limit types.Option[time.Duration]
}

// Event marks the type as an event.
func (CallArrived) Event() {}

// CallCanceled is the event that the caller went away.
type CallCanceled struct{ Call types.CallID }

// Event marks the type as an event.
func (CallCanceled) Event() {}

// Verdict is how an attempt ended.
type Verdict int

// The verdicts on an attempt.
const (
	// Answered means that the whole answer is here.
	Answered Verdict = iota + 1
	// NotRun means that the work did not and will not run.
	NotRun
	// Lost means that the work was sent and may have run.
	Lost
	// Unsent means that the owner was not reached.
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

// AttemptEnded is the event that an attempt is over.
type AttemptEnded struct {
	Call    types.CallID
	Attempt int
	Verdict Verdict
	Err     *fault.Error
	// Reached states that the upstream itself refused the work.
	Reached bool
	// PassedOn states that the owner will never run the key of this call.
	PassedOn bool
	Load     route.Load
	Elapsed  time.Duration
	// Size is that of the answer in bytes.
	Size int
	// ServerFault states that the upstream answered with a failure of its own.
	ServerFault bool
}

// Event marks the type as an event.
func (AttemptEnded) Event() {}

// StartAttempt is the effect to send a call to an upstream's owner.
type StartAttempt struct {
	Call     types.CallID
	Attempt  int
	Request  types.RequestID
	Target   route.Candidate
	Route    conf.Route
	Key      types.Option[types.Key]
	Deadline time.Time
	Aim      time.Time
	// Last states that no other owner will be asked for the key.
	Last bool
	// Passed holds the owners that passed the key on.
	Passed types.Set[types.InstanceID]
}

// Effect marks the type as an effect.
func (StartAttempt) Effect() {}

// CancelAttempt is the effect to give an attempt up.
type CancelAttempt struct {
	Call    types.CallID
	Attempt int
}

// Effect marks the type as an effect.
func (CancelAttempt) Effect() {}

// Deliver is the effect to give the caller an attempt's answer.
type Deliver struct {
	Call    types.CallID
	Attempt int
}

// Effect marks the type as an effect.
func (Deliver) Effect() {}

// Fail is the effect to give the caller an error.
type Fail struct {
	Call types.CallID
	Err  *fault.Error
}

// Effect marks the type as an effect.
func (Fail) Effect() {}
