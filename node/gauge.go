package node

import (
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fleet"
)

// gauge registers the metrics that are read from the state when they are
// scraped.
func (nd *Node) gauge() {
	of := func(name string, value func(state *core.State) int) {
		nd.meters.set.NewGauge("sequoiamill_"+name, func() float64 {
			var now int
			nd.loop.read(func(state *core.State) { now = value(state) })
			return float64(now)
		})
	}
	of("config_version", func(state *core.State) int { return int(state.Conf().Current().Version()) })
	of("config_floor", func(state *core.State) int { return int(state.Conf().Floor()) })
	of("ready", func(state *core.State) int { return one(state.Ready()) })
	of("work_running", func(state *core.State) int { return state.Load(nd.now()).Outstanding })
	of("work_waiting", func(state *core.State) int { return state.Load(nd.now()).Queued })
	nd.meters.set.NewGauge("sequoiamill_upstream_fault_share", func() float64 { return nd.load().Faults })
	of("keys_held", func(state *core.State) int { return state.Keys() })
	for _, status := range []fleet.Status{fleet.Alive, fleet.Suspect, fleet.Dead, fleet.Left} {
		of(`members{state="`+status.String()+`"}`, func(state *core.State) int { return count(state, status) })
	}
	nd.meters.set.NewGauge("sequoiamill_log_lines_dropped", func() float64 { return float64(nd.dropped()) })
	nd.meters.set.NewGauge("sequoiamill_config_late_nodes", func() float64 {
		return float64(len(nd.view().Late(nd.now())))
	})
}

func one(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

func count(state *core.State, status fleet.Status) int {
	total := 0
	for _, member := range state.Fleet().Members() {
		if member.Status == status {
			total++
		}
	}
	return total
}
