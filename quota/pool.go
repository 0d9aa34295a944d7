package quota

import (
	"math"
	"time"
)

const (
	// loanMemory is how long the number of a loan that ended is kept, so that an earlier
	// loan that arrives late is known as such.
	loanMemory = 15 * time.Second
	// waitValid is how long tokens may be used that are granted for requests that wait.
	waitValid = 400 * time.Millisecond
	// minRetry and maxRetry bound the time after which a pool expects to have tokens.
	minRetry = 10 * time.Millisecond
	maxRetry = time.Minute
)

// heldLoan is a share that another node lent to this one.
type heldLoan struct {
	number uint64
	slots  uint64
	share  float64
	until  time.Time
}

// Receive takes the loan and the tokens of a peer's trade, and grants what it wants as
// far as this node holds tokens. What is granted is given up here.
func (lg *Ledger) Receive(offer Trade, now time.Time) Answer {
	lg.advance(now)
	lg.takeLoan(offer, now)
	answer := Answer{Session: lg.session, Clock: now.Sub(lg.started)}
	for _, item := range offer.Items {
		acc, ok := lg.accounts[item.Team]
		if !ok {
			continue
		}
		lg.settle(acc, now)
		acc.deposit(item.Deposit, min(1, lg.held[acc.slot]))
		if item.Want > 0 || item.Ahead > 0 {
			answer.Grants = append(answer.Grants, lg.grant(acc, item, now))
		}
	}
	return answer
}

// takeLoan records a loan, unless it is older than the one held, or meant for an earlier
// process of this node.
func (lg *Ledger) takeLoan(offer Trade, now time.Time) {
	loan, old := offer.Loan, lg.loans[offer.From]
	if loan.Number == 0 || offer.From == lg.self || old != nil && loan.Number <= old.number {
		return
	}
	until := lg.started.Add(min(loan.Until, now.Sub(lg.started)+maxLoan))
	if loan.Session != lg.session || !now.Before(until) {
		loan.Slots = 0
	}
	if old == nil {
		old = &heldLoan{}
		lg.loans[offer.From] = old
	}
	lg.replace(old, loan.Slots, loan.Share, now)
	old.number, old.until = loan.Number, until
	if loan.Slots == 0 {
		old.until = now
	}
}

// replace changes the slots and the share of a loan.
func (lg *Ledger) replace(old *heldLoan, slots uint64, share float64, now time.Time) {
	lg.changeHeld(old.slots, slots, old.share, share, now)
	old.slots, old.share = slots, share
}

// expireLoans ends the loans whose time is over.
func (lg *Ledger) expireLoans(now time.Time) {
	for id, loan := range lg.loans {
		if now.Before(loan.until) {
			continue
		}
		if loan.slots != 0 {
			lg.replace(loan, 0, 0, now)
		}
		if now.Sub(loan.until) >= loanMemory {
			delete(lg.loans, id)
		}
	}
}

// deposit adds tokens to the stock, up to the part of the ceiling that the share allows.
func (ac *account) deposit(tokens, share float64) {
	if tokens > 0 {
		ac.stock = max(ac.stock, min(ac.stock+tokens, ac.room(share)))
	}
}

// grant gives what is wanted, and for requests to come no more than a part of the rest, so
// that there is something for requests at other nodes.
func (lg *Ledger) grant(acc *account, item Item, now time.Time) Grant {
	const restShare = 0.25
	wanted := math.Floor(min(item.Want, acc.stock))
	ahead := math.Floor(min(item.Ahead, (acc.stock-wanted)*restShare))
	grant := Grant{Team: acc.limit.Team, Tokens: wanted + ahead, Valid: min(acc.valid, waitValid)}
	acc.stock -= grant.Tokens
	switch {
	case ahead > 0:
		grant.Valid = acc.valid
		acc.grantedAhead.add(grant.Tokens, now.Add(grant.Valid))
	case wanted > 0:
		acc.granted.add(grant.Tokens, now.Add(grant.Valid))
	}
	if grant.Tokens < math.Floor(item.Want) {
		grant.RetryAfter = lg.untilToken(acc)
	}
	return grant
}

// untilToken returns the time until this node holds a token of a team.
func (lg *Ledger) untilToken(acc *account) time.Duration {
	supply := acc.limit.Rate * min(1, lg.held[acc.slot])
	if supply <= 0 {
		return min(maxRetry, minLoan)
	}
	return max(minRetry, min(maxRetry, seconds(min(maxRetry.Seconds(), (1-acc.stock)/supply))))
}
