package fleet

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// sum is a hash of records, and one of the versions that they hold.
type sum struct{ records, held uint64 }

func sumOf(member Member) sum {
	return sum{records: member.hash(), held: member.heldHash()}
}

func (s sum) xor(other sum) sum {
	return sum{records: s.records ^ other.records, held: s.held ^ other.held}
}

// record is what the table keeps of one other member.
type record struct {
	member Member
	hash   sum
	rank   uint64
	bucket int
	// slot is the place in the bag that holds the record, or -1.
	slot int
	// counted states that the hash is part of the view.
	counted bool
	// goneAt is when the member was found dead or left.
	goneAt time.Time
	// suspectUntil is when a suspected member is held to be dead.
	suspectUntil time.Time
	// claim is a peer's claim of death that this node has yet to check.
	claim types.Option[Member]
	// indirect is the number of indirect probes under way.
	indirect      int
	indirectUntil time.Time
	duplicated    bool
	news          news
}

// bag is a set of records with a random order and a cursor.
type bag struct {
	items  []*record
	cursor int
}

func (bg *bag) add(rc *record, source *rand.Rand) {
	rc.slot = len(bg.items)
	bg.items = append(bg.items, rc)
	bg.swap(rc.slot, bg.cursor+source.IntN(len(bg.items)-bg.cursor))
}

// remove keeps the records before the cursor before it.
func (bg *bag) remove(rc *record) {
	hole := rc.slot
	if hole < bg.cursor {
		bg.cursor--
		bg.swap(hole, bg.cursor)
		hole = bg.cursor
	}
	last := len(bg.items) - 1
	bg.swap(hole, last)
	bg.items[last] = nil
	bg.items = bg.items[:last]
	rc.slot = -1
}

func (bg *bag) swap(a, b int) {
	bg.items[a], bg.items[b] = bg.items[b], bg.items[a]
	bg.items[a].slot, bg.items[b].slot = a, b
}

// next returns each record once before it starts over in another order.
func (bg *bag) next(source *rand.Rand) (*record, bool) {
	if len(bg.items) == 0 {
		return nil, false
	}
	if bg.cursor == len(bg.items) {
		bg.cursor = 0
		source.Shuffle(len(bg.items), bg.swap)
	}
	rc := bg.items[bg.cursor]
	bg.cursor++
	return rc, true
}

// pick returns any record.
func (bg *bag) pick(source *rand.Rand) (*record, bool) {
	if len(bg.items) == 0 {
		return nil, false
	}
	return bg.items[source.IntN(len(bg.items))], true
}

// sample returns up to count records other than one.
func (bg *bag) sample(count int, except *record, source *rand.Rand) []*record {
	var chosen []*record
	start := 0
	if len(bg.items) > 0 {
		start = source.IntN(len(bg.items))
	}
	for offset := range bg.items {
		rc := bg.items[(start+offset)%len(bg.items)]
		if rc != except && rc.member.Status == Alive {
			chosen = append(chosen, rc)
		}
		if len(chosen) == count {
			break
		}
	}
	return chosen
}
