package stat

import (
	"math"
	"time"
)

const (
	// hitRateHalfLife is the time after which the weight of an event has halved.
	hitRateHalfLife = 2 * time.Second
	// hitRatePrior is the number of misses that are added to the observed events
	// when the rate is computed. They keep the rate low while there are few
	// recent events. Their weight does not decay.
	hitRatePrior = 4
)

// HitRate estimates the fraction of recent events that are hits. The weight of an
// event decays exponentially with its age.
type HitRate struct {
	hits, total float64
	at          time.Time
}

// Observe adds an event that happened at the time now. hit states whether the event
// is a hit.
func (hr *HitRate) Observe(hit bool, now time.Time) {
	decay := hr.decay(now)
	hr.hits, hr.total, hr.at = hr.hits*decay, float64(hr.total*decay)+1, now
	if hit {
		hr.hits++
	}
}

// Value returns the estimated fraction of hits at the given time, from 0 to 1. It
// falls towards 0 while no events are observed.
func (hr *HitRate) Value(now time.Time) float64 {
	decay := hr.decay(now)
	return hr.hits * decay / (float64(hr.total*decay) + hitRatePrior)
}

// decay returns the factor by which the weights of all events have decayed between
// the last event and the given time.
func (hr *HitRate) decay(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(hr.at))) / float64(hitRateHalfLife))
}
