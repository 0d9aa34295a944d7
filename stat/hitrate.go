package stat

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time in which the weight of an event halves.
	shareHalfLife = 2 * time.Second
	// sharePrior is added to the number of events, as if so many misses had been
	// observed. It keeps the share low while few events are known.
	sharePrior = 4
)

// Share estimates the fraction of recent events that are hits. The weight of an
// event decays exponentially with its age.
type Share struct {
	hits, total float64
	at          time.Time
}

// Observe adds an event that happened now and states whether it is a hit.
func (sh *Share) Observe(hit bool, now time.Time) {
	decay := sh.decay(now)
	sh.hits, sh.total, sh.at = sh.hits*decay, sh.total*decay+1, now
	if hit {
		sh.hits++
	}
}

// Now returns the estimated fraction of hits at the given time, from 0 to 1.
func (sh *Share) Now(now time.Time) float64 {
	decay := sh.decay(now)
	return sh.hits * decay / (sh.total*decay + sharePrior)
}

// decay returns the factor by which all weights have shrunk since the last event.
func (sh *Share) decay(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(sh.at))) / float64(shareHalfLife))
}
