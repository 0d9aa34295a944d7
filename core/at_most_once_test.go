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

const clusterSize = 3

// TestAtMostOnce checks that work with an idempotency key runs at most once. It
// runs calls, repeated calls, restarts and the messages between the nodes in
// random order, and loses or duplicates some messages.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(limit int) int { return rapid.IntRange(0, limit-1).Draw(rt, "choice") }
		sim := newSimulation(clusterSize, choose)
		var keys []types.Key
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			node := choose(clusterSize)
			switch choose(12) {
			case 0:
				keys = append(keys, mint(sim.now, uint64(len(keys))))
				sim.call(node, "/booking", types.Some(keys[len(keys)-1]))
			case 1, 2:
				if len(keys) > 0 {
					sim.call(node, "/booking", types.Some(keys[choose(len(keys))]))
				}
			case 3:
				sim.call(node, "/booking", types.None[types.Key]())
			case 4:
				sim.call(node, "/status", types.None[types.Key]())
			case 5:
				sim.now = sim.now.Add(time.Duration(choose(3000)) * time.Millisecond)
			case 6:
				restart(sim, node, choose(5))
			default:
				sim.runPending()
			}
		}
		drainAndCheck(rt, sim)
	})
}

// restart performs the action that kind selects: 0 restarts the node, 1 lets its
// upstream leave, 2 lets its upstream return, 3 cancels a random call, and any
// other kind does nothing.
func restart(sim *simulation, node, kind int) {
	switch kind {
	case 0:
		sim.now = sim.now.Add(time.Millisecond)
		for _, call := range sim.calls {
			if call.node == node && call.process == sim.nodes[node].process {
				call.results = max(call.results, 1)
			}
		}
		sim.start(node)
	case 1:
		sim.announce(node, true)
	case 2:
		sim.announce(node, false)
	case 3:
		if len(sim.calls) > 0 {
			call := sim.calls[sim.choose(len(sim.calls))]
			if call.results == 0 {
				call.results = 1
				sim.step(call.node, flow.CallCanceled{Call: call.event.Call})
			}
		}
	}
}

// drainAndCheck runs all pending steps and checks the invariants.
func drainAndCheck(rt *rapid.T, sim *simulation) {
	for range 100_000 {
		if len(sim.pending) == 0 {
			break
		}
		sim.runPending()
	}
	if len(sim.pending) > 0 {
		rt.Fatalf("steps are still pending after 100,000 steps")
	}
	for _, text := range sim.violations {
		rt.Error(text)
	}
	for key, runs := range sim.keyRuns {
		if runs > 1 {
			rt.Errorf("key %s ran %d times", key, runs)
		}
	}
	for _, call := range sim.calls {
		if call.results != 1 {
			rt.Errorf("call %d has %d results, want 1", call.event.Call, call.results)
		}
		if call.event.Target.Path == "/booking" && !call.event.Key.IsSome() && call.executions > 1 {
			rt.Errorf("call %d ran %d times", call.event.Call, call.executions)
		}
	}
	for _, nd := range sim.nodes {
		if open := nd.state.InProgressCount(); open != 0 {
			rt.Errorf("%d calls or work items are still in progress", open)
		}
	}
	sim.now = sim.now.Add(time.Hour)
	for node, nd := range sim.nodes {
		sim.step(node, core.Tick{})
		if keys := nd.state.KeyCount(); keys != 0 {
			rt.Errorf("%d keys are left after their retention", keys)
		}
	}
}

// TestKeyJoinsAndReplays sends calls with the same key through every node before
// the work ends, and another call after the work has ended. It checks that the
// work runs once.
func TestKeyJoinsAndReplays(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(clusterSize, func(limit int) int { return limit - 1 })
	sim.order = func(int) int { return 0 }
	key := types.Some(mint(sim.now, 1))
	for node := range clusterSize {
		sim.call(node, "/booking", key)
	}
	for len(sim.pending) > 0 {
		sim.runPending()
	}
	sim.call(0, "/booking", key)
	for len(sim.pending) > 0 {
		sim.runPending()
	}
	is.Equal(len(sim.violations), 0)
	is.Equal(sim.keyRuns[key.Or("")], 1)
}
