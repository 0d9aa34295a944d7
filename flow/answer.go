package flow

import (
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// Settle is the effect to answer a keyed work without an upstream's answer.
type Settle struct {
	Work    types.WorkID
	Verdict Verdict
	Err     *fault.Error
	// PassedOn states that the owner will never run the key.
	PassedOn bool
}

// Effect marks the type as an effect.
func (Settle) Effect() {}

// Replay is the effect to answer a keyed work with the answer of another
// work, or of itself.
type Replay struct {
	Work types.WorkID
	Of   types.WorkID
}

// Effect marks the type as an effect.
func (Replay) Effect() {}

// Forget is the effect to drop a keyed work and its answer.
type Forget struct{ Work types.WorkID }

// Effect marks the type as an effect.
func (Forget) Effect() {}
