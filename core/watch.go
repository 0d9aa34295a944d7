package core

import (
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// currentWatches is the number of nodes of each zone whose watches must not be late if
// all nodes watch.
const currentWatches = 2

// electWatch starts, changes or stops this node's watch on the platform.
func (st *State) electWatch() []types.Effect {
	wanted := st.wantedWatch()
	if wanted == st.watch {
		return nil
	}
	// A new watch takes longer than a read to tell of a version.
	if st.watch.Cached && wanted.On && !wanted.Cached && st.fleet.Settled() {
		st.poller.once = true
	}
	st.watch = wanted
	detail := "ended"
	switch {
	case wanted.Cached:
		detail = "began, of cached data"
	case wanted.On:
		detail = "began"
	}
	return []types.Effect{wanted, trace.Event{Kind: trace.DelegateChanged, Subject: st.fleet.Self().ID, Detail: detail}}
}

// wantedWatch returns how this node is to watch the platform. Delegates are the few nodes
// of a zone that watch the platform and pass configurations on to their peers. With
// SpreadWatch, each node watches until a stop is requested. The watches of a few nodes of
// each zone are current then, so that a version arrives whatever becomes of the delegates,
// and that of a node that has just started, which may replace one of these.
func (st *State) wantedWatch() WatchPlatform {
	if st.policies.Spread != SpreadWatch {
		return WatchPlatform{On: st.fleet.Joined() && st.fleet.IsDelegate()}
	}
	if st.stop.requested {
		return WatchPlatform{}
	}
	return WatchPlatform{On: true, Cached: st.fleet.Settled() && !st.fleet.RanksWithin(currentWatches)}
}
