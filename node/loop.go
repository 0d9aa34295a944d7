package node

import (
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/types"
)

// loop applies events one at a time to the node's state machine (core.State)
// and runs the resulting effects in order.
type loop struct {
	mu    sync.Mutex
	state *core.State
	now   func() time.Time
	// run carries out one effect. Since post calls it with mu held, run must
	// neither block nor call post.
	run func(effect types.Effect)
	// suspended returns for how long the machine was suspended since the last call.
	suspended func() time.Duration
}

// post applies one event to the state and runs the resulting effects.
func (lp *loop) post(event types.Event) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	switch event.(type) {
	case core.Tick:
		event = core.Tick{Suspended: lp.suspended()}
	case admit.Arrived, flow.CallArrived, quota.TradeReceived, quota.TradeAnswered:
		// A request or a trade may be read after a suspend and before the next tick.
		if suspended := lp.suspended(); suspended > 0 {
			lp.step(core.Tick{Suspended: suspended})
		}
	}
	lp.step(event)
}

func (lp *loop) step(event types.Event) {
	for _, effect := range lp.state.Step(event, lp.now()) {
		lp.run(effect)
	}
}

// read calls fn with the state while no event is being applied.
func (lp *loop) read(fn func(state *core.State)) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	fn(lp.state)
}
