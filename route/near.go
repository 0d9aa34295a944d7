package route

import "math"

const (
	// nearShare is the part of its aim within which an attempt at a near
	// upstream must be expected to end.
	nearShare = 0.5
	// nearLoad is the part of its slots up to which a near upstream goes before
	// those further away. Above it, equal load over all zones goes first.
	nearLoad = 0.7
	// largeAnswer is the size in bytes from which it is the bytes between zones
	// that count, and a near upstream goes first up to the limits below.
	largeAnswer    = 16 << 10
	largeNearShare = 0.9
	largeNearLoad  = 1.3
)

// keepNear makes the scores of all but the near candidates infinite if one of
// the near ones meets the aim.
func keepNear(ratings []Rating, scores []float64) {
	local := func(rating Rating) bool { return rating.Candidate.Local }
	sameZone := func(rating Rating) bool { return rating.Candidate.SameZone }
	for _, near := range []func(Rating) bool{local, sameZone} {
		if !anyNear(ratings, scores, near) {
			continue
		}
		for at, rating := range ratings {
			if !near(rating) || !rating.spare(scores[at]) {
				scores[at] = math.Inf(1)
			}
		}
		return
	}
}

func anyNear(ratings []Rating, scores []float64, near func(Rating) bool) bool {
	for at, rating := range ratings {
		if near(rating) && rating.spare(scores[at]) {
			return true
		}
	}
	return false
}

// spare reports whether a candidate with a score meets the aim with room to
// spare.
func (r Rating) spare(score float64) bool {
	share, load := nearShare, nearLoad
	if r.Size >= largeAnswer {
		share, load = largeNearShare, largeNearLoad
	}
	return score <= share*float64(r.Candidate.Aim) && r.load() <= load
}
