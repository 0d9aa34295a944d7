package route

import "math"

const (
	// A near upstream is preferred if the expected duration of the attempt is at
	// most nearShare of the target latency.
	nearShare = 0.75
	// A near upstream is preferred up to this utilization of its slots. Above it,
	// balancing the load over all zones matters more.
	nearUtilization = 1.0
	// Where more is known than counts, a near upstream is preferred up to a wait of this
	// multiple of the usual duration.
	nearWait = 0.2
	// largeAnswer is the size in bytes from which an answer counts as large.
	// For large answers, the traffic between zones matters most, so near
	// upstreams are preferred up to the higher limits below.
	largeAnswer          = 16 << 10
	largeNearShare       = 0.9
	largeNearUtilization = 1.3
	largeNearWait        = 0.5
)

// keepNear restricts the choice to near candidates that meet the target
// latency, by setting the scores of all other candidates to infinity. If the
// candidate on this node meets the target latency, only this candidate remains.
// Otherwise, the candidates in the same availability zone that meet the target
// latency remain. If there are none, the scores stay unchanged.
func keepNear(ratings []Rating, scores []float64) {
	local := func(rating *Rating) bool { return rating.Candidate.Local }
	sameZone := func(rating *Rating) bool { return rating.Candidate.SameZone }
	for _, near := range []func(*Rating) bool{local, sameZone} {
		if !anyNear(ratings, scores, near) {
			continue
		}
		for i := range ratings {
			if rating := &ratings[i]; !near(rating) || !rating.meetsTarget(scores[i]) {
				scores[i] = math.Inf(1)
			}
		}
		return
	}
}

// anyNear reports whether any near candidate meets the target latency.
func anyNear(ratings []Rating, scores []float64, near func(*Rating) bool) bool {
	for i := range ratings {
		if rating := &ratings[i]; near(rating) && rating.meetsTarget(scores[i]) {
			return true
		}
	}
	return false
}

// meetsTarget reports whether a candidate is expected to answer well within the
// target latency and is not too busy. The score is the expected duration of an
// attempt at the candidate, in nanoseconds.
func (r *Rating) meetsTarget(score float64) bool {
	share, utilization, wait := nearShare, nearUtilization, nearWait
	if r.AnswerSize >= largeAnswer {
		share, utilization, wait = largeNearShare, largeNearUtilization, largeNearWait
	}
	if r.informed() {
		return !math.IsInf(score, 1) && !r.needsBest(share) && r.soonFree(share, wait)
	}
	return score <= share*float64(r.Candidate.TargetLatency) && r.utilization() <= utilization
}

// needsBest reports whether a request is so dear that it can meet the target latency, but
// hardly. It goes wherever it ends first.
func (r *Rating) needsBest(share float64) bool {
	own, target := r.usual*r.Candidate.CostFactor, float64(r.Candidate.TargetLatency)
	return own > share*target && own < target
}

// soonFree reports whether the usual work meets the target latency at the candidate, and
// waits for a slot for a small part of its duration.
func (r *Rating) soonFree(share, wait float64) bool {
	utilization := (r.Ahead + 1) / (r.slots() * r.Candidate.ramp(r.Now))
	end := r.usual + r.otherCosts(r.usual)
	return end <= share*float64(r.Candidate.TargetLatency) && r.slotWait(utilization) <= wait*r.usual
}
