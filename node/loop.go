package node

import (
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/core"
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
}

// post applies one event to the state and runs the resulting effects.
func (lp *loop) post(event types.Event) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
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
