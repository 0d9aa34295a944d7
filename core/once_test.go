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

const shuffleSize = 3

// TestAtMostOnce takes calls, resends, restarts and the events between the
// nodes in random orders, with some lost and some twice.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(limit int) int { return rapid.IntRange(0, limit-1).Draw(rt, "choice") }
		sh := newShuffle(shuffleSize, choose)
		var keys []types.Key
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			at := choose(shuffleSize)
			switch choose(12) {
			case 0:
				keys = append(keys, mint(sh.now, uint64(len(keys))))
				sh.call(at, "/booking", types.Some(keys[len(keys)-1]))
			case 1, 2:
				if len(keys) > 0 {
					sh.call(at, "/booking", types.Some(keys[choose(len(keys))]))
				}
			case 3:
				sh.call(at, "/booking", types.None[types.Key]())
			case 4:
				sh.call(at, "/status", types.None[types.Key]())
			case 5:
				sh.now = sh.now.Add(time.Duration(choose(3000)) * time.Millisecond)
			case 6:
				restart(sh, at, choose(5))
			default:
				sh.pump()
			}
		}
		finish(rt, sh)
	})
}

// restart replaces a process, or lets its upstream leave or come back.
func restart(sh *shuffle, at, kind int) {
	switch kind {
	case 0:
		sh.now = sh.now.Add(time.Millisecond)
		for _, call := range sh.calls {
			if call.node == at && call.process == sh.nodes[at].process {
				call.ends = max(call.ends, 1)
			}
		}
		sh.start(at)
	case 1:
		sh.announce(at, true)
	case 2:
		sh.announce(at, false)
	case 3:
		if len(sh.calls) > 0 {
			call := sh.calls[sh.choose(len(sh.calls))]
			if call.ends == 0 {
				call.ends = 1
				sh.step(call.node, flow.CallCanceled{Call: call.event.Call})
			}
		}
	}
}

// finish lets all pending steps happen and checks what must hold.
func finish(rt *rapid.T, sh *shuffle) {
	for range 100_000 {
		if len(sh.pending) == 0 {
			break
		}
		sh.pump()
	}
	if len(sh.pending) > 0 {
		rt.Fatalf("the nodes do not come to rest")
	}
	for _, text := range sh.faults {
		rt.Error(text)
	}
	for key, runs := range sh.keyRuns {
		if runs > 1 {
			rt.Errorf("key %s ran %d times", key, runs)
		}
	}
	for _, call := range sh.calls {
		if call.ends != 1 {
			rt.Errorf("call %d has %d ends", call.event.Call, call.ends)
		}
		if call.event.Target.Path == "/booking" && !call.event.Key.IsSome() && call.runs > 1 {
			rt.Errorf("call %d ran %d times", call.event.Call, call.runs)
		}
	}
	for _, nd := range sh.nodes {
		if open := nd.state.Open(); open != 0 {
			rt.Errorf("%d calls or works are left", open)
		}
	}
	sh.now = sh.now.Add(time.Hour)
	for at, nd := range sh.nodes {
		sh.step(at, core.Tick{})
		if keys := nd.state.Keys(); keys != 0 {
			rt.Errorf("%d keys are left", keys)
		}
	}
}

// TestKeyJoinsAndReplays sends one key through every node.
func TestKeyJoinsAndReplays(t *testing.T) {
	is := is.New(t)
	sh := newShuffle(shuffleSize, func(limit int) int { return limit - 1 })
	sh.order = func(int) int { return 0 }
	key := types.Some(mint(sh.now, 1))
	for at := range shuffleSize {
		sh.call(at, "/booking", key)
	}
	for len(sh.pending) > 0 {
		sh.pump()
	}
	sh.call(0, "/booking", key)
	for len(sh.pending) > 0 {
		sh.pump()
	}
	is.Equal(len(sh.faults), 0)
	is.Equal(sh.keyRuns[key.Or("")], 1)
}
