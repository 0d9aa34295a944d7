package core

import (
	"time"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// standbyPatience is how much later than due a standby waits for its delegate's message
// before it reads the platform in the delegate's place.
const standbyPatience = 300 * time.Millisecond

// standby is the duty of one node of each zone to notice that the delegate no longer reads,
// sooner than failure detection does. The delegate sends it a message after each answered
// read. It is the first node by rank without a current watch, as those with one may be lost
// together.
type standby struct {
	on bool
	// heardAt is when the delegate was last heard of.
	heardAt time.Time
}

// standbyOf returns the delegate and the standby of a zone, or false if it has none.
func standbyOf(ranking []fleet.Member) (delegate, standby types.InstanceID, ok bool) {
	last := min(currentWatches, len(ranking)-1)
	if last < 1 {
		return "", "", false
	}
	return ranking[0].ID, ranking[last].ID, true
}

// awaitDelegate lets a standby read once if its delegate has fallen silent, and again after
// each interval.
func (st *State) awaitDelegate(now time.Time) []types.Effect {
	po := &st.poller
	possible := po.interval > 0 && st.fleet.Settled() && !po.delegate && st.fleet.RanksWithin(currentWatches+1)
	if !possible {
		po.standby = standby{}
		return nil
	}
	delegate, id, ok := standbyOf(st.fleet.ZoneRanking())
	on := ok && id == st.fleet.Self().ID
	if !on || !po.standby.on {
		po.standby = standby{on: on, heardAt: now}
		return nil
	}
	silence := now.Sub(po.standby.heardAt)
	if silence < po.longestWait()+standbyPatience {
		return nil
	}
	po.once = true
	po.standby.heardAt = now.Add(-standbyPatience)
	return []types.Effect{st.hedgeEvent(delegate, "read in its place, not heard for "+silence.Round(time.Millisecond).String())}
}

// heard notes a message of another node for the duty of a standby.
func (st *State) heard(from types.InstanceID, now time.Time) {
	if !st.poller.standby.on {
		return
	}
	if delegate, _, ok := standbyOf(st.fleet.ZoneRanking()); ok && delegate == from {
		st.poller.standby.heardAt = now
	}
}

// tellStandby sends a message to the standby of this node's zone.
func (st *State) tellStandby() []types.Effect {
	delegate, id, ok := standbyOf(st.fleet.ZoneRanking())
	if !ok || delegate != st.fleet.Self().ID {
		return nil
	}
	return st.fleet.Contact(id)
}

func (st *State) hedgeEvent(peer types.InstanceID, detail string) types.Effect {
	return trace.Event{Kind: trace.ReadHedged, Subject: peer, Detail: detail}
}
