package route

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// latencyDecay is the time constant of the peak EWMA of the latency.
	latencyDecay = 10 * time.Second
	// loadExpiry is the age from which a reported load is ignored.
	loadExpiry = time.Second
	// failurePenalty is the cost of a failed attempt. It is the lowest duration
	// that a failure counts with in the peak EWMA, and the time that
	// expectedDuration adds to the service time to weigh a likely failure.
	failurePenalty = 500 * time.Millisecond

	// slownessHalfLife is the half-life of the measured slowness of an upstream
	// that gets no attempts. While the upstream is ejected, the half-life is
	// instead ejectionHalfLife times the number of consecutive ejections of the
	// upstream, of which at most maxEjections count.
	slownessHalfLife = 3 * time.Second
	ejectionHalfLife = 5 * time.Second
	maxEjections     = 3
	// faultHalfLife is the half-life of a reported share of failed attempts.
	// Because of this decay, a node that has stopped using an upstream tries
	// the upstream again every few seconds.
	faultHalfLife = 1500 * time.Millisecond
	// minWeight is the smallest weight of a new sample in the moving average of
	// an upstream's slowness (see logRatio).
	minWeight = 0.2
	// sampleHalfLife sets how the weight of a sample grows with the time since
	// the previous sample. After sampleHalfLife, the weight would be 1/2, but
	// it is then limited to the range from minWeight to maxWeight.
	sampleHalfLife = 200 * time.Millisecond
	// maxWeight is the greatest weight of a sample that has neither
	// failureWeight nor recoveryWeight. maxSlowness is the greatest absolute
	// value of a log ratio (see logRatio). The product of the two is below
	// ejectAbove, so that a single slow answer does not eject an upstream of
	// typical speed.
	maxWeight   = 0.45
	maxSlowness = 2.3
	// failureWeight is the weight of an attempt without a complete answer.
	failureWeight = 0.6
	// recoveryWeight is the weight of an answer from an ejected upstream if the
	// answer is much faster than the upstream's average. A few such answers
	// reinstate the upstream.
	recoveryWeight = 0.5
	// overdueFactor is the multiple of a route's typical duration after which an
	// attempt in flight counts as a slow sample.
	overdueFactor = 2
	// ratioOffset is added to both the observed and the typical duration before
	// they are divided. Without it, the network latency to another availability
	// zone would make short attempts look slow.
	ratioOffset = 2 * time.Millisecond
)

// UpstreamState holds what this node has observed of one upstream.
type UpstreamState struct {
	// Outstanding is the number of this node's attempts in flight at the
	// upstream.
	Outstanding int
	// Latency is the peak EWMA of the attempts' durations: it jumps to a higher
	// sample immediately and decays towards lower ones.
	Latency time.Duration
	// Load is the last load that the owner node reported, and LoadReportedAt is
	// when it arrived.
	Load           Load
	LoadReportedAt time.Time
	// UpdatedAt is when this node last sent an attempt or observed an outcome.
	UpdatedAt time.Time
	// Picked is the number of attempts that this node has sent to the upstream.
	Picked uint64

	// lasting is the natural logarithm of how many times slower than usual the upstream
	// is apart from short spells, as its owner node's reports tell. It is 0 until then.
	lasting float64
	// outstandingAtReport is the value of Outstanding when Load arrived.
	outstandingAtReport int
	// meanLogRatio is the EWMA of the attempts' log ratios (see logRatio) as of
	// the latest sample, which was added at lastSample. decayedLogRatio returns
	// the value after the decay since then.
	meanLogRatio float64
	lastSample   time.Time
	ejected      bool
	// ejections is the number of consecutive ejections. An answer that is much
	// faster than the upstream's average resets it to 0 if the upstream is
	// ejected when the answer arrives.
	ejections int
	lastProbe time.Time
	// probeCredit grows with each pick while the upstream is ejected. A probe
	// resets it to 0.
	probeCredit float64
	pending     []pendingAttempt
}

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	route types.RouteName
	start time.Time
}

// removePending removes the attempt in flight that a sample belongs to and
// returns when that attempt began, or false if there is none. A sample carries
// no attempt number, so removePending takes the attempt on the same route whose
// start time is nearest to that of the sample.
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

// observe adds the duration of an attempt that got a complete answer to the
// averages.
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

// observeCanceled adds the time that a canceled attempt ran until the
// cancellation. This is only a lower bound of the full duration, so it counts
// only if its log ratio is above the average.
func (s *UpstreamState) observeCanceled(elapsed, typical time.Duration, now time.Time) {
	if ratio := logRatio(elapsed, typical); ratio > s.meanLogRatio {
		s.addSample(ratio, s.weight(now), now)
	}
}

// observeFailure adds an attempt without a complete answer. Regardless of how
// soon the attempt failed, it counts as a very slow one.
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

// addSample updates the average with a log ratio (see logRatio).
func (s *UpstreamState) addSample(ratio, weight float64, now time.Time) {
	s.meanLogRatio = s.decayedLogRatio(now)
	s.meanLogRatio += float64(weight * (ratio - s.meanLogRatio))
	s.lastSample, s.UpdatedAt = now, now
}

// decayedLogRatio returns the average log ratio, which decays to 0 (typical
// speed) while there are no samples.
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

// slowness returns the average log ratio. An overdue attempt in flight (see
// overdueFactor) counts as a sample whose duration is the attempt's current age,
// if this raises the average. After the first such attempt, each further one
// counts with minWeight.
func (s *UpstreamState) slowness(typical func(types.RouteName) time.Duration, now time.Time) float64 {
	average, weight := s.decayedLogRatio(now), 0.0
	for _, attempt := range s.pending {
		expected := typical(attempt.route)
		age := now.Sub(attempt.start)
		if age < overdueFactor*expected {
			continue
		}
		if ratio := logRatio(age, expected); ratio > average {
			if weight == 0 {
				weight = s.weight(now)
			}
			average += float64(weight * (ratio - average))
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
	s.Latency = time.Duration(float64(float64(s.Latency)*weight) + float64(float64(elapsed)*(1-weight)))
}

// ahead estimates how many attempts run or wait at the upstream when a new one
// arrives. The estimate is the load that the owner node last reported, adjusted
// by the change in this node's outstanding attempts since the report, and at
// least the number of this node's outstanding attempts. Once the report is
// older than loadExpiry, only this node's outstanding attempts count.
func (s *UpstreamState) ahead(now time.Time) int {
	return s.aheadAt(now.Sub(s.LoadReportedAt))
}

// aheadAt is like ahead, given the age of the report.
func (s *UpstreamState) aheadAt(age time.Duration) int {
	if age >= loadExpiry {
		return s.Outstanding
	}
	reported := s.Load.Outstanding + s.Load.Queued + s.Outstanding - s.outstandingAtReport
	return max(s.Outstanding, reported)
}

// rateWait estimates how long a new attempt waits for the upstream's rate limit: the
// wait that the owner node reported, minus the time since the report.
func (s *UpstreamState) rateWait(now time.Time) time.Duration {
	if s.Load.RateWait == 0 {
		return 0
	}
	return max(0, s.Load.RateWait-now.Sub(s.LoadReportedAt))
}

// faultShare returns the share of failed attempts that the owner node last
// reported, which decays with the report's age.
func (s *UpstreamState) faultShare(now time.Time) float64 {
	if s.Load.FaultShare == 0 {
		return 0
	}
	return s.Load.FaultShare * math.Exp2(-float64(now.Sub(s.LoadReportedAt))/float64(faultHalfLife))
}

// logRatio returns the natural logarithm of the observed duration of an attempt
// divided by the typical duration, limited to the range ±maxSlowness. A
// positive value means that the attempt was slower than typical.
func logRatio(elapsed, typical time.Duration) float64 {
	ratio := math.Log(float64(elapsed+ratioOffset) / float64(typical+ratioOffset))
	return min(max(ratio, -maxSlowness), maxSlowness)
}
