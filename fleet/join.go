package fleet

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// joinQuorum is the number of peers that must answer a node before it serves
// without the platform.
const joinQuorum = 3

// maxSeeds bounds the addresses of possible peers; the oldest go first.
const maxSeeds = 4096

// joining is how far a node has got with taking part in the fleet.
type joining struct {
	// epoch numbers the joins of one process.
	epoch uint64
	// answered states that any peer answered; holders are those that did and
	// hold a configuration, up to the quorum.
	answered bool
	holders  []types.InstanceID
	// rootRead states that the platform's root was read in this epoch.
	rootRead bool
	// filled states that a peer sent all its records.
	filled bool
	done   bool
}

func (jo *joining) begin(epoch uint64) { *jo = joining{epoch: epoch} }

func (jo *joining) heard(answer Message) {
	jo.answered = true
	jo.filled = jo.filled || answer.Full
	if answer.Version > 0 && len(jo.holders) < joinQuorum && !slices.Contains(jo.holders, answer.From) {
		jo.holders = append(jo.holders, answer.From)
	}
}

// Epoch numbers the times that this process joined the fleet.
func (tb *Table) Epoch() uint64 { return tb.joining.epoch }

// RootRead records that the platform's current root was read.
func (tb *Table) RootRead(epoch uint64) {
	if epoch == tb.joining.epoch {
		tb.joining.rootRead = true
	}
	tb.checkJoined()
}

// Joined reports whether the node knows enough to serve. With the platform's
// root read, one peer must have answered, if any is known to live. Without
// it, joinQuorum peers that hold a configuration must have, or all that live if
// these are fewer, and the highest version that a live member holds must be in
// force here.
func (tb *Table) Joined() bool { return tb.joining.done }

func (tb *Table) checkJoined() {
	jo := &tb.joining
	if jo.done {
		return
	}
	live, holders := len(tb.contacts.items), len(jo.holders)
	if jo.rootRead {
		jo.done = jo.answered || live == 0
		return
	}
	jo.done = holders > 0 && holders >= min(joinQuorum, live) && tb.version >= tb.highestHeld()
}

func (tb *Table) highestHeld() types.Version {
	highest := tb.self.Held
	for _, rc := range tb.contacts.items {
		if rc.member.Status == Alive {
			highest = max(highest, rc.member.Held)
		}
	}
	return highest
}

// Rejoin starts anew after a pause of the process: other nodes may hold it to
// be dead, and what it knows of them is old.
func (tb *Table) Rejoin(now time.Time) {
	tb.joining.begin(tb.joining.epoch + 1)
	for _, rc := range tb.indirect {
		rc.indirect = 0
	}
	tb.indirect = nil
	for _, rc := range tb.suspects {
		rc.suspectUntil = now.Add(tb.suspicionTimeout())
	}
	tb.timing = timing{sweep: tb.timing.sweep}
	if tb.self.Status == Alive {
		tb.announce(tb.self)
	}
}

// AddSeeds records addresses of possible peers.
func (tb *Table) AddSeeds(seeds SeedsFound) {
	for _, address := range seeds.Addresses {
		if _, known := tb.seedSet[address]; known || address == tb.self.Address {
			continue
		}
		tb.seedSet[address] = struct{}{}
		tb.seeds = append(tb.seeds, address)
	}
	for len(tb.seeds) > maxSeeds {
		delete(tb.seedSet, tb.seeds[0])
		tb.seeds = tb.seeds[1:]
	}
	tb.timing.contact = time.Time{}
}
