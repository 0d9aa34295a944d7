package route

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	minimumLatency = time.Millisecond
	// hopPenalty and zonePenalty are the times that a hop adds.
	hopPenalty  = 300 * time.Microsecond
	zonePenalty = 2 * time.Millisecond
	minimumRamp = 0.1
	// noise is the share by which scores are blurred.
	noise = 0.05
	// maxChoices is the number of candidates that need no allocation.
	maxChoices = 16
)

// Policy chooses among candidates. Where an attempt has an aim, the candidates
// of the node's own instance and then of its availability zone go first as long
// as they are expected to meet it with room to spare: being faster than the aim
// is worth nothing to the caller, and the answer does not cross zones.
type Policy struct {
	// Score rates a candidate, the lowest being the best.
	Score func(rating Rating) float64
	// Choose returns the index of the chosen score.
	Choose func(scores []float64, source *rand.Rand) int
	// Eject leaves out candidates that are slower than their siblings, but
	// for a few probes.
	Eject bool
	// Near puts candidates first that are near and meet the aim.
	Near bool
}

func (p Policy) score(rating Rating) float64 {
	if p.Eject && rating.State.ejected {
		return math.Inf(1)
	}
	return p.Score(rating)
}

// Adaptive scores by the expected duration of an attempt and leaves out
// upstreams that are slower than their siblings.
func Adaptive() Policy {
	return Policy{Score: expected, Choose: TwoChoices, Eject: true, Near: true}
}

func expected(rating Rating) float64 {
	load := rating.load()
	service := float64(rating.Usual) * math.Exp(rating.weighed())
	penalty := time.Duration(0)
	if !rating.Candidate.Local {
		penalty += hopPenalty
	}
	if !rating.Candidate.SameZone {
		penalty += zonePenalty
	}
	fails := rating.Faults * (service + float64(failurePenalty))
	return service*(1+load+math.Max(0, load-1)) + fails + float64(penalty+rating.linkWait())
}

// linkWait returns the time that an answer waits for the link of the upstream's
// instance. A report runs down as the link sends what waited.
func (r Rating) linkWait() time.Duration {
	if r.Size < largeAnswer {
		return 0
	}
	return max(0, r.State.Load.LinkWait-r.Now.Sub(r.State.Reported))
}

// weighed returns the slowness that counts in the score. Being somewhat faster
// than the middle sibling is chance; being far faster means that the middle one
// is slow.
func (r Rating) weighed() float64 {
	if r.Slowness < -ejectAbove {
		return r.Slowness
	}
	return math.Max(0, r.Slowness)
}

// load returns the work ahead of an attempt and itself as a share of the slots.
func (r Rating) load() float64 {
	slots := float64(max(r.Candidate.Slots, 1)) * r.Candidate.ramp(r.Now)
	return float64(r.State.ahead(r.Now)+1) / slots
}

// PeakEWMA scores by the highest recent latency times the work ahead.
func PeakEWMA() Policy {
	return Policy{Choose: Lowest, Score: func(rating Rating) float64 {
		latency := max(rating.State.Latency, minimumLatency)
		if !rating.Candidate.SameZone {
			latency += zonePenalty
		}
		return float64(latency) * rating.load()
	}}
}

// RoundRobin takes the upstreams in turn.
func RoundRobin() Policy {
	return Policy{Choose: Lowest, Score: func(rating Rating) float64 { return float64(rating.State.Picked) }}
}

// LeastOutstanding takes the upstream with the fewest own attempts.
func LeastOutstanding() Policy {
	return Policy{Choose: Blurred, Score: func(rating Rating) float64 { return float64(rating.State.Outstanding) + 1 }}
}

// JoinIdle takes an upstream that is not known to be busy, or else any.
func JoinIdle() Policy {
	return Policy{Choose: Blurred, Score: func(rating Rating) float64 {
		if rating.State.ahead(rating.Now) < rating.Candidate.Slots {
			return 1
		}
		return 1 + noise/2
	}}
}

// Lowest chooses the first of the lowest scores.
func Lowest(scores []float64, _ *rand.Rand) int {
	best := 0
	for at, score := range scores {
		if score < scores[best] {
			best = at
		}
	}
	return best
}

// Blurred chooses the lowest score after a small random change of each, so
// that nodes with equal knowledge do not choose alike.
func Blurred(scores []float64, source *rand.Rand) int {
	best, lowest := 0, math.Inf(1)
	for at, score := range scores {
		if blurred := score * (1 + noise*source.Float64()); blurred < lowest {
			best, lowest = at, blurred
		}
	}
	return best
}

// TwoChoices chooses the lower of two random scores among the finite ones.
func TwoChoices(scores []float64, source *rand.Rand) int {
	var buffer [maxChoices]int
	finite := buffer[:0]
	for at, score := range scores {
		if !math.IsInf(score, 1) {
			finite = append(finite, at)
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

func (c Candidate) ramp(now time.Time) float64 {
	if c.WarmUp <= 0 {
		return 1
	}
	share := float64(now.Sub(c.Ready)) / float64(c.WarmUp)
	return math.Min(1, math.Max(minimumRamp, share))
}
