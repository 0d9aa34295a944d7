package quota

import (
	"math/bits"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxAhead is for how long ahead tokens are asked for.
	maxAhead = 500 * time.Millisecond
	// minRefusal, maxRefusal and refusalShare bound for how long a node refuses requests
	// of a team without another question to the pool. The time doubles each time.
	minRefusal   = 20 * time.Millisecond
	maxRefusal   = 250 * time.Millisecond
	refusalShare = 0.3
	// minHandedBack is the number of tokens from which the node sends a trade only to hand
	// them back. Fewer go with the next trade.
	minHandedBack = 4
	// idleTime is how long no request must have come until the node hands back the tokens
	// that it asked ahead for.
	idleTime = 200 * time.Millisecond
	// demandWeight is the weight of the latest tick in the demand.
	demandWeight = 0.15
	// maxSpread is the longest time by which jitter delays when a caller is asked to
	// come back.
	maxSpread = 5 * time.Second
	// refusingTime is how long after the last refusal a team counts as refused.
	refusingTime = 5 * time.Second
)

// Verdict says what becomes of a request.
type Verdict int

// The verdicts on a request.
const (
	// Granted means that the request may run.
	Granted Verdict = iota + 1
	// Refused means that the request is beyond the limit.
	Refused
	// Waiting means that a pool is asked. Take is to be called again when it answered.
	Waiting
)

// Decision is the verdict on a request. RetryAfter says when a caller whose request is
// refused should come back.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// Change says that a team's requests begin or cease to be refused on this node.
type Change struct {
	Team    types.TeamName
	Refused bool
	Usage   Usage
}

// usage is what the node's own requests of a team use.
type usage struct {
	lots    []lot
	held    float64
	back    float64
	waiting int
	arrived int
	demand  float64
	// refusedUntil is until when the pool is not asked again, and tokenAt when it has a
	// token again.
	refusedUntil time.Time
	tokenAt      time.Time
	refusal      time.Duration
	refusing     bool
	lastRefused  time.Time
	// sweptAt is when the demand was updated last, and usedAt when there were requests
	// at such a time.
	sweptAt, usedAt time.Time

	taken, refused, returned, unanswered int64
}

// lot is a number of tokens that may be used until a time.
type lot struct {
	tokens float64
	until  time.Time
}

func (us *usage) clearLots() { us.lots, us.held = us.lots[:0], 0 }

func (us *usage) expire(now time.Time) {
	ended := 0
	for ended < len(us.lots) && !now.Before(us.lots[ended].until) {
		us.held -= us.lots[ended].tokens
		ended++
	}
	us.drop(ended)
}

// drop removes the first lots.
func (us *usage) drop(count int) {
	if count > 0 {
		us.lots = us.lots[:copy(us.lots, us.lots[count:])]
	}
	if len(us.lots) == 0 {
		us.held = 0
	}
}

// spend takes tokens, the oldest first. There must be as many.
func (us *usage) spend(tokens float64) {
	us.held -= tokens
	emptied := 0
	for emptied < len(us.lots) && us.lots[emptied].tokens <= tokens {
		tokens -= us.lots[emptied].tokens
		emptied++
	}
	if emptied < len(us.lots) {
		us.lots[emptied].tokens -= tokens
	}
	us.drop(emptied)
}

// Take asks for a token for a request. A request without a limit needs none.
func (lg *Ledger) Take(team types.TeamName, now time.Time) Decision {
	acc, ok := lg.accounts[team]
	if !ok {
		return Decision{Verdict: Granted}
	}
	acc.use.arrived++
	return lg.decide(acc, now)
}

// Retake decides on a request again for which Take said Waiting.
func (lg *Ledger) Retake(team types.TeamName, now time.Time) Decision {
	acc, ok := lg.accounts[team]
	if !ok {
		return Decision{Verdict: Granted}
	}
	acc.use.waiting = max(0, acc.use.waiting-1)
	return lg.decide(acc, now)
}

// Abandon ends the wait of a request for which Take said Waiting, without a verdict. If
// refused is true, the pool did not answer in time, and Abandon returns when the caller
// should come back.
func (lg *Ledger) Abandon(team types.TeamName, refused bool, now time.Time) time.Duration {
	acc, ok := lg.accounts[team]
	if !ok {
		return 0
	}
	acc.use.waiting = max(0, acc.use.waiting-1)
	if !refused {
		return 0
	}
	acc.use.unanswered++
	return lg.refuse(acc, maxRefusal, now).RetryAfter
}

func (lg *Ledger) decide(acc *account, now time.Time) Decision {
	use := &acc.use
	use.expire(now)
	if use.held >= 1 {
		use.spend(1)
		use.taken++
		if ahead := acc.ahead(); ahead >= 1 && use.held < ahead/4 && !now.Before(use.refusedUntil) {
			lg.ask(acc)
		}
		return Decision{Verdict: Granted}
	}
	if lg.pools[acc.slot] == nil {
		lg.catchUp(now)
		lg.settle(acc, now)
		if acc.stock >= 1 {
			acc.stock--
			use.taken++
			return Decision{Verdict: Granted}
		}
		return lg.refuse(acc, lg.untilToken(acc), now)
	}
	if now.Before(use.refusedUntil) {
		return lg.refuse(acc, max(use.refusedUntil.Sub(now), use.tokenAt.Sub(now)), now)
	}
	use.waiting++
	lg.ask(acc)
	return Decision{Verdict: Waiting}
}

// refuse returns the refusal of a request. Callers are asked to come back when there is a
// token, and later by a random time, the longer the more requests are refused.
func (lg *Ledger) refuse(acc *account, wait time.Duration, now time.Time) Decision {
	use := &acc.use
	use.refused++
	use.lastRefused = now
	if !use.refusing {
		use.refusing = true
		lg.changes = append(lg.changes, Change{Team: acc.limit.Team, Refused: true, Usage: acc.usage(now)})
	}
	supply := acc.limit.Rate / float64(max(1, lg.nodes.value))
	excess := max(1, use.demand/max(supply, 1/maxSpread.Seconds()))
	spread := min(maxSpread, time.Duration(float64(max(wait, maxRefusal))*min(excess, maxSpread.Seconds()/maxRefusal.Seconds())))
	return Decision{Verdict: Refused, RetryAfter: wait + time.Duration(lg.rand.Int64N(int64(spread)))}
}

// GiveBack returns the token of a request that did not run. The pool gets it, since only
// the pool knows how many tokens there are.
func (lg *Ledger) GiveBack(team types.TeamName, now time.Time) {
	acc, ok := lg.accounts[team]
	if !ok {
		return
	}
	acc.use.returned++
	if lg.pools[acc.slot] == nil {
		lg.catchUp(now)
		lg.settle(acc, now)
		acc.deposit(1, min(1, lg.held[acc.slot]))
		return
	}
	acc.use.back = min(acc.use.back+1, acc.ceiling)
}

// ahead returns the number of tokens that the node's requests of a team need for the time
// that it asks ahead.
func (ac *account) ahead() float64 {
	return float64(ac.use.demand * min(maxAhead, ac.valid*4/5).Seconds())
}

// itemsFor returns what the node hands to a pool and what it wants of it.
func (lg *Ledger) itemsFor(peer *peerState, now time.Time) []Item {
	var items []Item
	for rest := peer.poolSlots; rest != 0; rest &= rest - 1 {
		slot := bits.TrailingZeros64(rest)
		for _, acc := range lg.bySlot[slot] {
			if item := acc.item(now); item.Want > 0 || item.Ahead > 0 || item.Deposit > 0 {
				items = append(items, item)
			}
		}
	}
	return items
}

func (ac *account) item(now time.Time) Item {
	use := &ac.use
	use.expire(now)
	item := Item{Team: ac.limit.Team, Deposit: use.back}
	use.back = 0
	if now.Before(use.refusedUntil) {
		return item
	}
	item.Want = float64(use.waiting)
	if ahead := ac.ahead(); ahead >= 1 && use.held < ahead && !use.idle(now) {
		item.Ahead = ahead - use.held
	}
	return item
}

// takeGrants adds the tokens that a pool granted. They are valid from when they were asked
// for, because the answer may have come late.
func (lg *Ledger) takeGrants(grants []Grant, asked, now time.Time) {
	for _, grant := range grants {
		acc, ok := lg.accounts[grant.Team]
		if !ok {
			continue
		}
		use := &acc.use
		until := asked.Add(min(grant.Valid, acc.valid))
		if grant.Tokens > 0 && now.Before(until) {
			use.expire(now)
			use.lots = append(use.lots, lot{grant.Tokens, until})
			use.held += grant.Tokens
		}
		if grant.RetryAfter == 0 {
			use.refusal = 0
			continue
		}
		longest := min(maxRefusal, seconds(refusalShare*acc.ceiling/acc.limit.Rate))
		use.refusal = min(longest, max(minRefusal, 2*use.refusal))
		use.refusedUntil = now.Add(max(min(grant.RetryAfter, time.Second), use.refusal))
		use.tokenAt = now.Add(grant.RetryAfter)
	}
}

// sweepUse updates the demand of each team and hands back tokens that are not needed.
func (lg *Ledger) sweepUse(now time.Time) {
	for _, acc := range lg.accounts {
		use := &acc.use
		use.expire(now)
		use.measure(now)
		if pooled := lg.pools[acc.slot] != nil; pooled && use.held >= 1 && use.idle(now) {
			use.back += use.held
			use.clearLots()
		}
		lg.handBack(acc, now)
		if use.refusing && now.Sub(use.lastRefused) >= refusingTime {
			use.refusing = false
			lg.changes = append(lg.changes, Change{Team: acc.limit.Team, Usage: acc.usage(now)})
		}
	}
}

// handBack hands back tokens that are not needed, if it is worth a trade.
func (lg *Ledger) handBack(acc *account, now time.Time) {
	use := &acc.use
	if lg.pools[acc.slot] == nil {
		lg.settle(acc, now)
		acc.deposit(use.back, min(1, lg.held[acc.slot]))
		use.back = 0
	}
	if use.back >= minHandedBack {
		lg.ask(acc)
	}
}

// idle reports whether no request came lately.
func (us *usage) idle(now time.Time) bool {
	return us.arrived == 0 && now.Sub(us.usedAt) >= idleTime
}

// measure updates the demand with the requests since the last call.
func (us *usage) measure(now time.Time) {
	elapsed := now.Sub(us.sweptAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if us.arrived > 0 {
		us.usedAt = now
	}
	us.demand += float64(demandWeight * (float64(us.arrived)/elapsed - us.demand))
	us.arrived, us.sweptAt = 0, now
}
