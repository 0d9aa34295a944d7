package route

import "math"

const (
	// A near upstream is preferred if the expected duration of the attempt is at
	// most nearShare of the target latency.
	nearShare = 0.5
	// A near upstream is preferred up to this utilization of its slots. Above it,
	// balancing the load over all zones matters more.
	nearUtilization = 0.7
	// largeAnswer is the size in bytes from which an answer counts as large. For
	// large answers the traffic between zones matters most, so that near
	// upstreams are preferred up to the higher limits below.
	largeAnswer          = 16 << 10
	largeNearShare       = 0.9
	largeNearUtilization = 1.3
)

// keepNear leaves only the near candidates that meet the target latency, by
// making the other scores infinite. Near means local or else in the same
// availability zone. If no near candidate meets the target latency, the scores
// stay as they are.
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

// meetsTarget reports whether a candidate with this score, its expected
// duration in nanoseconds, is well within the target latency and not too busy.
func (r Rating) meetsTarget(score float64) bool {
	share, utilization := nearShare, nearUtilization
	if r.AnswerSize >= largeAnswer {
		share, utilization = largeNearShare, largeNearUtilization
	}
	return score <= share*float64(r.Candidate.TargetLatency) && r.utilization() <= utilization
}
