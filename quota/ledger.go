package quota

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// slotCount is the number of slots into which teams are hashed. All teams of a slot
	// have the same pool.
	slotCount = 64
	// minLoan is how long a loan lasts in a fleet of up to loanNodes nodes. It lasts longer
	// in a larger one, up to maxLoan, so that pools have fewer to renew. Loans are renewed
	// when half of that time is over.
	minLoan   = 3 * time.Second
	maxLoan   = 12 * time.Second
	loanNodes = 128
	// guardTime is how long after the end of a loan the lender's share lies idle, unless
	// it is lent to the same pool again. It covers what differs between clocks, and tokens
	// that the pool granted last.
	guardTime = 300 * time.Millisecond
	// maxStep is the longest time without a call for which shares accrue. A process that
	// was paused for longer does not know what became of the loans that it held.
	maxStep = 300 * time.Millisecond
	// expireInterval is the time between two searches for loans that ended.
	expireInterval = 50 * time.Millisecond
	// maxValid is the longest time for which granted tokens may be used, and validShare
	// that time in terms of the time in which a limit fills its ceiling.
	maxValid   = time.Second
	validShare = 0.5
)

// Ledger is one node's account of the limits. It is not safe for concurrent use.
type Ledger struct {
	self    types.InstanceID
	started time.Time
	session uint64
	bound   Bound
	rand    *rand.Rand

	accounts map[types.TeamName]*account
	bySlot   [slotCount][]*account
	last     time.Time
	// expiredAt is when the loans were last searched for those that ended.
	expiredAt time.Time

	// loans are the shares that this node holds for others, and held what it holds of
	// each slot, its own share included. ownSlots are those of its own share that it
	// uses itself.
	loans    map[types.InstanceID]*heldLoan
	held     [slotCount]float64
	ownSlots uint64
	ownShare float64

	view  View
	nodes nodeCount
	// pools are the peers that are the pools of the slots, or nil where this node is, and
	// selfSlots the slots where it is.
	pools     [slotCount]*peerState
	selfSlots uint64
	// peers are sorted by their ID.
	peers   []*peerState
	lent    [slotCount]lentSlot
	number  uint64
	due     bool
	stale   bool
	changes []Change
}

// account is what the ledger holds of one team.
type account struct {
	limit   Limit
	slot    int
	ceiling float64
	valid   time.Duration

	// stock is what this node holds as the pool of the team, or of its own share.
	// granted and grantedAhead are tokens that it granted and that may not be used yet.
	stock                 float64
	settledAt             time.Time
	granted, grantedAhead grantLog

	use usage
}

// NewLedger returns the ledger of a node's process. It holds no token. The session tells
// the processes of a node apart.
func NewLedger(self types.InstanceID, started time.Time, session uint64, bound Bound) *Ledger {
	return &Ledger{
		self: self, started: started, session: max(session, 1), bound: bound,
		rand:      rand.New(rand.NewPCG(session, session)),
		accounts:  map[types.TeamName]*account{},
		loans:     map[types.InstanceID]*heldLoan{},
		selfSlots: ^uint64(0),
		number:    uint64(started.UnixMicro()),
	}
}

// Limited reports whether there is any limit.
func (lg *Ledger) Limited() bool { return len(lg.accounts) > 0 }

// SetLimits replaces the limits. What is held of a team is cut to its new limit.
func (lg *Ledger) SetLimits(limits []Limit, now time.Time) {
	lg.advance(now)
	lg.settleAll(now)
	old := lg.accounts
	lg.accounts, lg.bySlot = map[types.TeamName]*account{}, [slotCount][]*account{}
	for _, limit := range limits {
		acc, known := old[limit.Team]
		if !known {
			acc = &account{slot: slotOf(limit.Team), settledAt: now}
		}
		if acc.limit != limit {
			acc.change(limit, lg.bound)
		}
		lg.accounts[limit.Team] = acc
		lg.bySlot[acc.slot] = append(lg.bySlot[acc.slot], acc)
	}
	lg.settleAll(now)
}

// change puts a limit in force. Tokens of a higher limit are given up.
func (ac *account) change(limit Limit, bound Bound) {
	if ac.limit.Rate > 0 && limit.Rate < ac.limit.Rate {
		ac.use.clearLots()
	}
	ac.limit = limit
	ac.ceiling = bound.ceiling(limit)
	ac.valid = min(maxValid, seconds(validShare*ac.ceiling/limit.Rate))
	ac.use.refusedUntil = time.Time{}
}

// advance moves the ledger's time to now. Of a longer pause, only maxStep counts.
func (lg *Ledger) advance(now time.Time) {
	if lost := now.Sub(lg.last) - maxStep; !lg.last.IsZero() && lost > 0 {
		for _, acc := range lg.accounts {
			acc.settledAt = acc.settledAt.Add(lost)
		}
	}
	if now.After(lg.last) {
		lg.last = now
	}
	if now.Sub(lg.expiredAt) >= expireInterval {
		lg.expiredAt = now
		lg.expireLoans(now)
	}
}

// catchUp calls advance after a pause, before any stock is used.
func (lg *Ledger) catchUp(now time.Time) {
	if now.Sub(lg.last) > maxStep {
		lg.advance(now)
	}
}

// room returns how many tokens the stock may have with a share of the limit.
func (ac *account) room(share float64) float64 {
	return float64(ac.ceiling*share) - ac.granted.sum - ac.grantedAhead.sum
}

func (lg *Ledger) settleAll(now time.Time) {
	for _, acc := range lg.accounts {
		lg.settle(acc, now)
	}
}

// settle brings the stock of a team up to date.
func (lg *Ledger) settle(acc *account, now time.Time) {
	share := min(1, lg.held[acc.slot])
	if elapsed := now.Sub(acc.settledAt); elapsed > 0 {
		acc.stock += float64(acc.limit.Rate * share * elapsed.Seconds())
		acc.settledAt = now
	}
	acc.granted.expire(now)
	acc.grantedAhead.expire(now)
	acc.stock = max(0, min(acc.stock, acc.room(share)))
}

// setHeld changes what the node holds of the slots in mask. The stocks are settled with
// what it held until now.
func (lg *Ledger) setHeld(mask uint64, change float64, now time.Time) {
	for slot := range slotCount {
		if mask&(1<<slot) == 0 {
			continue
		}
		for _, acc := range lg.bySlot[slot] {
			lg.settle(acc, now)
		}
		lg.held[slot] = max(0, lg.held[slot]+change)
		for _, acc := range lg.bySlot[slot] {
			lg.settle(acc, now)
		}
	}
}

// changeHeld replaces a share of some slots by another one. A stock is cut only to what is
// held afterwards.
func (lg *Ledger) changeHeld(oldSlots, slots uint64, oldShare, share float64, now time.Time) {
	lg.setHeld(oldSlots&^slots, -oldShare, now)
	if share != oldShare {
		lg.setHeld(oldSlots&slots, share-oldShare, now)
	}
	lg.setHeld(slots&^oldSlots, share, now)
}

// grantLog holds the tokens granted within a time, oldest first.
type grantLog struct {
	entries []grantEntry
	sum     float64
}

// grantEntry holds the tokens of grants that end between from and until.
type grantEntry struct {
	from, until time.Time
	tokens      float64
}

// add notes tokens that are granted until a time. Most end in the order of their grants; an
// earlier end counts as that of the grant before.
func (gl *grantLog) add(tokens float64, until time.Time) {
	const merged = 20 * time.Millisecond
	gl.sum += tokens
	if last := len(gl.entries) - 1; last >= 0 && until.Sub(gl.entries[last].from) < merged {
		gl.entries[last].tokens += tokens
		if until.After(gl.entries[last].until) {
			gl.entries[last].until = until
		}
		return
	}
	gl.entries = append(gl.entries, grantEntry{until, until, tokens})
}

func (gl *grantLog) expire(now time.Time) {
	ended := 0
	for ended < len(gl.entries) && !now.Before(gl.entries[ended].until) {
		gl.sum -= gl.entries[ended].tokens
		ended++
	}
	if ended > 0 {
		gl.entries = gl.entries[:copy(gl.entries, gl.entries[ended:])]
	}
	if len(gl.entries) == 0 {
		gl.sum = 0
	}
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
