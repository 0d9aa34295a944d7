package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// An upstream is ejected when its slowness rises above ejectAbove, and is
	// reinstated when its slowness falls to reinstateBelow. Slowness is the
	// natural logarithm of how many times slower the upstream is than the
	// median candidate: 1.1 means 3 times as slow, and 0.6 means 1.8 times.
	ejectAbove     = 1.1
	reinstateBelow = 0.6
	// probeShare is the fraction of all attempts that is sent to one ejected
	// upstream, to probe it. Each time the balancer picks an upstream for an
	// attempt, the ejected upstream gains probeShare of probe credit.
	probeShare = 0.005
	// probeInterval is the shortest time between two probes of an upstream.
	probeInterval = 100 * time.Millisecond
	// probeCost is the probe credit that a probe uses up. It is also the most
	// credit that an upstream can accumulate.
	probeCost = 1
)

// Rating holds what a policy uses to score one candidate.
type Rating struct {
	State     *UpstreamState
	Candidate Candidate
	// TypicalDuration is the typical duration of an attempt on the route.
	TypicalDuration time.Duration
	// AnswerSize is the mean size of the route's answers in bytes.
	AnswerSize int
	// Slowness is the natural logarithm of how many times slower the upstream is
	// than the median candidate.
	Slowness float64
	// ExcessFaultShare is by how much the upstream's share of failed attempts
	// exceeds that of the median candidate.
	ExcessFaultShare float64
	// Ahead is the number of attempts that are believed to run or wait at the upstream,
	// and Wait the time for which a new one is believed to wait there.
	Ahead float64
	Wait  float64
	// usual is how long the usual work on the route lasts at the upstream, in
	// nanoseconds, and counted what Ahead is by counts alone. fresh is true if a recent
	// report says how long new work waits.
	usual, counted float64
	fresh          bool
	// groupWeight, reportedLoad and reportedWait are the part of the last report in what
	// is known of the upstreams near or far.
	groupWeight, reportedLoad, reportedWait float64
	// Now is the time of the pick.
	Now time.Time
}

// subtractMedians makes the slowness and the share of failed attempts of each
// candidate relative to the median candidate. If all candidates are slow or
// fail alike, the cause is not one upstream but the requests or a dependency
// that the upstreams share.
func subtractMedians(ratings []Rating) {
	slowness := lowerMedian(ratings, func(rating *Rating) float64 { return rating.Slowness })
	faultShare := lowerMedian(ratings, func(rating *Rating) float64 { return rating.ExcessFaultShare })
	for i := range ratings {
		ratings[i].Slowness -= slowness
		ratings[i].ExcessFaultShare = math.Max(0, ratings[i].ExcessFaultShare-faultShare)
	}
}

// lowerMedian returns the lower median of a value over all ratings.
func lowerMedian(ratings []Rating, value func(*Rating) float64) float64 {
	var buffer [maxStackCandidates]float64
	values, least, greatest := buffer[:0], math.Inf(1), math.Inf(-1)
	for i := range ratings {
		rated := value(&ratings[i])
		least, greatest = math.Min(least, rated), math.Max(greatest, rated)
		values = append(values, rated)
	}
	if least == greatest {
		return least
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// eject marks the candidates that are too slow as ejected and all others as not
// ejected. It ejects at most half of the candidates, the slowest ones. A single
// candidate has no others to compare with, so its state does not change.
func eject(ratings []Rating) {
	if len(ratings) < 2 {
		return
	}
	var buffer [maxStackCandidates]int
	slow := buffer[:0]
	for i := range ratings {
		rating, limit := &ratings[i], ejectAbove
		if rating.State.ejected {
			limit = reinstateBelow
		}
		if rating.Slowness > limit {
			slow = append(slow, i)
		}
	}
	slices.SortFunc(slow, func(a, b int) int { return cmp.Compare(ratings[b].Slowness, ratings[a].Slowness) })
	slow = slow[:min(len(slow), len(ratings)/2)]
	for i := range ratings {
		ratings[i].State.setEjected(slices.Contains(slow, i))
	}
}

func (s *UpstreamState) setEjected(ejected bool) {
	if ejected && !s.ejected {
		s.ejections++
	}
	s.ejected = ejected
}

// pickProbe returns the index of an ejected candidate that is due for a probe,
// or false if there is none. A probe is due when the candidate has a probe
// credit of probeCost, its last probe is at least probeInterval ago and this
// node has no attempt in flight at the candidate.
func (b *Balancer) pickProbe(now time.Time) (int, bool) {
	for i := range b.ratings {
		state := b.ratings[i].State
		if !state.ejected {
			state.probeCredit = 0
			continue
		}
		state.probeCredit = math.Min(state.probeCredit+probeShare, probeCost)
		if state.probeCredit < probeCost || now.Sub(state.lastProbe) < probeInterval || state.Outstanding > 0 {
			continue
		}
		state.probeCredit, state.lastProbe = 0, now
		return i, true
	}
	return 0, false
}
