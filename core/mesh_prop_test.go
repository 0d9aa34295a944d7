package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

const meshSize = 3

// TestAtMostOnce takes calls, resends, restarts and the events between the
// nodes in random orders, with some lost and some twice.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(limit int) int { return rapid.IntRange(0, limit-1).Draw(rt, "choice") }
		ms := newMesh(meshSize, choose)
		var keys []types.Key
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			at := choose(meshSize)
			switch choose(12) {
			case 0:
				keys = append(keys, mint(ms.now, uint64(len(keys))))
				ms.call(at, "/booking", types.Some(keys[len(keys)-1]))
			case 1, 2:
				if len(keys) > 0 {
					ms.call(at, "/booking", types.Some(keys[choose(len(keys))]))
				}
			case 3:
				ms.call(at, "/booking", types.None[types.Key]())
			case 4:
				ms.call(at, "/status", types.None[types.Key]())
			case 5:
				ms.now = ms.now.Add(time.Duration(choose(3000)) * time.Millisecond)
			case 6:
				restart(ms, at, choose(5))
			default:
				ms.pump()
			}
		}
		finish(rt, ms)
	})
}

// restart replaces a process, or lets its upstream leave or come back.
func restart(ms *mesh, at, kind int) {
	switch kind {
	case 0:
		ms.now = ms.now.Add(time.Millisecond)
		for _, call := range ms.calls {
			if call.node == at && call.process == ms.nodes[at].process {
				call.ends = max(call.ends, 1)
			}
		}
		ms.start(at)
	case 1:
		ms.announce(at, true)
	case 2:
		ms.announce(at, false)
	case 3:
		if len(ms.calls) > 0 {
			call := ms.calls[ms.choose(len(ms.calls))]
			if call.ends == 0 {
				call.ends = 1
				ms.step(call.node, flow.CallCanceled{Call: call.event.Call})
			}
		}
	}
}

// finish lets all pending steps happen and checks what must hold.
func finish(rt *rapid.T, ms *mesh) {
	for range 100_000 {
		if len(ms.pending) == 0 {
			break
		}
		ms.pump()
	}
	if len(ms.pending) > 0 {
		rt.Fatalf("the nodes do not come to rest")
	}
	for _, text := range ms.faults {
		rt.Error(text)
	}
	for key, runs := range ms.keyRuns {
		if runs > 1 {
			rt.Errorf("key %s ran %d times", key, runs)
		}
	}
	for _, call := range ms.calls {
		if call.ends != 1 {
			rt.Errorf("call %d has %d ends", call.event.Call, call.ends)
		}
		if call.event.Target.Path == "/booking" && !call.event.Key.IsSome() && call.runs > 1 {
			rt.Errorf("call %d ran %d times", call.event.Call, call.runs)
		}
	}
	for _, nd := range ms.nodes {
		if open := nd.state.Open(); open != 0 {
			rt.Errorf("%d calls or works are left", open)
		}
	}
	ms.now = ms.now.Add(time.Hour)
	for at, nd := range ms.nodes {
		ms.step(at, core.Tick{})
		if keys := nd.state.Keys(); keys != 0 {
			rt.Errorf("%d keys are left", keys)
		}
	}
}

// TestKeyJoinsAndReplays sends one key through every node.
func TestKeyJoinsAndReplays(t *testing.T) {
	is := is.New(t)
	ms := newMesh(meshSize, func(limit int) int { return limit - 1 })
	ms.order = func(int) int { return 0 }
	key := types.Some(mint(ms.now, 1))
	for at := range meshSize {
		ms.call(at, "/booking", key)
	}
	for len(ms.pending) > 0 {
		ms.pump()
	}
	ms.call(0, "/booking", key)
	for len(ms.pending) > 0 {
		ms.pump()
	}
	is.Equal(len(ms.faults), 0)
	is.Equal(ms.keyRuns[key.Or("")], 1)
}
