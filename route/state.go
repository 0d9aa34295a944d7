package route

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// latencyDecay is the time constant of the peak EWMA of the latency.
	latencyDecay = 10 * time.Second
	// loadExpiry is the age at which a reported load is no longer used.
	loadExpiry = time.Second
	// failurePenalty is the time that a failed attempt costs in the scores.
	failurePenalty = 500 * time.Millisecond

	// slownessHalfLife is the half-life of the measured slowness of an upstream
	// that gets no attempts. While the upstream is ejected, it is
	// ejectionHalfLife times the number of its ejections in a row, at most
	// maxEjections.
	slownessHalfLife = 3 * time.Second
	ejectionHalfLife = 5 * time.Second
	maxEjections     = 3
	// faultHalfLife is the half-life of a reported share of failed attempts. It
	// makes each node retry an upstream that it has stopped using every few
	// seconds.
	faultHalfLife = 1500 * time.Millisecond
	// minWeight is the smallest weight of a sample in the average slowness.
	minWeight = 0.2
	// sampleHalfLife is the time since the last sample after which the next one
	// gets the weight 1/2, before the bounds minWeight and maxWeight.
	sampleHalfLife = 200 * time.Millisecond
	// maxWeight and maxSlowness bound a sample's weight and its logarithm. Their
	// product is below ejectAbove, so that a single slow answer does not eject
	// an upstream of typical speed.
	maxWeight   = 0.45
	maxSlowness = 2.3
	// failureWeight is the weight of an attempt without a complete answer.
	failureWeight = 0.6
	// recoveryWeight is the weight of an answer of an ejected upstream that is
	// much faster than its average, so that a few such answers reinstate it.
	recoveryWeight = 0.5
	// overdueFactor is the multiple of a route's typical duration after which an
	// attempt in flight counts as a slow sample.
	overdueFactor = 2
	// ratioOffset is added to both durations of a ratio. Without it, the network
	// latency to another availability zone would make short attempts look slow.
	ratioOffset = 2 * time.Millisecond
)

// UpstreamState holds what this node has observed of one upstream.
type UpstreamState struct {
	// Outstanding is the number of this node's attempts in flight.
	Outstanding int
	// Latency is the peak EWMA of the attempts' durations: it jumps to a higher
	// sample at once and decays towards lower ones.
	Latency time.Duration
	// Load is the last load that the owner node reported, and LoadReportedAt is
	// when it arrived.
	Load           Load
	LoadReportedAt time.Time
	// UpdatedAt is when this node last sent an attempt or observed an outcome.
	UpdatedAt time.Time
	// Picked is the number of attempts that this node has sent to the upstream.
	Picked uint64

	// outstandingAtReport is the value of Outstanding when Load arrived.
	outstandingAtReport int
	// meanLogRatio is the EWMA of the logarithm of an attempt's duration divided
	// by the typical duration on its route, as of lastSample.
	meanLogRatio float64
	lastSample   time.Time
	ejected      bool
	// ejections is the number of ejections since the last answer that was much
	// faster than the average.
	ejections int
	lastProbe time.Time
	// probeCredit grows with each pick while the upstream is ejected.
	probeCredit float64
	pending     []pendingAttempt
}

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	route types.RouteName
	start time.Time
}

// removePending removes the attempt in flight that a sample belongs to and returns
// when it began, or false if there is none. A sample carries no attempt number,
// so it is the attempt on the same route with the nearest start time.
func (s *UpstreamState) removePending(sample Sample, now time.Time) (time.Time, bool) {
	began := now.Add(-sample.Elapsed)
	nearest := -1
	var smallest time.Duration
	for i, attempt := range s.pending {
		difference := attempt.start.Sub(began).Abs()
		if attempt.route != sample.Route || nearest >= 0 && difference >= smallest {
			continue
		}
		nearest, smallest = i, difference
	}
	if nearest < 0 {
		return time.Time{}, false
	}
	start := s.pending[nearest].start
	last := len(s.pending) - 1
	s.pending[nearest] = s.pending[last]
	s.pending = s.pending[:last]
	return start, true
}

// observe adds the duration of an attempt that got a complete answer.
func (s *UpstreamState) observe(elapsed, typical time.Duration, now time.Time) {
	s.observePeak(elapsed, now)
	ratio := logRatio(elapsed, typical)
	weight := s.weight(now)
	if s.ejected && ratio < s.meanLogRatio/2 {
		weight = recoveryWeight
		s.ejections = 0
	}
	s.addSample(ratio, weight, now)
}

// observeCanceled adds the duration of a canceled attempt. It is a lower bound of
// the full duration, so it counts only if it is above the average.
func (s *UpstreamState) observeCanceled(elapsed, typical time.Duration, now time.Time) {
	if ratio := logRatio(elapsed, typical); ratio > s.meanLogRatio {
		s.addSample(ratio, s.weight(now), now)
	}
}

// observeFailure adds an attempt without a complete answer. However soon it
// failed, it counts as a very slow one.
func (s *UpstreamState) observeFailure(elapsed time.Duration, now time.Time) {
	s.observePeak(max(elapsed, failurePenalty), now)
	s.addSample(maxSlowness, failureWeight, now)
}

// weight returns the weight of a sample in the average, which grows with the time
// since the last sample.
func (s *UpstreamState) weight(now time.Time) float64 {
	if s.lastSample.IsZero() {
		return minWeight
	}
	return min(maxWeight, max(minWeight, 1-math.Exp2(-float64(now.Sub(s.lastSample))/float64(sampleHalfLife))))
}

// addSample updates the average with the logarithm of a ratio of durations.
func (s *UpstreamState) addSample(ratio, weight float64, now time.Time) {
	s.meanLogRatio = s.decayedLogRatio(now)
	s.meanLogRatio += weight * (ratio - s.meanLogRatio)
	s.lastSample, s.UpdatedAt = now, now
}

// decayedLogRatio returns the average, which decays to 0 (typical speed) while
// there are no samples.
func (s *UpstreamState) decayedLogRatio(now time.Time) float64 {
	if s.meanLogRatio == 0 {
		return 0
	}
	halfLife := slownessHalfLife
	if s.ejected {
		halfLife = ejectionHalfLife * time.Duration(min(max(s.ejections, 1), maxEjections))
	}
	return s.meanLogRatio * math.Exp2(-float64(now.Sub(s.lastSample))/float64(halfLife))
}

// slowness returns the average, including each overdue attempt in flight as a
// sample of its current age.
func (s *UpstreamState) slowness(typical func(types.RouteName) time.Duration, now time.Time) float64 {
	average, weight := s.decayedLogRatio(now), s.weight(now)
	for _, attempt := range s.pending {
		expected := typical(attempt.route)
		age := now.Sub(attempt.start)
		if age < overdueFactor*expected {
			continue
		}
		if ratio := logRatio(age, expected); ratio > average {
			average += weight * (ratio - average)
			weight = minWeight
		}
	}
	return average
}

// observePeak updates the peak EWMA of the latency.
func (s *UpstreamState) observePeak(elapsed time.Duration, now time.Time) {
	weight := math.Exp(-float64(now.Sub(s.lastSample)) / float64(latencyDecay))
	if elapsed > s.Latency {
		s.Latency = elapsed
		return
	}
	s.Latency = time.Duration(float64(s.Latency)*weight + float64(elapsed)*(1-weight))
}

// ahead returns how many attempts a new one would find running or queued at the
// upstream. It corrects the reported load by this node's attempts since then.
func (s *UpstreamState) ahead(now time.Time) int {
	if now.Sub(s.LoadReportedAt) >= loadExpiry {
		return s.Outstanding
	}
	reported := s.Load.Outstanding + s.Load.Queued + s.Outstanding - s.outstandingAtReport
	return max(s.Outstanding, reported)
}

// faultShare returns the share of failed attempts that the owner node last
// reported, which decays with the report's age.
func (s *UpstreamState) faultShare(now time.Time) float64 {
	if s.Load.FaultShare == 0 {
		return 0
	}
	return s.Load.FaultShare * math.Exp2(-float64(now.Sub(s.LoadReportedAt))/float64(faultHalfLife))
}

// logRatio returns the logarithm of how many times longer than typical an attempt
// took, bounded to ±maxSlowness.
func logRatio(elapsed, typical time.Duration) float64 {
	ratio := math.Log(float64(elapsed+ratioOffset) / float64(typical+ratioOffset))
	return min(max(ratio, -maxSlowness), maxSlowness)
}
