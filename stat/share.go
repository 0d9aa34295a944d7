package stat

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time after which an event counts half.
	shareHalfLife = 2 * time.Second
	// sharePrior is the number of events of the other kind that are taken to
	// have been seen, so that a few events tell little.
	sharePrior = 4
)

// Share estimates which part of the recent events are of a kind.
type Share struct {
	hits, total float64
	at          time.Time
}

// Observe adds an event.
func (sh *Share) Observe(hit bool, now time.Time) {
	decay := sh.decay(now)
	sh.hits, sh.total, sh.at = sh.hits*decay, sh.total*decay+1, now
	if hit {
		sh.hits++
	}
}

// Now returns the part, from 0 to 1.
func (sh *Share) Now(now time.Time) float64 {
	decay := sh.decay(now)
	return sh.hits * decay / (sh.total*decay + sharePrior)
}

func (sh *Share) decay(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(sh.at))) / float64(shareHalfLife))
}
