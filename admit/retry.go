package admit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minimumWait and maximumWait bound the Retry-After time of refused work.
	minimumWait = 50 * time.Millisecond
	maximumWait = 5 * time.Second
)

// retryBacklog estimates how many refused work items will be retried and compete
// again for one resource, either the slots or the link.
type retryBacklog struct {
	// expected is the estimated number of retries to come, as computed at the time
	// in the field updated. It falls at the rate at which the resource can serve
	// retries.
	expected float64
	updated  time.Time
}

// add records that a work item was refused.
func (re *retryBacklog) add() { re.expected++ }

// retryAfter returns the time after which a refused work item may be retried.
// This is the time that the resource needs for its backlog and for the expected
// retries, which take serviceTime each. Random jitter of up to the same length
// is added to spread the retries. The result is between minimumWait and
// maximumWait.
func (re *retryBacklog) retryAfter(backlog, serviceTime time.Duration, rng *rand.Rand, now time.Time) time.Duration {
	re.expected = math.Max(0, re.expected-float64(now.Sub(re.updated))/float64(max(serviceTime, 1)))
	re.updated = now
	base := float64(backlog) + float64(re.expected*float64(serviceTime))
	base = math.Min(base, float64(maximumWait))
	spread := time.Duration(base + float64(base*rng.Float64()))
	return min(max(spread, minimumWait+time.Duration(rng.Int64N(int64(minimumWait)))), maximumWait)
}
