package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/types"
)

// defaultDelegates is the number of nodes of a zone that watch the platform.
const defaultDelegates = 2

const (
	settleTime = 2 * time.Second
	// growthShare is the part of the view that counts as growth by much.
	growthShare = 8
)

// IsDelegate reports whether this node watches the platform for its zone: it
// is among the highest rendezvous ranks of the zone's live nodes.
func (tb *Table) IsDelegate() bool {
	if tb.delegateStale {
		tb.delegate = tb.elected()
		tb.delegateStale = false
	}
	return tb.delegate
}

// settle notes when the view has stopped growing. Until then a node that has
// just started would take itself for a delegate, as would all others that
// started with it.
func (tb *Table) settle(now time.Time) {
	size := len(tb.contacts.items) + 1
	if !tb.joining.done || size > tb.timing.size+tb.timing.size/growthShare {
		tb.timing.size, tb.timing.grown = size, now
	}
	settled := now.Sub(tb.timing.grown) >= settleTime
	if settled != tb.settled {
		tb.settled, tb.delegateStale = settled, true
	}
}

func (tb *Table) elected() bool {
	if !tb.settled || tb.self.Leaving || tb.self.Status != Alive {
		return false
	}
	higher := 0
	own := rank(tb.self.ID, tb.self.Zone)
	for _, rc := range tb.contacts.items {
		member := &rc.member
		if member.Zone == tb.self.Zone && rc.rank > own && member.Status == Alive && !member.Leaving {
			higher++
		}
	}
	return higher < tb.delegates
}

func rank(id types.InstanceID, zone types.Zone) uint64 {
	return xxhash.Sum64String("delegate|" + string(zone) + "|" + string(id))
}
