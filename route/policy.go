package route

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minimumLatency is the lowest latency that PeakEWMA scores with. Without it,
	// an upstream without samples would score 0 at any load.
	minimumLatency = time.Millisecond
	// hopPenalty is added to the expected duration of an attempt if another
	// node owns the upstream. zonePenalty is added if the upstream is in
	// another availability zone.
	hopPenalty  = 300 * time.Microsecond
	zonePenalty = 2 * time.Millisecond
	// minimumRamp is the smallest share of an upstream's slots that counts in
	// its utilization while the upstream warms up.
	minimumRamp = 0.1
	// waitWeight is how much the wait for a slot weighs beside the other parts of the
	// expected end. It is above 1, as the wait is known less well than the rest and comes
	// with the risk of a refusal.
	waitWeight = 2.0
	// scoreJitter is the greatest random increase of a score, as a share of the
	// score.
	scoreJitter = 0.05
	// maxStackCandidates is the number of candidates up to which the scratch
	// buffers of a pick stay on the stack.
	maxStackCandidates = 16
)

// Policy decides which of several candidates an attempt goes to.
type Policy struct {
	// Score rates a candidate; the lowest score is the best.
	Score func(rating *Rating) float64
	// Choose returns the index of the candidate that the attempt goes to, given
	// the scores of all candidates. The score of an excluded candidate is
	// infinite.
	Choose func(scores []float64, source *rand.Rand) int
	// ByTime lets reports of time left, costs and beliefs about upstreams without a recent
	// report count, beside counts.
	ByTime bool
	// Eject excludes candidates that are much slower than the others. An
	// ejected candidate receives only a few probes.
	Eject bool
	// PreferNear prefers the candidate on this node, then those in this node's
	// availability zone, while they are expected to answer well within the
	// route's target latency. An answer faster than the target latency gains
	// the caller nothing, and a near answer saves traffic between zones.
	// PreferNear has no effect on a route without a target latency.
	PreferNear bool
}

func (p Policy) score(rating *Rating) float64 {
	if p.Eject && rating.State.ejected {
		return math.Inf(1)
	}
	return p.Score(rating)
}

// Adaptive scores by the expected end of an attempt, takes the better of two random
// candidates, ejects upstreams that are much slower than the others, and prefers near
// ones that meet the target latency.
func Adaptive() Policy {
	return Policy{Score: expectedEnd, Choose: TwoChoices, ByTime: true, Eject: true, PreferNear: true}
}

// AdaptiveByCount is like Adaptive, but knows no costs and counts the work at an upstream
// instead of its time.
func AdaptiveByCount() Policy {
	return Policy{Score: expectedDuration, Choose: TwoChoices, Eject: true, PreferNear: true}
}

// LeastWorkLeft chooses the better of two random candidates by the time that it needs for
// all of its work.
func LeastWorkLeft() Policy {
	return Policy{Choose: TwoChoices, Score: func(rating *Rating) float64 {
		left, _ := rating.State.Load.Left.Get()
		since := float64(rating.State.Outstanding - rating.State.outstandingAtReport)
		return float64(left.Drain) + float64(since/rating.slots()*float64(rating.TypicalDuration))
	}}
}

// expectedEnd estimates how long an attempt takes until its end, in nanoseconds: the way,
// the wait for a slot, and the request's own cost at the upstream's speed, which rises as
// its slots fill.
func expectedEnd(rating *Rating) float64 {
	if !rating.informed() {
		return expectedDuration(rating)
	}
	own := rating.usual
	if rating.Candidate.CostFactor > 0 {
		own *= rating.Candidate.CostFactor
	}
	utilization := (rating.Ahead + 1) / (rating.slots() * rating.Candidate.ramp(rating.Now))
	return float64(own*(1+math.Min(1, utilization))) + float64(waitWeight*rating.slotWait(utilization)) + rating.otherCosts(own)
}

// slotWait returns the believed wait for a slot in nanoseconds. An upstream that warms up
// counts as one with few slots.
func (r *Rating) slotWait(utilization float64) float64 {
	if r.Candidate.ramp(r.Now) < 1 {
		return math.Max(r.Wait, (utilization-1)*r.usual)
	}
	return r.Wait
}

// otherCosts returns the part of the expected end that is neither work nor the wait for a
// slot: the way, the limits of the upstream, and the likely cost of a failure of work of
// the given duration.
func (r *Rating) otherCosts(own float64) float64 {
	return float64(r.ExcessFaultShare*(own+float64(failurePenalty))) + float64(r.penalty())
}

// informed reports whether more is known of the candidate than counts of attempts.
func (r *Rating) informed() bool {
	return r.believed && (r.Candidate.CostFactor > 0 || r.State.lasting != 0 || r.fresh || r.Ahead != r.counted)
}

// speed returns the slowness that counts in the expected end. Where the owner node's
// reports tell how fast the upstream is apart from short spells, its own speed counts in
// either direction, and a present slowness beyond that.
func (r *Rating) speed() float64 {
	slowness := r.scoredSlowness()
	if slowness < 0 {
		return math.Min(slowness, r.State.lasting)
	}
	if slowness > 0 {
		return math.Max(slowness, r.State.lasting)
	}
	return r.State.lasting
}

// penalty returns the time for the way to the upstream and for its limits.
func (r *Rating) penalty() time.Duration {
	penalty := r.linkWait() + r.State.rateWait(r.Now)
	if !r.Candidate.Local {
		penalty += hopPenalty
	}
	if !r.Candidate.SameZone {
		penalty += zonePenalty
	}
	return penalty
}

// expectedDuration estimates how long an attempt takes, in nanoseconds, from
// the service time, the upstream's load, the network and the likely cost of a
// failure.
func expectedDuration(rating *Rating) float64 {
	utilization := rating.utilization()
	serviceTime := float64(rating.TypicalDuration)
	if slowness := rating.scoredSlowness(); slowness != 0 {
		serviceTime *= math.Exp(slowness)
	}
	faultCost := float64(rating.ExcessFaultShare * (serviceTime + float64(failurePenalty)))
	return float64(serviceTime*(1+utilization+math.Max(0, utilization-1))) + faultCost + float64(rating.penalty())
}

// linkWait estimates how long a large answer waits for the network link of the
// upstream's instance. It is 0 for small answers. The estimate is the wait that
// the owner node reported minus the time since the report, because the link
// keeps sending the queued answers.
func (r *Rating) linkWait() time.Duration {
	if r.AnswerSize < largeAnswer {
		return 0
	}
	return max(0, r.State.Load.LinkWait-r.Now.Sub(r.State.LoadReportedAt))
}

// scoredSlowness returns the slowness that counts in the score. A candidate
// that is slightly faster than the median may be so by chance and gets no
// bonus. A candidate that is much faster gets a bonus, because the median
// candidate must then be slow.
func (r *Rating) scoredSlowness() float64 {
	if r.Slowness < -ejectAbove {
		return r.Slowness
	}
	return math.Max(0, r.Slowness)
}

// utilization returns the number of attempts that run or wait at the upstream,
// including the one to be sent, divided by the upstream's slots. During the
// warm-up, only a share of the slots counts. The result may exceed 1.
func (r *Rating) utilization() float64 {
	slots := float64(max(r.Candidate.Slots, 1)) * r.Candidate.ramp(r.Now)
	return float64(r.State.ahead(r.Now)+1) / slots
}

// PeakEWMA chooses the upstream with the lowest score. The score is the peak
// EWMA latency, plus zonePenalty if the upstream is in another zone, multiplied
// by the utilization.
func PeakEWMA() Policy {
	return Policy{Choose: Lowest, Score: func(rating *Rating) float64 {
		latency := max(rating.State.Latency, minimumLatency)
		if !rating.Candidate.SameZone {
			latency += zonePenalty
		}
		return float64(latency) * rating.utilization()
	}}
}

// RoundRobin chooses the upstream that this node has chosen least often.
func RoundRobin() Policy {
	return Policy{Choose: Lowest, Score: func(rating *Rating) float64 { return float64(rating.State.Picked) }}
}

// LeastOutstanding chooses the upstream with the fewest outstanding attempts of
// this node.
func LeastOutstanding() Policy {
	return Policy{Choose: LowestWithJitter, Score: func(rating *Rating) float64 { return float64(rating.State.Outstanding) + 1 }}
}

// JoinIdle prefers upstreams that have a free slot as far as this node knows, and
// chooses at random if several or none have one.
func JoinIdle() Policy {
	return Policy{Choose: LowestWithJitter, Score: func(rating *Rating) float64 {
		if rating.State.ahead(rating.Now) < rating.Candidate.Slots {
			return 1
		}
		return 1 + scoreJitter/2
	}}
}

// Lowest returns the index of the first of the lowest scores.
func Lowest(scores []float64, _ *rand.Rand) int {
	best := 0
	for i, score := range scores {
		if score < scores[best] {
			best = i
		}
	}
	return best
}

// LowestWithJitter returns the index of the lowest score after a small random
// increase of each. Without the increase, nodes with the same observations
// would all choose the same upstream.
func LowestWithJitter(scores []float64, source *rand.Rand) int {
	best, lowest := 0, math.Inf(1)
	for i, score := range scores {
		if jittered := score * (1 + float64(scoreJitter*source.Float64())); jittered < lowest {
			best, lowest = i, jittered
		}
	}
	return best
}

// TwoChoices returns the index of the lower of two finite scores drawn at
// random, or of the lowest score if fewer than two are finite.
func TwoChoices(scores []float64, source *rand.Rand) int {
	var buffer [maxStackCandidates]int
	finite := buffer[:0]
	for i, score := range scores {
		if !math.IsInf(score, 1) {
			finite = append(finite, i)
		}
	}
	if len(finite) < 2 {
		return Lowest(scores, source)
	}
	first, second := source.IntN(len(finite)), source.IntN(len(finite)-1)
	if second >= first {
		second++
	}
	if scores[finite[second]] < scores[finite[first]] {
		return finite[second]
	}
	return finite[first]
}

// ramp returns the share of the candidate's slots that counts in its
// utilization. It is the elapsed share of the warm-up time, at least
// minimumRamp, and 1 after the warm-up.
func (c Candidate) ramp(now time.Time) float64 {
	if c.WarmUp <= 0 {
		return 1
	}
	share := float64(now.Sub(c.ReadyAt)) / float64(c.WarmUp)
	return math.Min(1, math.Max(minimumRamp, share))
}
