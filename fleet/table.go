package fleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// bucketCount is the number of parts of a table that are compared.
	bucketCount = 64
	// goneRetention is how long dead and left members are remembered and
	// compared with other nodes.
	goneRetention = 6 * time.Hour
	// goneMargin is how much longer they are remembered, so that no node
	// learns anew what another is about to forget.
	goneMargin      = 10 * time.Minute
	formerRetention = 24 * time.Hour
	sweepInterval   = 10 * time.Second
	// suspicionUnit is the suspicion time in a fleet of ten nodes or fewer.
	suspicionUnit = 4 * time.Second
)

// Table is one node's view of the fleet.
type Table struct {
	self     Member
	selfHash sum
	records  map[types.InstanceID]*record
	buckets  [bucketCount][]*record
	sums     [bucketCount]sum
	// contacts are the members that are alive or suspected, fallen the dead.
	contacts bag
	fallen   bag
	suspects []*record
	doubts   []*record
	indirect []*record
	queue    queue
	// filling states that a message brings what other nodes know already, so
	// that it is not passed on.
	filling bool
	// recent holds the records that changed last, the latest at the end.
	recent   []*record
	seeds    []types.Address
	seedSet  map[types.Address]struct{}
	former   map[types.InstanceID]Former
	services map[types.ServiceName][]Member
	version  types.Version
	digest   types.Hash
	rand     *rand.Rand
	timing   timing
	joining  joining
	want     want
	patience time.Duration
	pushes   int
	tokens   int
	// delegates is the number of them in a zone.
	delegates int
	// delegate holds whether the node is a delegate, unless stale.
	delegate      bool
	delegateStale bool
	// settled states that the view has stopped growing.
	settled bool
}

// timing holds when the periodic decisions fall due.
type timing struct {
	probe    time.Time
	contact  time.Time
	token    time.Time
	sweep    time.Time
	sync     time.Time
	heldSync time.Time
	// grown is when the fleet last grew by much, and size how far.
	grown       time.Time
	size        int
	differSince time.Time
}

// Option changes a setting of a table.
type Option func(*Table)

// WithDelegates sets the number of nodes of a zone that watch the platform.
func WithDelegates(count int) Option {
	return func(tb *Table) { tb.delegates = count }
}

// WithPatience sets how long a node that hears of a newer version waits before
// it asks a peer for it, as its own watch may bring it.
func WithPatience(patience time.Duration) Option {
	return func(tb *Table) { tb.patience = patience }
}

// NewTable returns a table that knows only the node itself.
func NewTable(self Member, source *rand.Rand, opts ...Option) *Table {
	tb := &Table{
		records:       map[types.InstanceID]*record{},
		seedSet:       map[types.Address]struct{}{},
		former:        map[types.InstanceID]Former{},
		services:      map[types.ServiceName][]Member{},
		rand:          source,
		tokens:        maxTokens,
		delegateStale: true,
		delegates:     defaultDelegates,
	}
	for _, opt := range opts {
		opt(tb)
	}
	tb.joining.begin(1)
	tb.setSelf(self.WithStatus(Alive))
	return tb
}

// Self returns the node's own record.
func (tb *Table) Self() Member { return tb.self }

// Member returns the record of an instance.
func (tb *Table) Member(id types.InstanceID) (Member, bool) {
	if id == tb.self.ID {
		return tb.self, true
	}
	rc, ok := tb.records[id]
	if !ok {
		return Member{}, false
	}
	return rc.member, true
}

// Live returns the number of other members that are not gone.
func (tb *Table) Live() int { return len(tb.contacts.items) }

// GoneSince returns when a member was found dead or left.
func (tb *Table) GoneSince(id types.InstanceID) (time.Time, bool) {
	rc, ok := tb.records[id]
	if !ok || !rc.member.Gone() {
		return time.Time{}, false
	}
	return rc.goneAt, true
}

// Members returns all records ordered by instance.
func (tb *Table) Members() []Member {
	all := append(make([]Member, 0, len(tb.records)+1), tb.self)
	for _, rc := range tb.records {
		all = append(all, rc.member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// View returns a hash of all records, independent of their order.
func (tb *Table) View() uint64 {
	all := tb.sum()
	return all.records ^ all.held
}

func (tb *Table) sum() sum {
	all := sum{}
	for _, part := range tb.sums {
		all = all.xor(part)
	}
	return all
}

// Hold records the configuration in force on this node and pushes the news.
func (tb *Table) Hold(version types.Version, digest types.Hash) {
	tb.version, tb.digest = version, digest
	tb.setSelf(tb.self.WithHeld(version))
	tb.want.met(version)
	tb.urge()
}

// SetUpstream changes the upstream that this node owns.
func (tb *Table) SetUpstream(service types.ServiceName, upstream types.Option[Upstream]) {
	tb.announce(tb.self.WithUpstream(service, upstream))
}

// Leave marks this node as taking no new work.
func (tb *Table) Leave() { tb.announce(tb.self.WithLeaving()) }

// Depart marks this node as gone.
func (tb *Table) Depart() { tb.announce(tb.self.WithStatus(Left)) }

func (tb *Table) announce(self Member) {
	tb.setSelf(self.WithIncarnation(self.Incarnation + 1))
	tb.urge()
}

// urge makes the next tick push news to a few peers.
func (tb *Table) urge() { tb.pushes = pushFanOut }

func (tb *Table) setSelf(self Member) {
	bucket := bucketOf(self.ID)
	old := tb.self
	hash := sumOf(self)
	tb.sums[bucket] = tb.sums[bucket].xor(tb.selfHash).xor(hash)
	tb.self, tb.selfHash = self, hash
	tb.delegateStale = true
	tb.changeService(old, self)
}

// changeService forgets the list of a service's members that it affects.
func (tb *Table) changeService(old, member Member) {
	if old.Service != "" {
		delete(tb.services, old.Service)
	}
	if member.Service != "" {
		delete(tb.services, member.Service)
	}
}

// suspicionTimeout grows with the logarithm of the size of the fleet, as the
// time that news takes to reach all members does.
func (tb *Table) suspicionTimeout() time.Duration {
	scale := math.Log10(float64(len(tb.contacts.items) + 1))
	return time.Duration(float64(suspicionUnit) * max(1, scale))
}

// store replaces a member's record.
func (tb *Table) store(member Member, now time.Time) []types.Effect {
	rc, known := tb.records[member.ID]
	if !known {
		rc = &record{bucket: bucketOf(member.ID), slot: -1}
		tb.records[member.ID] = rc
		tb.buckets[rc.bucket] = append(tb.buckets[rc.bucket], rc)
	}
	old := rc.member
	if old.Zone != member.Zone {
		rc.rank = rank(member.ID, member.Zone)
	}
	age := member.GoneFor
	member.GoneFor = 0
	rc.claim = types.None[Member]()
	tb.replace(rc, member)
	tb.place(rc, old)
	tb.remember(old, member, now)
	tb.changeService(old, member)
	tb.delegateStale = true
	withdrawn := known && member.withdraws(old)
	if !tb.filling {
		tb.queue.put(rc, true, withdrawn)
		tb.changed(rc)
	}
	if member.Status == Suspect {
		tb.beginSuspicion(rc, old, now)
	}
	if member.Gone() && !old.Gone() {
		rc.goneAt = now.Add(-age)
	}
	if withdrawn || member.Status == Alive && old.Status == Suspect {
		tb.urge()
	}
	if old.Status == member.Status && old.Leaving == member.Leaving && old.Started.Equal(member.Started) {
		return nil
	}
	return []types.Effect{StatusChanged{Member: member}}
}

func (tb *Table) beginSuspicion(rc *record, old Member, now time.Time) {
	if old.Status == Suspect && old.Incarnation == rc.member.Incarnation {
		return
	}
	rc.suspectUntil = now.Add(tb.suspicionTimeout())
	if old.Status != Suspect {
		tb.suspects = append(tb.suspects, rc)
	}
}

// replace changes a record and the hashes that cover it.
func (tb *Table) replace(rc *record, member Member) {
	hash := sumOf(member)
	if rc.counted {
		tb.sums[rc.bucket] = tb.sums[rc.bucket].xor(rc.hash)
	}
	tb.sums[rc.bucket] = tb.sums[rc.bucket].xor(hash)
	rc.member, rc.hash, rc.counted = member, hash, true
}

// place puts a record in the bag of its state.
func (tb *Table) place(rc *record, old Member) {
	from, to := tb.bagOf(old), tb.bagOf(rc.member)
	if from == to && rc.slot >= 0 {
		return
	}
	if rc.slot >= 0 {
		from.remove(rc)
	}
	if to != nil {
		to.add(rc, tb.rand)
	}
}

func (tb *Table) bagOf(member Member) *bag {
	switch member.Status {
	case Alive, Suspect:
		return &tb.contacts
	case Dead:
		return &tb.fallen
	default:
		return nil
	}
}

// remember keeps a member that no longer takes work, or whose process was
// replaced.
func (tb *Table) remember(old, member Member, now time.Time) {
	same := member.TakesWork() && member.Started.Equal(old.Started)
	if old.TakesWork() && !same {
		tb.former[member.ID] = Former{Member: old, Until: now}
	}
}

// raiseHeld records the version that a member reported.
func (tb *Table) raiseHeld(rc *record, held types.Version) {
	if held <= rc.member.Held {
		return
	}
	if rc.counted {
		tb.replace(rc, rc.member.WithHeld(held))
	} else {
		rc.member = rc.member.WithHeld(held)
	}
	if !tb.filling {
		tb.queue.put(rc, false, false)
	}
}

// sweep forgets what has been kept long enough.
func (tb *Table) sweep(now time.Time) {
	if now.Before(tb.timing.sweep) {
		return
	}
	tb.timing.sweep = now.Add(sweepInterval)
	for id, rc := range tb.records {
		age := now.Sub(rc.goneAt)
		if !rc.member.Gone() || age < goneRetention {
			continue
		}
		if rc.counted {
			rc.counted = false
			tb.sums[rc.bucket] = tb.sums[rc.bucket].xor(rc.hash)
		}
		if age >= goneRetention+goneMargin {
			tb.forget(id, rc)
		}
	}
	for id, former := range tb.former {
		if now.Sub(former.Until) > formerRetention {
			delete(tb.former, id)
		}
	}
}

func (tb *Table) forget(id types.InstanceID, rc *record) {
	if rc.slot >= 0 {
		tb.bagOf(rc.member).remove(rc)
	}
	tb.queue.drop(rc)
	tb.recent = slices.DeleteFunc(tb.recent, func(other *record) bool { return other == rc })
	delete(tb.records, id)
	part := tb.buckets[rc.bucket]
	tb.buckets[rc.bucket] = slices.DeleteFunc(part, func(other *record) bool { return other == rc })
}
