package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// rateBurst is for how long unused capacity of a rate limit accumulates.
	rateBurst = 250 * time.Millisecond
	// minRate is the lowest rate in work items per second. At a lower one, the node
	// would not learn in time from an answer that the limit has been raised.
	minRate = 0.5
)

// rateLimit is a token bucket that bounds how many work items per second are dispatched
// to the upstream, as the slots bound how many run at once. The zero value is no limit.
type rateLimit struct {
	// perSecond is the limit, or 0 if there is none.
	perSecond float64
	// tokens is the number of work items that could be dispatched at updated.
	tokens  float64
	updated time.Time
	// timed is true while a timer for the next dispatch is pending.
	timed bool
}

func (rl *rateLimit) limited() bool { return rl.perSecond > 0 }

// set changes the limit. 0 removes it.
func (rl *rateLimit) set(perSecond float64, now time.Time) {
	if perSecond <= 0 {
		*rl = rateLimit{timed: rl.timed}
		return
	}
	rl.refill(now)
	rl.perSecond = max(perSecond, minRate)
	rl.tokens = min(rl.tokens, rl.burst())
	rl.updated = now
}

// burst returns the number of work items that may be dispatched at once.
func (rl *rateLimit) burst() float64 { return max(1, rl.perSecond*rateBurst.Seconds()) }

func (rl *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(rl.updated); rl.limited() && elapsed > 0 {
		rl.tokens = min(rl.burst(), rl.tokens+float64(rl.perSecond*elapsed.Seconds()))
		rl.updated = now
	}
}

// wait returns the time until a work item may be dispatched if ahead others are
// dispatched before it.
func (rl *rateLimit) wait(ahead int, now time.Time) time.Duration {
	if !rl.limited() {
		return 0
	}
	rl.refill(now)
	missing := float64(ahead+1) - rl.tokens
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that the token is there when the wait is over.
	return time.Duration(missing/rl.perSecond*float64(time.Second)) + time.Microsecond
}

// take records that a work item is dispatched.
func (rl *rateLimit) take(now time.Time) {
	if rl.limited() {
		rl.refill(now)
		rl.tokens--
	}
}

// SetRateLimit sets how many work items per second may be dispatched, and dispatches
// queued work that the new limit allows. 0 removes the limit.
func (ct *Controller) SetRateLimit(perSecond float64, now time.Time) []types.Effect {
	ct.rate.set(perSecond, now)
	return ct.drain(now)
}

// RateLimit returns the limit in work items per second, or 0 if there is none.
func (ct *Controller) RateLimit() float64 { return ct.rate.perSecond }

// RateWait returns how long the rate limit makes a new work item wait.
func (ct *Controller) RateWait(now time.Time) time.Duration { return ct.rate.wait(len(ct.queue), now) }

// RateTimerFired dispatches the queued work that the rate limit allows by now.
func (ct *Controller) RateTimerFired(now time.Time) []types.Effect {
	ct.rate.timed = false
	return ct.drain(now)
}

// startRateTimer sets a timer for the next dispatch if only the rate limit holds queued
// work back.
func (ct *Controller) startRateTimer(effects []types.Effect, now time.Time) []types.Effect {
	wait := ct.rate.wait(0, now)
	if wait == 0 || ct.rate.timed || len(ct.queue) == 0 || ct.free() <= 0 {
		return effects
	}
	ct.rate.timed = true
	return append(effects, types.SetTimer{Timer: types.Timer{Kind: types.RateLimitReset}, At: now.Add(wait)})
}
