package core

import (
	"time"

	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// stop is how far a graceful stop has come.
type stop struct {
	linger  time.Duration
	asked   bool
	since   time.Time
	drained bool
}

// stopAsked announces that the node leaves. It refuses new work from now on.
func (st *State) stopAsked(now time.Time) []types.Effect {
	if st.stop.asked {
		return nil
	}
	st.stop.asked = true
	st.stop.since = now
	st.fleet.Leave()
	effects := []types.Effect{trace.Event{Kind: trace.NodeStopping, Subject: st.fleet.Self().ID}}
	effects = append(effects, st.fleet.Push()...)
	return append(effects, st.electDelegate()...)
}

// checkDrained ends the stop when no request is in flight and the news that
// the node leaves has had its time.
func (st *State) checkDrained(now time.Time) []types.Effect {
	if !st.stop.asked || st.stop.drained || now.Sub(st.stop.since) < st.stop.linger {
		return nil
	}
	if st.calls.Len() > 0 || st.gate.Running() > 0 || st.gate.Queued() > 0 {
		return nil
	}
	st.stop.drained = true
	st.fleet.Depart()
	return append(st.fleet.Push(), Drained{})
}
