package node

import (
	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fleet"
)

// registerGauges registers the metrics whose values are computed from the state
// at each scrape.
func (nd *Node) registerGauges() {
	register := func(name string, value func(state *core.State) int) {
		nd.metrics.set.NewGauge("sequoiamill_"+name, func() float64 {
			var now int
			nd.loop.read(func(state *core.State) { now = value(state) })
			return float64(now)
		})
	}
	register("config_version", func(state *core.State) int { return int(state.Config().Current().Version()) })
	register("config_floor", func(state *core.State) int { return int(state.Config().Floor()) })
	register("ready", func(state *core.State) int { return boolToInt(state.Ready()) })
	register("work_running", func(state *core.State) int { return state.Load(nd.now()).Outstanding })
	register("work_waiting", func(state *core.State) int { return state.Load(nd.now()).Queued })
	nd.metrics.set.NewGauge("sequoiamill_upstream_fault_share", func() float64 { return nd.load().FaultShare })
	register("upstream_rate_limited", func(state *core.State) int { return boolToInt(state.RateLimited()) })
	register("requests_held", func(state *core.State) int { return len(state.Holds(nd.now())) })
	register("keys_held", func(state *core.State) int { return state.KeyCount() })
	for _, status := range []fleet.Status{fleet.Alive, fleet.Suspect, fleet.Dead, fleet.Left} {
		register(`members{state="`+status.String()+`"}`, func(state *core.State) int { return countMembers(state, status) })
	}
	for _, phase := range []canary.Phase{canary.Trial, canary.Shifting, canary.Done, canary.Back} {
		register(`rollouts{phase="`+phase.String()+`"}`, func(state *core.State) int { return countRollouts(state, phase) })
	}
	for version, ordered := range map[string]bool{"ordered": true, "other": false} {
		register(`rollout_answers{version="`+version+`"}`, func(state *core.State) int {
			answers, _ := state.RolloutAnswers(ordered)
			return answers
		})
		register(`rollout_failures{version="`+version+`"}`, func(state *core.State) int {
			_, failures := state.RolloutAnswers(ordered)
			return failures
		})
	}
	nd.metrics.set.NewGauge("sequoiamill_body_bytes_held", func() float64 { return float64(nd.bodies.Held()) })
	nd.metrics.set.NewGauge("sequoiamill_log_lines_dropped", func() float64 { return float64(nd.dropped()) })
	nd.metrics.set.NewGauge("sequoiamill_config_late_nodes", func() float64 {
		return float64(len(nd.view().LateNodes(nd.now())))
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func countMembers(state *core.State, status fleet.Status) int {
	total := 0
	for _, member := range state.Fleet().Members() {
		if member.Status == status {
			total++
		}
	}
	return total
}

func countRollouts(state *core.State, phase canary.Phase) int {
	var count int
	for _, status := range state.Rollouts() {
		if status.Phase == phase {
			count++
		}
	}
	return count
}
