package node

import (
	"sync"
	"time"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/types"
)

// loop feeds one reducer and hands its effects out in order.
type loop struct {
	mu    sync.Mutex
	state *core.State
	now   func() time.Time
	// run carries out one effect. It must neither block nor post.
	run func(effect types.Effect)
}

// post applies an event and carries out its effects.
func (lp *loop) post(event types.Event) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	for _, effect := range lp.state.Step(event, lp.now()) {
		lp.run(effect)
	}
}

// read runs a function on the state between two events.
func (lp *loop) read(look func(state *core.State)) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	look(lp.state)
}
