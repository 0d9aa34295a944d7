package stat

import (
	"math"
	"time"
)

const (
	// hitRateHalfLife is the time in which the weight of an event halves.
	hitRateHalfLife = 2 * time.Second
	// hitRatePrior is added to the number of events, as if so many misses had been
	// observed. It keeps the rate low while few events are known.
	hitRatePrior = 4
)

// HitRate estimates the fraction of recent events that are hits. The weight of an
// event decays exponentially with its age.
type HitRate struct {
	hits, total float64
	at          time.Time
}

// Observe adds an event that happened now and states whether it is a hit.
func (hr *HitRate) Observe(hit bool, now time.Time) {
	decay := hr.decay(now)
	hr.hits, hr.total, hr.at = hr.hits*decay, hr.total*decay+1, now
	if hit {
		hr.hits++
	}
}

// Value returns the estimated fraction of hits at the given time, from 0 to 1.
func (hr *HitRate) Value(now time.Time) float64 {
	decay := hr.decay(now)
	return hr.hits * decay / (hr.total*decay + hitRatePrior)
}

// decay returns the factor by which all weights have shrunk since the last event.
func (hr *HitRate) decay(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(hr.at))) / float64(hitRateHalfLife))
}
