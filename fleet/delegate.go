package fleet

import (
	"hash/fnv"
)

// delegatesPerZone is the number of nodes of a zone that watch the platform.
const delegatesPerZone = 2

// IsDelegate reports whether this node watches the platform for its zone: it
// is among the highest rendezvous ranks of the zone's live nodes.
func (tb *Table) IsDelegate() bool {
	if tb.self.Leaving || tb.self.Status != Alive {
		return false
	}
	higher := 0
	own := rank(tb.self)
	for _, member := range tb.members {
		if member.Status == Alive && !member.Leaving && member.Zone == tb.self.Zone && rank(member) > own {
			higher++
		}
	}
	return higher < delegatesPerZone
}

func rank(member Member) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte("delegate|" + string(member.Zone) + "|" + string(member.ID)))
	return hash.Sum64()
}
