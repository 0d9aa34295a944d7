package flow

import "time"

const (
	retryShare     = 0.1
	retryPerSecond = 1
	retryBurst     = 20
	retryStart     = 10

	hedgeShare = 0.05
	hedgeBurst = 10

	// overloadMemory is how long a refusal keeps hedges back.
	overloadMemory = time.Second
)

// bucket holds tokens for extra attempts.
type bucket struct {
	tokens    float64
	burst     float64
	perSecond float64
	updated   time.Time
}

func (bk *bucket) credit(tokens float64) { bk.tokens = min(bk.burst, bk.tokens+tokens) }

// take uses a token if there is one.
func (bk *bucket) take(now time.Time) bool {
	if elapsed := now.Sub(bk.updated); bk.perSecond > 0 && elapsed > 0 {
		if !bk.updated.IsZero() {
			bk.credit(elapsed.Seconds() * bk.perSecond)
		}
		bk.updated = now
	}
	if bk.tokens < 1 {
		return false
	}
	bk.tokens--
	return true
}

// allowance bounds the extra attempts at one service.
type allowance struct {
	retries bucket
	hedges  bucket
	// refused is when an owner last refused for overload.
	refused time.Time
}

func newAllowance() *allowance {
	return &allowance{
		retries: bucket{tokens: retryStart, burst: retryBurst, perSecond: retryPerSecond},
		hedges:  bucket{burst: hedgeBurst},
	}
}

func (al *allowance) overloaded(now time.Time) bool {
	return !al.refused.IsZero() && now.Sub(al.refused) < overloadMemory
}
