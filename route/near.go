package route

import "math"

const (
	// A near upstream is preferred if the expected duration of the attempt is at
	// most nearShare of the target latency.
	nearShare = 0.75
	// A near upstream is preferred up to this utilization of its slots. Above it,
	// balancing the load over all zones matters more.
	nearUtilization = 1.0
	// largeAnswer is the size in bytes from which an answer counts as large.
	// For large answers, the traffic between zones matters most, so near
	// upstreams are preferred up to the higher limits below.
	largeAnswer          = 16 << 10
	largeNearShare       = 0.9
	largeNearUtilization = 1.3
)

// keepNear restricts the choice to near candidates that meet the target
// latency, by setting the scores of all other candidates to infinity. If the
// candidate on this node meets the target latency, only this candidate remains.
// Otherwise, the candidates in the same availability zone that meet the target
// latency remain. If there are none, the scores stay unchanged.
func keepNear(ratings []Rating, scores []float64) {
	local := func(rating Rating) bool { return rating.Candidate.Local }
	sameZone := func(rating Rating) bool { return rating.Candidate.SameZone }
	for _, near := range []func(Rating) bool{local, sameZone} {
		if !anyNear(ratings, scores, near) {
			continue
		}
		for i, rating := range ratings {
			if !near(rating) || !rating.meetsTarget(scores[i]) {
				scores[i] = math.Inf(1)
			}
		}
		return
	}
}

// anyNear reports whether any near candidate meets the target latency.
func anyNear(ratings []Rating, scores []float64, near func(Rating) bool) bool {
	for i, rating := range ratings {
		if near(rating) && rating.meetsTarget(scores[i]) {
			return true
		}
	}
	return false
}

// meetsTarget reports whether a candidate is expected to answer well within the
// target latency and is not too busy. The score is the expected duration of an
// attempt at the candidate, in nanoseconds.
func (r Rating) meetsTarget(score float64) bool {
	share, utilization := nearShare, nearUtilization
	if r.AnswerSize >= largeAnswer {
		share, utilization = largeNearShare, largeNearUtilization
	}
	return score <= share*float64(r.Candidate.TargetLatency) && r.utilization() <= utilization
}
