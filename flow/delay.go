package flow

import (
	"math"
	"time"
)

const (
	delayBuckets = 120
	// delaySteps is the number of buckets in which durations double.
	delaySteps  = 4
	delayUnit   = 10 * time.Microsecond
	delayMemory = 512
	delayNeeded = 20
	decayFactor = 0.5
	usualShare  = 0.5
	tailShare   = 0.95
)

// delays is a decaying histogram of how long the attempts of one route take.
type delays struct {
	counts [delayBuckets]float64
	total  float64
}

func (dl *delays) observe(elapsed time.Duration) {
	steps := math.Log2(float64(max(elapsed, delayUnit))/float64(delayUnit)) * delaySteps
	dl.counts[min(int(steps), delayBuckets-1)]++
	dl.total++
	if dl.total < delayMemory {
		return
	}
	dl.total = 0
	for at := range dl.counts {
		dl.counts[at] *= decayFactor
		dl.total += dl.counts[at]
	}
}

// quantile returns the upper bound of the bucket that holds a quantile, or
// false while too little is known.
func (dl *delays) quantile(share float64) (time.Duration, bool) {
	if dl.total < delayNeeded {
		return 0, false
	}
	left := share * dl.total
	for at, count := range dl.counts {
		if left -= count; left <= 0 {
			return time.Duration(float64(delayUnit) * math.Exp2(float64(at+1)/delaySteps)), true
		}
	}
	return time.Duration(float64(delayUnit) * math.Exp2(delayBuckets/delaySteps)), true
}
