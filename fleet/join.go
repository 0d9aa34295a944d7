package fleet

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// joinQuorum is the number of peers with a configuration that must reply to a
// node before the node serves calls, if the node cannot read the current
// configuration version from the platform.
const joinQuorum = 3

// settledAge is how long a peer must have run so that it holds all versions that
// were accepted before this node started.
const settledAge = 5 * time.Second

// maxSeeds bounds the seed addresses that are kept. The oldest are dropped first.
const maxSeeds = 4096

// joinState is the progress of joining the mesh.
type joinState struct {
	// epoch counts the joins of this process, starting at 1.
	epoch uint64
	// answered is true if at least one peer replied in this epoch. holders are
	// the peers that replied and have a configuration, at most joinQuorum of
	// them.
	answered bool
	holders  []types.InstanceID
	// settledHolders is the number of holders that have run for at least
	// settledAge. starting is true if a peer replied that has not.
	settledHolders int
	starting       bool
	// rootRead is true if the platform's root object, which gives the current
	// configuration version, was read in this epoch.
	rootRead bool
	// receivedFull is true if a peer sent all its records in this epoch. Until
	// then, requests ask for them.
	receivedFull bool
	done         bool
	// earlier is true if a peer replied that had run for at least settledAge when this
	// process started.
	earlier bool
}

func (jo *joinState) begin(epoch uint64) { *jo = joinState{epoch: epoch} }

func (jo *joinState) recordAnswer(answer Message, self Member, now time.Time) {
	jo.answered = true
	jo.earlier = jo.earlier || len(answer.Members) > 0 && self.StartedAt.Sub(answer.Members[0].StartedAt) >= settledAge
	jo.receivedFull = jo.receivedFull || answer.Full
	settled := len(answer.Members) > 0 && now.Sub(answer.Members[0].StartedAt) >= settledAge
	jo.starting = jo.starting || !settled
	if answer.Version > 0 && len(jo.holders) < joinQuorum && !slices.Contains(jo.holders, answer.From) {
		jo.holders = append(jo.holders, answer.From)
		if settled {
			jo.settledHolders++
		}
	}
}

// Epoch returns the join epoch: 1 from the start of this process, and one more
// after each Rejoin.
func (tb *Table) Epoch() uint64 { return tb.joining.epoch }

// RootRead records that the platform's root object was read. The parameter
// epoch is the join epoch in which the read began. A read that began in an
// earlier epoch is ignored.
func (tb *Table) RootRead(epoch uint64) {
	if epoch == tb.joining.epoch {
		tb.joining.rootRead = true
	}
	tb.checkJoined()
}

// Joined reports whether the node has known enough to serve calls at any time in
// this join epoch. If this node has read the platform's root object, one peer must
// have replied, unless no live peer is known. Otherwise, joinQuorum peers that have
// a configuration must have replied, or as many as there are live peers if these
// are fewer, but at least one. In this second case, the version in force on this
// node must also be at least the highest version that any alive member, including
// this node, is known to hold.
func (tb *Table) Joined() bool { return tb.joining.done }

func (tb *Table) checkJoined() {
	jo := &tb.joining
	if jo.done {
		return
	}
	live, holders := len(tb.liveSet.items), len(jo.holders)
	if jo.rootRead {
		jo.done = jo.answered || live == 0
		return
	}
	jo.done = holders > 0 && holders >= min(joinQuorum, live) && tb.version >= tb.highestHeld()
}

func (tb *Table) highestHeld() types.Version {
	highest := tb.self.HeldVersion
	for _, rc := range tb.liveSet.items {
		if rc.member.Status == Alive {
			highest = max(highest, rc.member.HeldVersion)
		}
	}
	return highest
}

// Rejoin starts joining again after the process was paused. During the pause,
// other nodes may have declared this node dead, and this node's view of the
// other nodes has become outdated. Rejoin therefore discards the indirect probes
// in flight, gives each suspected member a new deadline, and announces this node
// with a higher incarnation.
func (tb *Table) Rejoin(now time.Time) {
	tb.joining.begin(tb.joining.epoch + 1)
	for _, rc := range tb.indirectProbes {
		rc.pendingProbes = 0
	}
	tb.indirectProbes = nil
	for _, rc := range tb.suspects {
		rc.suspicionDeadline = now.Add(tb.suspicionTimeout())
	}
	tb.timing = timing{sweep: tb.timing.sweep}
	if tb.self.Status == Alive {
		tb.announce(tb.self)
	}
}

// AddSeeds adds addresses of possible peers. A node that has not joined yet
// contacts a few of them at once; otherwise, the next Tick contacts one.
func (tb *Table) AddSeeds(seeds SeedsFound) []types.Effect {
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
	tb.timing.reconnect = time.Time{}
	if tb.joining.done || tb.self.Status == Left {
		return nil
	}
	return tb.contactSeeds()
}

// contactSeeds starts exchanges with joinQuorum seed addresses that belong to no
// known member.
func (tb *Table) contactSeeds() []types.Effect {
	var effects []types.Effect
	var contacted types.Set[types.Address]
	for range joinQuorum {
		address, ok := tb.unknownSeed()
		if ok && !contacted.Has(address) {
			contacted = contacted.With(address)
			effects = append(effects, tb.newExchange("", address, types.None[Member]()))
		}
	}
	return effects
}

// contactQuorum starts exchanges with joinQuorum random peers, so that the node can
// join without the platform.
func (tb *Table) contactQuorum() []types.Effect {
	var effects []types.Effect
	for _, rc := range tb.liveSet.sample(joinQuorum, nil, tb.rand) {
		effects = append(effects, tb.exchangeWith(rc))
	}
	return effects
}

// JoinedThroughPeers reports whether the node has joined through joinQuorum peers
// that have a configuration and have run for a while. Together they hold any version
// that was accepted before this node started, so the node need not read the
// platform's root object.
func (tb *Table) JoinedThroughPeers() bool {
	return tb.joining.done && tb.joining.settledHolders >= joinQuorum
}

// AnsweredByEarlier reports whether a peer replied that had run for a while when this process
// started. It knows what an earlier process of this instance announced.
func (tb *Table) AnsweredByEarlier() bool { return tb.joining.earlier }

// AnsweredByStarting reports whether a peer replied that has not run for long
// itself, as happens when many nodes start together.
func (tb *Table) AnsweredByStarting() bool { return tb.joining.starting }
