package fleet

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// hashPair holds two hashes of one or several records: one of the records
// excluding the configuration versions held, and one of these versions. The
// hashes of several records are combined by XOR, so the order of the records is
// irrelevant.
type hashPair struct{ records, held uint64 }

func hashOf(member Member) hashPair {
	return hashPair{records: member.hash(), held: member.heldHash()}
}

func (h hashPair) xor(other hashPair) hashPair {
	return hashPair{records: h.records ^ other.records, held: h.held ^ other.held}
}

// record is the table's entry for one member other than the node itself.
type record struct {
	member Member
	hash   hashPair
	// rank is the member's rendezvous rank in the election of delegates.
	rank   uint64
	bucket int
	// setIndex is the record's index in the shuffledSet that contains it, or -1
	// if it is in none.
	setIndex int
	// inView is true if the table's bucket hashes include the record.
	inView bool
	// goneAt is the time since which the member is known to be dead or to have
	// left.
	goneAt time.Time
	// suspicionDeadline is when a suspected member is declared dead if it has
	// not refuted the suspicion.
	suspicionDeadline time.Time
	// deathClaim is a peer's record which says that the member is dead. It is
	// kept until this node has checked the claim by contacting the member.
	deathClaim types.Option[Member]
	// pendingProbes is the number of indirect probes without a result yet. They
	// count as failed at indirectDeadline.
	pendingProbes    int
	indirectDeadline time.Time
	// duplicateReported is true once a Duplicated effect was returned, so that it
	// is returned only once for each member.
	duplicateReported bool
	gossip            gossipState
}

// shuffledSet is a set of records in random order. The cursor separates the
// records already visited in the current round from those still to be visited.
type shuffledSet struct {
	items  []*record
	cursor int
}

// add inserts a record at a random position at or after the cursor, so that it
// is visited in the current round.
func (set *shuffledSet) add(rc *record, source *rand.Rand) {
	rc.setIndex = len(set.items)
	set.items = append(set.items, rc)
	set.swap(rc.setIndex, set.cursor+source.IntN(len(set.items)-set.cursor))
}

// remove deletes a record. Records that were visited in the current round stay
// before the cursor.
func (set *shuffledSet) remove(rc *record) {
	index := rc.setIndex
	if index < set.cursor {
		set.cursor--
		set.swap(index, set.cursor)
		index = set.cursor
	}
	last := len(set.items) - 1
	set.swap(index, last)
	set.items[last] = nil
	set.items = set.items[:last]
	rc.setIndex = -1
}

func (set *shuffledSet) swap(a, b int) {
	set.items[a], set.items[b] = set.items[b], set.items[a]
	set.items[a].setIndex, set.items[b].setIndex = a, b
}

// next returns the next record of the current round. When all records have been
// visited, it reshuffles them and starts another round.
func (set *shuffledSet) next(source *rand.Rand) (*record, bool) {
	if len(set.items) == 0 {
		return nil, false
	}
	if set.cursor == len(set.items) {
		set.cursor = 0
		source.Shuffle(len(set.items), set.swap)
	}
	rc := set.items[set.cursor]
	set.cursor++
	return rc, true
}

// pick returns a random record.
func (set *shuffledSet) pick(source *rand.Rand) (*record, bool) {
	if len(set.items) == 0 {
		return nil, false
	}
	return set.items[source.IntN(len(set.items))], true
}

// sample returns up to count records of alive members, except for the given
// record.
func (set *shuffledSet) sample(count int, except *record, source *rand.Rand) []*record {
	var chosen []*record
	start := 0
	if len(set.items) > 0 {
		start = source.IntN(len(set.items))
	}
	for offset := range set.items {
		rc := set.items[(start+offset)%len(set.items)]
		if rc != except && rc.member.Status == Alive {
			chosen = append(chosen, rc)
		}
		if len(chosen) == count {
			break
		}
	}
	return chosen
}
