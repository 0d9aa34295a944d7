package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// settleTime is how long the number of nodes must not have grown by more than one in
	// settledGrowth at once until a node that has just started uses its share. Nodes that
	// join later only make the shares smaller: they use their own no sooner than the others
	// know of them.
	settleTime    = time.Second
	settledGrowth = 8
	// minGroups is the least number of groups of slots, each of which has one pool, and
	// nodesPerGroup the number of nodes for which there is one more.
	minGroups     = 8
	nodesPerGroup = 16
)

// View is what a node knows about the fleet.
type View struct {
	// Nodes is the number of nodes that may be running, this one included.
	Nodes int
	// Pools are the nodes that may be pools, this one included, in a fixed order.
	Pools []types.InstanceID
	// Fresh is true if all other nodes started together with this one, so that no share
	// of an earlier process of this node can be lent out.
	Fresh bool
	// Joined is true if the node has joined the fleet.
	Joined bool
	// Stopping is true if the node is about to end. It lends nothing more.
	Stopping bool
}

func (v View) equal(other View) bool {
	return v.Nodes == other.Nodes && v.Fresh == other.Fresh && v.Joined == other.Joined && v.Stopping == other.Stopping && slices.Equal(v.Pools, other.Pools)
}

// nodeCount is the number of nodes between which the limits are shared. It grows at once,
// and shrinks when the loans of the nodes that left are over.
type nodeCount struct {
	value     int
	grownAt   time.Time
	lowerFrom time.Time
}

func (nc *nodeCount) set(nodes int, now time.Time) {
	switch {
	case nodes > nc.value:
		if nodes > nc.value+nc.value/settledGrowth {
			nc.grownAt = now
		}
		nc.value, nc.lowerFrom = nodes, time.Time{}
	case nodes == nc.value:
		nc.lowerFrom = time.Time{}
	case nc.lowerFrom.IsZero():
		nc.lowerFrom = now
	case now.Sub(nc.lowerFrom) >= nc.loanTime()+guardTime:
		nc.value, nc.lowerFrom = nodes, time.Time{}
	}
}

// loanTime returns how long a loan lasts.
func (nc *nodeCount) loanTime() time.Duration {
	return max(minLoan, min(maxLoan, minLoan*time.Duration(nc.value)/loanNodes))
}

// sharing reports whether the node may use its share. A process that has just started
// waits until the loans of the process before it are over.
func (lg *Ledger) sharing(now time.Time) bool {
	if lg.nodes.value == 0 || !lg.view.Joined || lg.view.Stopping {
		return false
	}
	settled := now.Sub(lg.nodes.grownAt) >= settleTime
	return lg.view.Fresh && settled || now.Sub(lg.started) >= lg.nodes.loanTime()+guardTime
}

// SetView tells the ledger what the node knows about the fleet.
func (lg *Ledger) SetView(view View, now time.Time) {
	lg.nodes.set(max(1, view.Nodes), now)
	if !lg.view.equal(view) {
		lg.view, lg.stale = view, true
	}
}

// findPools finds the pool of each slot: of each group of slots, the node with the
// highest rank among those that answer.
func (lg *Ledger) findPools(now time.Time) {
	lg.stale = false
	groups := min(slotCount, max(minGroups, len(lg.view.Pools)/nodesPerGroup))
	var best [slotCount]uint64
	var chosen [slotCount]types.InstanceID
	for _, id := range lg.view.Pools {
		if index, ok := lg.findPeer(id); ok && now.Before(lg.peers[index].awayUntil) {
			continue
		}
		sum := xxhash.Sum64String(string(id))
		for group := range groups {
			if rank := mix(sum ^ uint64(group+1)*0x9e3779b97f4a7c15); rank >= best[group] {
				best[group], chosen[group] = rank, id
			}
		}
	}
	lg.selfSlots = 0
	for _, peer := range lg.peers {
		peer.poolSlots = 0
	}
	for slot := range slotCount {
		id := chosen[slot%groups]
		if id == lg.self || id == "" {
			lg.pools[slot], lg.selfSlots = nil, lg.selfSlots|1<<slot
			continue
		}
		lg.pools[slot] = lg.peer(id)
		lg.pools[slot].poolSlots |= 1 << slot
	}
}

// mix spreads the bits of a number.
func mix(bits uint64) uint64 {
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}

func slotOf(team types.TeamName) int { return int(xxhash.Sum64String(string(team)) % slotCount) }
