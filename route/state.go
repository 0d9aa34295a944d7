package route

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	latencyDecay   = 10 * time.Second
	loadExpiry     = time.Second
	failurePenalty = 500 * time.Millisecond

	// slownessDecay is the half-life of what was learned of an upstream that
	// gets no attempts, and ejectionDecay that of an ejected one for each time
	// that it was ejected in a row.
	slownessDecay = 3 * time.Second
	ejectionDecay = 5 * time.Second
	maxEjections  = 3
	// faultDecay is the half-life of a report of failed work. An upstream that
	// gets no more attempts is tried again by each node every few seconds.
	faultDecay   = 1500 * time.Millisecond
	sampleWeight = 0.2
	// sampleMemory is the half-life of a sample once another one follows.
	sampleMemory = 200 * time.Millisecond
	// maxWeight and maxSlowness keep one straggler from ejecting an upstream.
	maxWeight     = 0.45
	maxSlowness   = 2.3
	failureWeight = 0.6
	// returnWeight is the weight of a usual answer of a slow upstream.
	returnWeight = 0.5
	// overdueFactor is the multiple of a route's usual duration after which an
	// attempt in flight counts as a slow sample.
	overdueFactor = 2
	// ratioFloor is added to both sides of a ratio, so that the way to another
	// availability zone does not make short work look slow.
	ratioFloor = 2 * time.Millisecond
)

// UpstreamState is what this node has observed of an upstream.
type UpstreamState struct {
	// Outstanding counts this node's own attempts.
	Outstanding int
	// Latency is the peak exponentially weighted moving average.
	Latency time.Duration
	// Load is the last report and Reported its time.
	Load     Load
	Reported time.Time
	Updated  time.Time
	// Picked counts the choices of this upstream.
	Picked uint64

	ownAtReport int
	// slow is the average logarithm of the ratio between an answer's duration
	// and its route's usual one.
	slow    float64
	sampled time.Time
	ejected bool
	// ejections counts the ejections without a usual answer in between.
	ejections int
	probed    time.Time
	credit    float64
	flights   []flight
}

// flight is an attempt that has not ended.
type flight struct {
	route types.RouteName
	start time.Time
}

// land removes the attempt of a sample and returns when it began.
func (s *UpstreamState) land(sample Sample, now time.Time) (time.Time, bool) {
	began := now.Add(-sample.Elapsed)
	best := -1
	var distance time.Duration
	for at, known := range s.flights {
		gap := known.start.Sub(began).Abs()
		if known.route != sample.Route || best >= 0 && gap >= distance {
			continue
		}
		best, distance = at, gap
	}
	if best < 0 {
		return time.Time{}, false
	}
	start := s.flights[best].start
	last := len(s.flights) - 1
	s.flights[best] = s.flights[last]
	s.flights = s.flights[:last]
	return start, true
}

// observe adds the duration of a whole answer.
func (s *UpstreamState) observe(elapsed, usual time.Duration, now time.Time) {
	s.observePeak(elapsed, now)
	ratio := logRatio(elapsed, usual)
	weight := s.weight(now)
	if s.ejected && ratio < s.slow/2 {
		weight = returnWeight
		s.ejections = 0
	}
	s.learn(ratio, weight, now)
}

// observeAtLeast adds the duration of an attempt that was given up, which
// tells nothing if it was short.
func (s *UpstreamState) observeAtLeast(elapsed, usual time.Duration, now time.Time) {
	if ratio := logRatio(elapsed, usual); ratio > s.slow {
		s.learn(ratio, s.weight(now), now)
	}
}

// observeFailure adds an attempt without a whole answer.
func (s *UpstreamState) observeFailure(elapsed time.Duration, now time.Time) {
	s.observePeak(max(elapsed, failurePenalty), now)
	s.learn(maxSlowness, failureWeight, now)
}

// weight returns the weight of a sample, which grows with the time since the
// last one.
func (s *UpstreamState) weight(now time.Time) float64 {
	if s.sampled.IsZero() {
		return sampleWeight
	}
	return min(maxWeight, max(sampleWeight, 1-math.Exp2(-float64(now.Sub(s.sampled))/float64(sampleMemory))))
}

func (s *UpstreamState) learn(ratio, weight float64, now time.Time) {
	s.slow = s.decayed(now)
	s.slow += weight * (ratio - s.slow)
	s.sampled, s.Updated = now, now
}

// decayed returns the average, moved towards the usual by the time without
// samples.
func (s *UpstreamState) decayed(now time.Time) float64 {
	if s.slow == 0 {
		return 0
	}
	half := slownessDecay
	if s.ejected {
		half = ejectionDecay * time.Duration(min(max(s.ejections, 1), maxEjections))
	}
	return s.slow * math.Exp2(-float64(now.Sub(s.sampled))/float64(half))
}

// slowness returns the average with the overdue attempts in flight taken as
// samples of their present age.
func (s *UpstreamState) slowness(usual func(types.RouteName) time.Duration, now time.Time) float64 {
	slow, weight := s.decayed(now), s.weight(now)
	for _, known := range s.flights {
		expected := usual(known.route)
		age := now.Sub(known.start)
		if age < overdueFactor*expected {
			continue
		}
		if ratio := logRatio(age, expected); ratio > slow {
			slow += weight * (ratio - slow)
			weight = sampleWeight
		}
	}
	return slow
}

// observePeak keeps the highest recent duration.
func (s *UpstreamState) observePeak(elapsed time.Duration, now time.Time) {
	weight := math.Exp(-float64(now.Sub(s.sampled)) / float64(latencyDecay))
	if elapsed > s.Latency {
		s.Latency = elapsed
		return
	}
	s.Latency = time.Duration(float64(s.Latency)*weight + float64(elapsed)*(1-weight))
}

// ahead returns the number of works that a new attempt would find.
func (s *UpstreamState) ahead(now time.Time) int {
	if now.Sub(s.Reported) >= loadExpiry {
		return s.Outstanding
	}
	reported := s.Load.Outstanding + s.Load.Queued + s.Outstanding - s.ownAtReport
	return max(s.Outstanding, reported)
}

// faults returns the part of the upstream's work that its owner reported as
// failed, less the longer ago that was.
func (s *UpstreamState) faults(now time.Time) float64 {
	if s.Load.Faults == 0 {
		return 0
	}
	return s.Load.Faults * math.Exp2(-float64(now.Sub(s.Reported))/float64(faultDecay))
}

func logRatio(elapsed, usual time.Duration) float64 {
	ratio := math.Log(float64(elapsed+ratioFloor) / float64(usual+ratioFloor))
	return min(max(ratio, -maxSlowness), maxSlowness)
}
