package admit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minimumWait and maximumWait bound the time after which a refused work is
	// told to come back.
	minimumWait = 50 * time.Millisecond
	maximumWait = 5 * time.Second
)

// returns counts the refused works that are to come back to one resource.
type returns struct {
	// owed is their number, and at the instant to which it was brought up to
	// date.
	owed float64
	at   time.Time
}

func (re *returns) add() { re.owed++ }

// wait returns the time until what waits and the works that are to come back
// have been served, each taking a time, spread at random over as long again.
func (re *returns) wait(waiting, each time.Duration, source *rand.Rand, now time.Time) time.Duration {
	re.owed = math.Max(0, re.owed-float64(now.Sub(re.at))/float64(max(each, 1)))
	re.at = now
	base := float64(waiting) + re.owed*float64(each)
	spread := time.Duration(math.Min(base, float64(maximumWait)) * (1 + source.Float64()))
	return min(max(spread, minimumWait+time.Duration(source.Int64N(int64(minimumWait)))), maximumWait)
}
