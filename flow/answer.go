package flow

import (
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// Settle is the effect to answer a work item that has an idempotency key with a
// verdict and an error.
type Settle struct {
	Work    types.WorkID
	Verdict Verdict
	Err     *fault.Error
	// KeyDeclined is true if this owner node will never run work with the key.
	KeyDeclined bool
}

// Effect implements types.Effect.
func (Settle) Effect() {}

// Replay is the effect to answer a work item that has an idempotency key with the
// upstream's answer.
type Replay struct {
	// Work is the work item to answer.
	Work types.WorkID
	// Of is the work item that ran with the key and whose answer is sent. It is
	// equal to Work for the first use of the key.
	Of types.WorkID
}

// Effect implements types.Effect.
func (Replay) Effect() {}

// DeleteWork is the effect to delete a work item that has an idempotency key,
// and its stored answer.
type DeleteWork struct{ Work types.WorkID }

// Effect implements types.Effect.
func (DeleteWork) Effect() {}
