package flow

import "time"

const (
	hedgeShare = 0.05
	hedgeBurst = 10

	// budgetUse is the part of the budget that nodes spend, as their windows
	// and their views of the fleet differ from each other's.
	budgetUse = 0.6
	// windowSteps is the number of parts of a window that are counted apart.
	windowSteps = 10

	// overloadMemory is how long a refusal keeps hedges back.
	overloadMemory = time.Second
)

// Budget bounds the repeats that all nodes together send to one service in any
// span of a length: a ratio of the requests in it, and a number besides.
type Budget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// DefaultBudget returns the budget of a node that is told none.
func DefaultBudget() Budget {
	return Budget{Ratio: 0.1, Window: 10 * time.Second, Slack: 20}
}

// share returns what one of several nodes may spend.
func (bu Budget) share(nodes int) Budget {
	bu.Ratio *= budgetUse
	bu.Slack *= budgetUse / float64(nodes)
	return bu
}

// allows reports whether one more repeat fits.
func (bu Budget) allows(requests, repeats float64) bool {
	return repeats+1 <= bu.Ratio*requests+bu.Slack
}

// span counts events in the latest stretch of time.
type span struct {
	step   time.Duration
	counts [windowSteps + 1]float64
	latest int64
}

func newSpan(length time.Duration) span { return span{step: max(length/windowSteps, time.Millisecond)} }

// advance drops what has become too old.
func (sp *span) advance(now time.Time) {
	at := now.UnixNano() / int64(sp.step)
	for ; sp.latest < at; sp.latest++ {
		if at-sp.latest > int64(len(sp.counts)) {
			sp.latest = at - int64(len(sp.counts))
		}
		sp.counts[(sp.latest+1)%int64(len(sp.counts))] = 0
	}
}

func (sp *span) add(now time.Time) {
	sp.advance(now)
	sp.counts[sp.latest%int64(len(sp.counts))]++
}

func (sp *span) sum(now time.Time) float64 {
	sp.advance(now)
	total := 0.0
	for _, count := range sp.counts {
		total += count
	}
	return total
}

// bucket holds tokens for hedges.
type bucket struct {
	tokens float64
	burst  float64
}

func (bk *bucket) credit(tokens float64) { bk.tokens = min(bk.burst, bk.tokens+tokens) }

// take uses a token if there is one.
func (bk *bucket) take() bool {
	if bk.tokens < 1 {
		return false
	}
	bk.tokens--
	return true
}

// allowance bounds the extra attempts at one service.
type allowance struct {
	requests span
	repeats  span
	hedges   bucket
	// refused is when an owner last refused for overload.
	refused time.Time
}

func newAllowance(window time.Duration) *allowance {
	return &allowance{requests: newSpan(window), repeats: newSpan(window), hedges: bucket{burst: hedgeBurst}}
}

func (al *allowance) request(now time.Time) { al.requests.add(now) }

// repeat uses a part of the budget if there is one left.
func (al *allowance) repeat(budget Budget, now time.Time) bool {
	if !budget.allows(al.requests.sum(now), al.repeats.sum(now)) {
		return false
	}
	al.repeats.add(now)
	return true
}

func (al *allowance) overloaded(now time.Time) bool {
	return !al.refused.IsZero() && now.Sub(al.refused) < overloadMemory
}
