package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ejectAbove and returnBelow are logarithms of the ratio between an
	// upstream's slowness and that of its siblings.
	ejectAbove  = 1.1
	returnBelow = 0.6
	// probeShare is the share of the attempts that go to an ejected upstream.
	probeShare    = 0.005
	probeInterval = 100 * time.Millisecond
	maxCredit     = 1
)

// Rating is what a policy knows of one candidate.
type Rating struct {
	State     *UpstreamState
	Candidate Candidate
	// Usual is how long an attempt on the route usually takes.
	Usual time.Duration
	// Size is that of the route's usual answer in bytes.
	Size int
	// Slowness is the logarithm of how much slower than its siblings the
	// upstream is.
	Slowness float64
	// Faults is the part of its work that fails beyond that of its siblings.
	Faults float64
	Now    time.Time
}

// compare makes the slowness and the faults of each candidate relative to the
// middle one. What all of them show is not theirs: the work may be at fault, or
// what it calls.
func compare(ratings []Rating) {
	slowness := middle(ratings, func(rating Rating) float64 { return rating.Slowness })
	faults := middle(ratings, func(rating Rating) float64 { return rating.Faults })
	for at := range ratings {
		ratings[at].Slowness -= slowness
		ratings[at].Faults = math.Max(0, ratings[at].Faults-faults)
	}
}

// middle returns the lower median of a value.
func middle(ratings []Rating, value func(Rating) float64) float64 {
	var buffer [maxChoices]float64
	values := buffer[:0]
	for _, rating := range ratings {
		values = append(values, value(rating))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// eject marks the slowest candidates, at most half of them. A single one tells
// nothing of its siblings.
func eject(ratings []Rating) {
	if len(ratings) < 2 {
		return
	}
	var buffer [maxChoices]int
	slow := buffer[:0]
	for at, rating := range ratings {
		limit := ejectAbove
		if rating.State.ejected {
			limit = returnBelow
		}
		if rating.Slowness > limit {
			slow = append(slow, at)
		}
	}
	slices.SortFunc(slow, func(a, b int) int { return cmp.Compare(ratings[b].Slowness, ratings[a].Slowness) })
	slow = slow[:min(len(slow), len(ratings)/2)]
	for at := range ratings {
		ratings[at].State.setEjected(slices.Contains(slow, at))
	}
}

func (s *UpstreamState) setEjected(ejected bool) {
	if ejected && !s.ejected {
		s.ejections++
	}
	s.ejected = ejected
}

// probe returns an ejected candidate that is due for an attempt.
func (b *Balance) probe(now time.Time) (int, bool) {
	for at := range b.ratings {
		state := b.ratings[at].State
		if !state.ejected {
			state.credit = 0
			continue
		}
		state.credit = math.Min(state.credit+probeShare, maxCredit)
		if state.credit < maxCredit || now.Sub(state.probed) < probeInterval || state.Outstanding > 0 {
			continue
		}
		state.credit, state.probed = 0, now
		return at, true
	}
	return 0, false
}
