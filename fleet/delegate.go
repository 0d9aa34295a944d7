package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/types"
)

// defaultDelegates is the default number of nodes of each zone that watch the
// platform's object API for new configurations.
const defaultDelegates = 2

const (
	// settleDelay is how long the view must go without considerable growth,
	// after this node has joined, to count as settled.
	settleDelay = 2 * time.Second
	// growthDivisor defines considerable growth, which restarts settleDelay: the
	// number of live nodes has grown by more than one eighth since the last
	// considerable growth.
	growthDivisor = 8
)

// IsDelegate reports whether this node is a delegate, which watches the platform's
// object API for new configurations on behalf of its zone. The delegates are the
// nodes with the highest rendezvous ranks among the zone's alive nodes that are
// neither leaving nor detached from the platform.
func (tb *Table) IsDelegate() bool { return tb.settled && tb.RanksWithin(tb.delegatesPerZone) }

// RanksWithin reports whether this node may be a delegate and is among the given number of
// nodes with the highest rendezvous ranks in its zone. Unlike IsDelegate, it does not wait
// until the view has settled.
func (tb *Table) RanksWithin(count int) bool {
	rank, eligible := tb.ZoneRank()
	return eligible && rank < count
}

// ZoneRank returns the number of nodes with a higher rendezvous rank in this node's zone that
// may be delegates, or false if this node may not be a delegate.
func (tb *Table) ZoneRank() (int, bool) {
	index := slices.Index(tb.ZoneRanking(), tb.self.ID)
	return index, index >= 0
}

// Settled reports whether the view has stopped growing quickly since this node joined.
func (tb *Table) Settled() bool { return tb.settled }

// updateSettled updates whether the view has stopped growing quickly. A node
// whose view has not settled is not a delegate: right after a start a node
// knows few peers, so all nodes that started at the same time would elect
// themselves.
func (tb *Table) updateSettled(now time.Time) {
	size := len(tb.liveSet.items) + 1
	if !tb.joining.done || size > tb.timing.sizeAtGrowth+tb.timing.sizeAtGrowth/growthDivisor {
		tb.timing.sizeAtGrowth, tb.timing.lastGrowth = size, now
	}
	tb.settled = now.Sub(tb.timing.lastGrowth) >= settleDelay
}

// eligible reports whether the member may be a delegate of its zone.
func (m *Member) eligible() bool { return m.Status == Alive && !m.Leaving && !m.Detached }

// SetDetached records whether this node's calls to the platform get no answer, and
// announces a change to peers. If the node becomes detached, the nodes that may succeed
// it as a delegate are told first, so that no time is lost until one of them reads the
// platform.
func (tb *Table) SetDetached(detached bool) []types.Effect {
	if tb.self.Detached == detached {
		return nil
	}
	var effects []types.Effect
	tb.announce(tb.self.WithDetached(detached))
	if detached {
		for _, rc := range tb.successors() {
			effects = append(effects, tb.exchangeWith(rc))
		}
	}
	return append(effects, tb.Push()...)
}

// successors returns the eligible nodes of this node's zone with the highest ranks. They
// are two for each delegate, since delegates often lose the platform together.
func (tb *Table) successors() []*record {
	var eligible []*record
	for _, rc := range tb.liveSet.items {
		if rc.member.Zone == tb.self.Zone && rc.member.eligible() {
			eligible = append(eligible, rc)
		}
	}
	slices.SortFunc(eligible, func(a, b *record) int { return cmp.Compare(b.rank, a.rank) })
	return eligible[:min(len(eligible), 2*tb.delegatesPerZone)]
}

// ZoneRanking returns the members of this node's zone that may be delegates, the one with
// the highest rendezvous rank first. It includes this node. The caller must not change it.
func (tb *Table) ZoneRanking() []types.InstanceID {
	if !tb.rankingStale {
		return tb.ranking
	}
	type ranked struct {
		id   types.InstanceID
		rank uint64
	}
	var eligible []ranked
	if tb.self.eligible() {
		eligible = append(eligible, ranked{tb.self.ID, rank(tb.self.ID, tb.self.Zone)})
	}
	for _, rc := range tb.liveSet.items {
		if rc.member.Zone == tb.self.Zone && rc.member.eligible() {
			eligible = append(eligible, ranked{rc.member.ID, rc.rank})
		}
	}
	slices.SortFunc(eligible, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	tb.ranking, tb.rankingStale = make([]types.InstanceID, 0, len(eligible)), false
	for _, item := range eligible {
		tb.ranking = append(tb.ranking, item.id)
	}
	return tb.ranking
}

// Contact returns the exchange with a member that is due now, whatever the regular probes.
func (tb *Table) Contact(id types.InstanceID) []types.Effect {
	rc, ok := tb.records[id]
	if !ok {
		return nil
	}
	return []types.Effect{tb.exchangeWith(rc)}
}

// ZonePeers returns up to count random members of this node's zone that may be delegates,
// except for the given ones.
func (tb *Table) ZonePeers(count int, except []types.InstanceID) []Member {
	var peers []Member
	for _, rc := range tb.liveSet.items {
		if rc.member.Zone == tb.self.Zone && rc.member.eligible() && !slices.Contains(except, rc.member.ID) {
			peers = append(peers, rc.member)
		}
	}
	tb.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// DetachedInZone returns the number of detached nodes in this node's zone, including
// this node.
func (tb *Table) DetachedInZone() int {
	count := 0
	for _, rc := range tb.liveSet.items {
		if rc.member.Zone == tb.self.Zone && rc.member.Detached {
			count++
		}
	}
	if tb.self.Detached {
		count++
	}
	return count
}

// rank returns the rendezvous rank of an instance in its zone.
func rank(id types.InstanceID, zone types.Zone) uint64 {
	return xxhash.Sum64String("delegate|" + string(zone) + "|" + string(id))
}
