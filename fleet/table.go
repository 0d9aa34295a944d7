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
	// bucketCount is the number of buckets into which a table's records are
	// hashed. Anti-entropy compares two tables bucket by bucket.
	bucketCount = 64
	// tombstoneRetention is how long the record of a dead or left member (a
	// tombstone) is part of the view hash that nodes compare.
	tombstoneRetention = 6 * time.Hour
	// tombstoneMargin is how long a tombstone is kept after tombstoneRetention,
	// no longer as part of the view hash. Without this margin, a peer whose copy
	// expires later would send the tombstone back, and this node would store it
	// as new.
	tombstoneMargin = 10 * time.Minute
	// formerRetention is how long after its EndedAt a former owner is kept for
	// FormerOwners.
	formerRetention = 24 * time.Hour
	sweepInterval   = 10 * time.Second
	// baseSuspicionTimeout is the suspicion timeout with ten nodes or fewer.
	baseSuspicionTimeout = 4 * time.Second
)

// Table is one node's view of the mesh's members. It is not safe for concurrent
// use.
type Table struct {
	self         Member
	selfHash     hashPair
	records      map[types.InstanceID]*record
	buckets      [bucketCount][]*record
	bucketHashes [bucketCount]hashPair
	// liveSet has the members that are alive or suspect, deadSet the dead ones.
	// Members that left are in neither.
	liveSet  shuffledSet
	deadSet  shuffledSet
	suspects []*record
	// deathClaims are members that a peer reported dead and that this node has
	// not contacted yet.
	deathClaims []*record
	// indirectProbes are members with indirect probes in flight.
	indirectProbes []*record
	queue          gossipQueue
	// suppressGossip is true while records from a full or repair message are
	// merged. Other nodes already have them, so they are not gossiped again.
	suppressGossip bool
	// recentChanges has the records that changed last, the latest at the end.
	recentChanges []*record
	// seeds are addresses of possible peers, in the order of discovery.
	seeds        []types.Address
	seedSet      map[types.Address]struct{}
	formerOwners map[types.InstanceID]FormerOwner
	// services caches the results of ServiceOwners.
	services map[types.ServiceName][]Member
	version  types.Version
	digest   types.Hash
	// prompt is true if the version in force spreads ahead of the watches of the platform,
	// and promptUntil is until when this node pushes it to peers that lack it.
	prompt      bool
	promptUntil time.Time
	rand        *rand.Rand
	timing      timing
	joining     joinState
	wanted      wantedVersion
	// pullDelay is the time between a peer's first report of a newer
	// configuration version and the pull of that version, besides the node's pause
	// in watching the platform. If it is 0, a version is pulled at once.
	pullDelay time.Duration
	// pendingPushes is the number of urgent exchanges to send outside the regular
	// probe interval. Each of them takes one of the pushTokens.
	pendingPushes    int
	pushTokens       int
	delegatesPerZone int
	// ranking caches the result of ZoneRanking. It must be computed anew if rankingStale is
	// true.
	ranking      []types.InstanceID
	rankingStale bool
	// settled is true if the view has stopped growing quickly.
	settled bool
}

// timing holds the times at which the periodic actions are next due.
type timing struct {
	probe     time.Time
	reconnect time.Time
	pushToken time.Time
	sweep     time.Time
	sync      time.Time
	heldSync  time.Time
	// lastGrowth is when the number of live nodes last grew considerably (see
	// growthDivisor), or the latest tick before this node joined if that is later.
	// sizeAtGrowth is the number of live nodes at that time.
	lastGrowth   time.Time
	sizeAtGrowth int
	// viewsDifferSince is when a peer's view hash first differed from this
	// node's. It is zero if the hashes were equal at the latest comparison.
	viewsDifferSince time.Time
}

// Option changes a setting of a table.
type Option func(*Table)

// WithDelegates sets the number of nodes of each zone that watch the platform's
// object API for new configurations.
func WithDelegates(count int) Option {
	return func(tb *Table) { tb.delegatesPerZone = count }
}

// WithPullDelay sets how long a node waits before it pulls a newer configuration
// version that a peer reported. During the wait, the node's own watch on the
// platform's object API may deliver the version.
func WithPullDelay(pullDelay time.Duration) Option {
	return func(tb *Table) { tb.pullDelay = pullDelay }
}

// NewTable returns a table that contains only the node itself.
func NewTable(self Member, source *rand.Rand, opts ...Option) *Table {
	tb := &Table{
		records:          map[types.InstanceID]*record{},
		seedSet:          map[types.Address]struct{}{},
		formerOwners:     map[types.InstanceID]FormerOwner{},
		services:         map[types.ServiceName][]Member{},
		rand:             source,
		pushTokens:       maxPushTokens,
		rankingStale:     true,
		delegatesPerZone: defaultDelegates,
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

// Member returns the record of an instance, and whether there is one.
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

// LiveCount returns the number of other members that are alive or suspect.
func (tb *Table) LiveCount() int { return len(tb.liveSet.items) }

// GoneSince returns the time since which a member is known to be dead or to
// have left. It returns false if the member is unknown or not gone.
func (tb *Table) GoneSince(id types.InstanceID) (time.Time, bool) {
	rc, ok := tb.records[id]
	if !ok || !rc.member.Gone() {
		return time.Time{}, false
	}
	return rc.goneAt, true
}

// Members returns all records, including the node's own, ordered by instance ID.
func (tb *Table) Members() []Member {
	all := append(make([]Member, 0, len(tb.records)+1), tb.self)
	for _, rc := range tb.records {
		all = append(all, rc.member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// ViewHash returns a hash of all records except tombstones older than
// tombstoneRetention. Nodes with equal records have equal hashes.
func (tb *Table) ViewHash() uint64 {
	all := tb.viewHashes()
	return all.records ^ all.held
}

func (tb *Table) viewHashes() hashPair {
	all := hashPair{}
	for _, hash := range tb.bucketHashes {
		all = all.xor(hash)
	}
	return all
}

// SetVersion records the configuration that is in force on this node and
// schedules exchanges to announce it. If ahead is true, it spreads ahead of the watches of
// the platform, which may be late: peers pull it at once, and pass it on in the same way.
func (tb *Table) SetVersion(version types.Version, digest types.Hash, ahead bool, now time.Time) {
	tb.prompt = ahead || tb.wanted.prompt && version >= tb.wanted.version
	if tb.prompt {
		tb.promptUntil = now.Add(promptTime)
	}
	tb.version, tb.digest = version, digest
	tb.setSelf(tb.self.WithHeldVersion(version))
	tb.wanted.clearUpTo(version)
	tb.schedulePush()
}

// SpreadAhead lets the version in force spread ahead of the watches of the platform.
func (tb *Table) SpreadAhead(now time.Time) []types.Effect {
	tb.prompt, tb.promptUntil = true, now.Add(promptTime)
	tb.schedulePush()
	return tb.Push()
}

// SetUpstream sets the service and the upstream of this node and announces them
// to peers.
func (tb *Table) SetUpstream(service types.ServiceName, upstream types.Option[Upstream]) {
	tb.announce(tb.self.WithUpstream(service, upstream))
}

// AnnounceLeaving announces that this node accepts no new work.
func (tb *Table) AnnounceLeaving() { tb.announce(tb.self.WithLeaving()) }

// AnnounceLeft announces that this node has left the mesh.
func (tb *Table) AnnounceLeft() { tb.announce(tb.self.WithStatus(Left)) }

// announce replaces the node's own record with the given record, whose
// incarnation it increases, and schedules exchanges to spread the new record.
func (tb *Table) announce(self Member) {
	tb.setSelf(self.WithIncarnation(self.Incarnation + 1))
	tb.schedulePush()
}

// schedulePush makes the next Tick or Push send exchanges to a few random peers.
func (tb *Table) schedulePush() { tb.pendingPushes = pushFanOut }

func (tb *Table) setSelf(self Member) {
	bucket := bucketOf(self.ID)
	old := tb.self
	hash := hashOf(self)
	tb.bucketHashes[bucket] = tb.bucketHashes[bucket].xor(tb.selfHash).xor(hash)
	tb.self, tb.selfHash = self, hash
	tb.rankingStale = true
	tb.invalidateServices(old, self)
}

// invalidateServices removes the cached results of ServiceOwners for the
// services of a member's old and new record.
func (tb *Table) invalidateServices(old, member Member) {
	if old.Service != "" {
		delete(tb.services, old.Service)
	}
	if member.Service != "" {
		delete(tb.services, member.Service)
	}
}

// suspicionTimeout returns how long a suspected member has to refute the
// suspicion. The timeout grows with the logarithm of the number of members, as
// does the time that gossip takes to reach all of them.
func (tb *Table) suspicionTimeout() time.Duration {
	scale := math.Log10(float64(len(tb.liveSet.items) + 1))
	return time.Duration(float64(baseSuspicionTimeout) * max(1, scale))
}

// store adds or replaces a member's record and queues it for gossip.
func (tb *Table) store(member Member, now time.Time) []types.Effect {
	rc, known := tb.records[member.ID]
	if !known {
		rc = &record{bucket: bucketOf(member.ID), setIndex: -1}
		tb.records[member.ID] = rc
		tb.buckets[rc.bucket] = append(tb.buckets[rc.bucket], rc)
	}
	old := rc.member
	if old.Zone != member.Zone {
		rc.rank = rank(member.ID, member.Zone)
	}
	age := member.GoneFor
	member.GoneFor = 0
	rc.deathClaim = types.None[Member]()
	tb.setMember(rc, member)
	tb.moveToSet(rc, old)
	tb.recordFormer(old, member, now)
	tb.invalidateServices(old, member)
	tb.rankingStale = true
	withdrawn := known && member.withdraws(old)
	if !tb.suppressGossip {
		tb.queue.enqueue(rc, true, withdrawn)
		tb.noteChange(rc)
	}
	if member.Status == Suspect {
		tb.beginSuspicion(rc, old, now)
	}
	if member.Gone() && !old.Gone() {
		rc.goneAt = now.Add(-age)
	}
	if withdrawn || member.Status == Alive && old.Status == Suspect {
		tb.schedulePush()
	}
	if old.Status == member.Status && old.Leaving == member.Leaving && old.Detached == member.Detached && old.StartedAt.Equal(member.StartedAt) {
		return nil
	}
	return []types.Effect{StatusChanged{Member: member}}
}

func (tb *Table) beginSuspicion(rc *record, old Member, now time.Time) {
	if old.Status == Suspect && old.Incarnation == rc.member.Incarnation {
		return
	}
	rc.suspicionDeadline = now.Add(tb.suspicionTimeout())
	if old.Status != Suspect {
		tb.suspects = append(tb.suspects, rc)
	}
}

// setMember sets the member of a record and updates the bucket hashes.
func (tb *Table) setMember(rc *record, member Member) {
	hash := hashOf(member)
	if rc.inView {
		tb.bucketHashes[rc.bucket] = tb.bucketHashes[rc.bucket].xor(rc.hash)
	}
	tb.bucketHashes[rc.bucket] = tb.bucketHashes[rc.bucket].xor(hash)
	rc.member, rc.hash, rc.inView = member, hash, true
}

// moveToSet moves a record to the set for its member's status.
func (tb *Table) moveToSet(rc *record, old Member) {
	from, to := tb.setFor(old), tb.setFor(rc.member)
	if from == to && rc.setIndex >= 0 {
		return
	}
	if rc.setIndex >= 0 {
		from.remove(rc)
	}
	if to != nil {
		to.add(rc, tb.rand)
	}
}

// setFor returns the set for a member's status, or nil if there is none.
func (tb *Table) setFor(member Member) *shuffledSet {
	switch member.Status {
	case Alive, Suspect:
		return &tb.liveSet
	case Dead:
		return &tb.deadSet
	default:
		return nil
	}
}

// recordFormer keeps the old record of a member that accepted work if the
// member no longer does or its process was replaced. FormerOwners returns these
// records.
func (tb *Table) recordFormer(old, member Member, now time.Time) {
	same := member.AcceptsWork() && member.StartedAt.Equal(old.StartedAt)
	if old.AcceptsWork() && !same {
		tb.formerOwners[member.ID] = FormerOwner{Member: old, EndedAt: now}
	}
}

// raiseHeld records the configuration version that a member holds if that
// version is higher than the recorded one.
func (tb *Table) raiseHeld(rc *record, held types.Version) {
	if held <= rc.member.HeldVersion {
		return
	}
	if rc.inView {
		tb.setMember(rc, rc.member.WithHeldVersion(held))
	} else {
		rc.member = rc.member.WithHeldVersion(held)
	}
	if !tb.suppressGossip {
		tb.queue.enqueue(rc, false, false)
	}
}

// sweep removes expired tombstones and former owners.
func (tb *Table) sweep(now time.Time) {
	if now.Before(tb.timing.sweep) {
		return
	}
	tb.timing.sweep = now.Add(sweepInterval)
	for id, rc := range tb.records {
		age := now.Sub(rc.goneAt)
		if !rc.member.Gone() || age < tombstoneRetention {
			continue
		}
		if rc.inView {
			rc.inView = false
			tb.bucketHashes[rc.bucket] = tb.bucketHashes[rc.bucket].xor(rc.hash)
		}
		if age >= tombstoneRetention+tombstoneMargin {
			tb.forget(id, rc)
		}
	}
	for id, former := range tb.formerOwners {
		if now.Sub(former.EndedAt) > formerRetention {
			delete(tb.formerOwners, id)
		}
	}
}

func (tb *Table) forget(id types.InstanceID, rc *record) {
	if rc.setIndex >= 0 {
		tb.setFor(rc.member).remove(rc)
	}
	tb.queue.dequeue(rc)
	tb.recentChanges = slices.DeleteFunc(tb.recentChanges, func(other *record) bool { return other == rc })
	delete(tb.records, id)
	entries := tb.buckets[rc.bucket]
	tb.buckets[rc.bucket] = slices.DeleteFunc(entries, func(other *record) bool { return other == rc })
}
