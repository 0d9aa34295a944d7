package core

import (
	"time"

	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// newsTime is how long the news of a stop takes to spread.
const newsTime = 2 * time.Second

// stop is how far a graceful stop has come.
type stop struct {
	linger  time.Duration
	asked   bool
	until   time.Time
	drained bool
}

// stopAsked announces that the node leaves. It refuses new work from now on.
func (st *State) stopAsked(now time.Time) []types.Effect {
	if st.stop.asked {
		return nil
	}
	st.stop.asked = true
	st.stop.until = now.Add(st.lingerTime())
	st.fleet.Leave()
	effects := []types.Effect{trace.Event{Kind: trace.NodeStopping, Subject: st.fleet.Self().ID}}
	effects = append(effects, st.fleet.Push()...)
	return append(effects, st.electDelegate()...)
}

// lingerTime returns how long a stopping node stays. One that owned an upstream
// answers for the keys that it remembers until no entry sends it new ones.
func (st *State) lingerTime() time.Duration {
	if !st.fleet.Self().TakesWork() {
		return st.stop.linger
	}
	return max(st.stop.linger, st.keys.limits.Margin+newsTime)
}

// checkDrained ends the stop when no request is in flight and the news that
// the node leaves has had its time.
func (st *State) checkDrained(now time.Time) []types.Effect {
	if !st.stop.asked || st.stop.drained || now.Before(st.stop.until) {
		return nil
	}
	if st.calls.Len() > 0 || st.gate.Running() > 0 || st.gate.Queued() > 0 {
		return nil
	}
	st.stop.drained = true
	st.fleet.Depart()
	return append(st.fleet.Push(), Drained{})
}
