package core

import (
	"time"

	"sequoiamill.example/sequoiamill/flow"
)

// costFactor returns what a call is likely to cost in relation to the usual one on its
// route, or 0 if nothing that is seen of it tells.
func (st *State) costFactor(call flow.Call) float64 {
	estimate, known := st.balancer.Cost(call.Route.Name, call.Features)
	if !known || estimate.Basis == 0 {
		return 0
	}
	return estimate.Factor
}

// expectedDuration returns how long an attempt at a call usually takes.
func (st *State) expectedDuration(call flow.Call) time.Duration {
	typical := st.balancer.TypicalDuration(call.Route.Name)
	if call.CostFactor == 0 {
		return typical
	}
	return time.Duration(float64(typical) * call.CostFactor)
}
