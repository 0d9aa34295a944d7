package flow

import (
	"math"
	"time"
)

const (
	histogramBuckets = 120
	// bucketsPerDoubling is the number of buckets over which the bound doubles.
	bucketsPerDoubling = 4
	// minBucketBound is the lower bound of the first bucket.
	minBucketBound = 10 * time.Microsecond
	// decayThreshold is the total weight at which all counts are multiplied by
	// decayFactor, so that old samples lose weight.
	decayThreshold = 512
	// minSamples is the total weight below which quantile returns false.
	minSamples  = 20
	decayFactor = 0.5
	// The median duration of a route's attempts is the expected duration of a
	// retry. Their tail latency is the delay after which a hedge starts.
	medianQuantile = 0.5
	tailQuantile   = 0.95
)

// histogram is a decaying histogram of the durations of the attempts on one route.
type histogram struct {
	counts [histogramBuckets]float64
	total  float64
}

// observe adds the duration of an attempt.
func (hg *histogram) observe(elapsed time.Duration) {
	steps := math.Log2(float64(max(elapsed, minBucketBound))/float64(minBucketBound)) * bucketsPerDoubling
	hg.counts[min(int(steps), histogramBuckets-1)]++
	hg.total++
	if hg.total < decayThreshold {
		return
	}
	hg.total = 0
	for i := range hg.counts {
		hg.counts[i] = float64(hg.counts[i] * decayFactor)
		hg.total += hg.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds the quantile q, or false
// if there are fewer than minSamples samples.
func (hg *histogram) quantile(q float64) (time.Duration, bool) {
	if hg.total < minSamples {
		return 0, false
	}
	remaining := q * hg.total
	for i, count := range hg.counts {
		if remaining -= count; remaining <= 0 {
			return time.Duration(float64(minBucketBound) * math.Exp2(float64(i+1)/bucketsPerDoubling)), true
		}
	}
	return time.Duration(float64(minBucketBound) * math.Exp2(histogramBuckets/bucketsPerDoubling)), true
}
