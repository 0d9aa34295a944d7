package fleet

import (
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
// not leaving.
func (tb *Table) IsDelegate() bool {
	if tb.delegateStale {
		tb.delegate = tb.computeDelegate()
		tb.delegateStale = false
	}
	return tb.delegate
}

// updateSettled updates whether the view has stopped growing quickly. A node
// whose view has not settled is not a delegate: right after a start a node
// knows few peers, so all nodes that started at the same time would elect
// themselves.
func (tb *Table) updateSettled(now time.Time) {
	size := len(tb.liveSet.items) + 1
	if !tb.joining.done || size > tb.timing.sizeAtGrowth+tb.timing.sizeAtGrowth/growthDivisor {
		tb.timing.sizeAtGrowth, tb.timing.lastGrowth = size, now
	}
	settled := now.Sub(tb.timing.lastGrowth) >= settleDelay
	if settled != tb.settled {
		tb.settled, tb.delegateStale = settled, true
	}
}

func (tb *Table) computeDelegate() bool {
	if !tb.settled || tb.self.Leaving || tb.self.Status != Alive {
		return false
	}
	higher := 0
	own := rank(tb.self.ID, tb.self.Zone)
	for _, rc := range tb.liveSet.items {
		member := &rc.member
		if member.Zone == tb.self.Zone && rc.rank > own && member.Status == Alive && !member.Leaving {
			higher++
		}
	}
	return higher < tb.delegatesPerZone
}

// rank returns the rendezvous rank of an instance in its zone.
func rank(id types.InstanceID, zone types.Zone) uint64 {
	return xxhash.Sum64String("delegate|" + string(zone) + "|" + string(id))
}
