package fleet

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	exchangeInterval = time.Second
	suspicionTimeout = 4 * time.Second
	seedInterval     = 2 * time.Second
	maxUpdates       = 32
	pushFanOut       = 3
)

// Table is one node's view of the fleet.
type Table struct {
	self     Member
	members  map[types.InstanceID]Member
	suspects map[types.InstanceID]time.Time
	queue    map[types.InstanceID]int
	seeds    map[types.Address]struct{}
	former   map[types.InstanceID]Former
	version  types.Version
	digest   types.Hash
	rand     *rand.Rand
	next     time.Time
	nextSeed time.Time
	pushes   int
}

// NewTable returns a table that knows only the node itself.
func NewTable(self Member, source *rand.Rand) *Table {
	tb := &Table{
		self:     self.WithStatus(Alive),
		members:  map[types.InstanceID]Member{},
		suspects: map[types.InstanceID]time.Time{},
		queue:    map[types.InstanceID]int{},
		seeds:    map[types.Address]struct{}{},
		former:   map[types.InstanceID]Former{},
		rand:     source,
	}
	tb.enqueue(self.ID)
	return tb
}

// Self returns the node's own record.
func (tb *Table) Self() Member { return tb.self }

// Member returns the record of an instance.
func (tb *Table) Member(id types.InstanceID) (Member, bool) {
	if id == tb.self.ID {
		return tb.self, true
	}
	member, ok := tb.members[id]
	return member, ok
}

// Members returns all records ordered by instance.
func (tb *Table) Members() []Member {
	all := slices.Collect(maps.Values(tb.members))
	all = append(all, tb.self)
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Hold records the configuration in force on this node and pushes the news.
func (tb *Table) Hold(version types.Version, digest types.Hash) {
	tb.version, tb.digest = version, digest
	tb.self = tb.self.WithHeld(version)
	tb.enqueue(tb.self.ID)
	tb.pushes = pushFanOut
}

// SetUpstream changes the upstream that this node owns.
func (tb *Table) SetUpstream(service types.ServiceName, upstream types.Option[Upstream]) {
	tb.self = tb.self.WithUpstream(service, upstream)
	tb.announce()
}

// Leave marks this node as taking no new work.
func (tb *Table) Leave() {
	tb.self = tb.self.WithLeaving()
	tb.announce()
}

// Depart marks this node as gone.
func (tb *Table) Depart() {
	tb.self = tb.self.WithStatus(Left)
	tb.announce()
}

func (tb *Table) announce() {
	tb.self = tb.self.WithIncarnation(tb.self.Incarnation + 1)
	tb.enqueue(tb.self.ID)
	tb.pushes = pushFanOut
}

// AddSeeds records addresses of possible peers.
func (tb *Table) AddSeeds(seeds SeedsFound) {
	for _, address := range seeds.Addresses {
		if address != tb.self.Address {
			tb.seeds[address] = struct{}{}
		}
	}
	tb.nextSeed = time.Time{}
}

// Tick sends the exchanges that are due and ends suspicions.
func (tb *Table) Tick(now time.Time) []types.Effect {
	effects := tb.expire(now)
	effects = append(effects, tb.Push()...)
	if now.Before(tb.next) {
		return effects
	}
	tb.next = now.Add(exchangeInterval)
	if peer, ok := tb.randomPeer(); ok {
		effects = append(effects, tb.send(peer.ID, peer.Address, false))
	}
	if !now.Before(tb.nextSeed) {
		tb.nextSeed = now.Add(seedInterval)
		effects = append(effects, tb.contactSeed()...)
	}
	return effects
}

// Push sends the exchanges that spread urgent news.
func (tb *Table) Push() []types.Effect {
	var effects []types.Effect
	for ; tb.pushes > 0; tb.pushes-- {
		if peer, ok := tb.randomPeer(); ok {
			effects = append(effects, tb.send(peer.ID, peer.Address, false))
		}
	}
	return effects
}

func (tb *Table) contactSeed() []types.Effect {
	known := map[types.Address]bool{}
	for _, member := range tb.members {
		known[member.Address] = member.Status == Alive
	}
	var unknown []types.Address
	for address := range tb.seeds {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	slices.Sort(unknown)
	address := unknown[tb.rand.IntN(len(unknown))]
	return []types.Effect{tb.send("", address, true)}
}

func (tb *Table) expire(now time.Time) []types.Effect {
	var effects []types.Effect
	for _, id := range slices.Sorted(maps.Keys(tb.suspects)) {
		if now.Before(tb.suspects[id]) {
			continue
		}
		delete(tb.suspects, id)
		if member := tb.members[id]; member.Status == Suspect {
			effects = append(effects, tb.store(member.WithStatus(Dead), now)...)
		}
	}
	return effects
}

func (tb *Table) randomPeer() (Member, bool) {
	var live []Member
	for _, member := range tb.members {
		if member.Status == Alive || member.Status == Suspect {
			live = append(live, member)
		}
	}
	if len(live) == 0 {
		return Member{}, false
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return live[tb.rand.IntN(len(live))], true
}

func (tb *Table) send(id types.InstanceID, address types.Address, full bool) types.Effect {
	return SendExchange{Peer: id, Address: address, Message: tb.message(full)}
}

func (tb *Table) message(full bool) Message {
	message := Message{
		From:        tb.self.ID,
		Incarnation: tb.self.Incarnation,
		Version:     tb.version,
		Digest:      tb.digest,
		View:        tb.view(),
		Full:        full,
	}
	if full {
		message.Members = tb.Members()
		return message
	}
	message.Members = tb.updates()
	return message
}

func (tb *Table) updates() []Member {
	var updates []Member
	for _, id := range slices.Sorted(maps.Keys(tb.queue)) {
		if len(updates) == maxUpdates {
			break
		}
		member, ok := tb.Member(id)
		if ok {
			updates = append(updates, member)
		}
		if tb.queue[id]--; tb.queue[id] <= 0 {
			delete(tb.queue, id)
		}
	}
	return updates
}

func (tb *Table) enqueue(id types.InstanceID) {
	tb.queue[id] = 4 * (1 + bits.Len(uint(len(tb.members))))
}

// Received merges a peer's message and answers it.
func (tb *Table) Received(event ExchangeReceived, now time.Time) []types.Effect {
	effects := tb.merge(event.Message, now)
	full := event.Message.Full || event.Message.View != tb.view() && len(tb.queue) == 0
	reply := ReplyExchange{Token: event.Token, Message: tb.message(full)}
	return append(effects, reply)
}

// Answered merges a peer's answer.
func (tb *Table) Answered(event ExchangeAnswered, now time.Time) []types.Effect {
	return tb.merge(event.Message, now)
}

// Failed suspects a peer that did not answer.
func (tb *Table) Failed(event ExchangeFailed, now time.Time) []types.Effect {
	member, ok := tb.members[event.Peer]
	if !ok || member.Status != Alive {
		return nil
	}
	return tb.store(member.WithStatus(Suspect), now)
}

func (tb *Table) merge(message Message, now time.Time) []types.Effect {
	var effects []types.Effect
	for _, member := range message.Members {
		effects = append(effects, tb.learn(member, now)...)
	}
	sender, ok := tb.members[message.From]
	if ok && sender.Held < message.Version {
		tb.members[message.From] = sender.WithHeld(message.Version)
	}
	if ok && message.Version > tb.version {
		effects = append(effects, PullConfig{Peer: sender.ID, Address: sender.Address, Version: message.Version})
	}
	return effects
}

func (tb *Table) learn(member Member, now time.Time) []types.Effect {
	if member.ID == tb.self.ID {
		tb.refute(member)
		return nil
	}
	old, known := tb.members[member.ID]
	if known && !member.overrides(old) {
		if member.Held > old.Held {
			tb.members[member.ID] = old.WithHeld(member.Held)
			tb.enqueue(member.ID)
		}
		return nil
	}
	return tb.store(member.WithHeld(old.Held), now)
}

func (tb *Table) refute(claim Member) {
	tb.self = tb.self.WithHeld(claim.Held)
	if tb.self.Status == Left {
		return
	}
	if claim.Incarnation > tb.self.Incarnation || claim.Incarnation == tb.self.Incarnation && claim.Status != Alive {
		tb.self = tb.self.WithIncarnation(claim.Incarnation + 1)
		tb.enqueue(tb.self.ID)
	}
}

func (tb *Table) store(member Member, now time.Time) []types.Effect {
	old := tb.members[member.ID]
	tb.members[member.ID] = member
	same := member.TakesWork() && member.Started.Equal(old.Started)
	if old.TakesWork() && !same {
		tb.former[member.ID] = Former{Member: old, Until: now}
	}
	tb.enqueue(member.ID)
	delete(tb.suspects, member.ID)
	if member.Status == Suspect {
		tb.suspects[member.ID] = now.Add(suspicionTimeout)
	}
	if old.Status == member.Status && old.Leaving == member.Leaving {
		return nil
	}
	return []types.Effect{StatusChanged{Member: member}}
}

// view returns an order-independent hash of all records.
func (tb *Table) view() uint64 {
	sum := hashMember(tb.self)
	for _, member := range tb.members {
		sum ^= hashMember(member)
	}
	return sum
}

func hashMember(member Member) uint64 {
	hash := fnv.New64a()
	text := make([]byte, 0, 64)
	text = append(text, member.ID...)
	text = strconv.AppendUint(append(text, '|'), member.Incarnation, 10)
	text = strconv.AppendInt(append(text, '|'), int64(member.Status), 10)
	text = strconv.AppendUint(append(text, '|'), uint64(member.Held), 10)
	_, _ = hash.Write(text)
	return hash.Sum64()
}
