package route

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Appraisal is how the next pick would rate one candidate.
type Appraisal struct {
	Candidate Candidate
	// Score is what the policy rates the candidate with; the lowest is the best.
	Score float64
	// Parts are the parts of the score, or none if the policy does not score by time.
	Parts types.Option[ScoreParts]
	// InChoice is true if the candidate may be chosen. Ejected is true if it is not
	// because it is much slower than the others, and Far if it is not because a nearer
	// one answers early enough.
	InChoice, Ejected, Far bool
	// Probe is true if the next pick goes to this ejected candidate to probe it.
	Probe bool
	// InFlight is the number of this node's attempts in flight at the candidate.
	InFlight int
	// Load is the load that the owner node reported, and LoadAge the age of the report.
	// It is none if there is no report.
	Load    types.Option[Load]
	LoadAge time.Duration
	// ExcessFaultShare is by how much the share of failed attempts exceeds that of the
	// median candidate.
	ExcessFaultShare float64
	// Slowness is how many times slower the upstream is believed to be than usual.
	Slowness float64
	// WarmUpShare is the share of the slots that counts; 1 after the warm-up.
	WarmUpShare float64
}

// ScoreParts are the parts of an expected end. They add up to the score.
type ScoreParts struct {
	// Work is the request's own cost at the candidate's speed, which rises as its slots
	// fill, and Wait the weighted wait for a slot.
	Work, Wait time.Duration
	// Way is the time for the network, Limits the wait for the upstream's rate limit and
	// its instance's link, and Faults the likely cost of a failure.
	Way, Limits, Faults time.Duration
}

// Sum returns the score.
func (sp ScoreParts) Sum() time.Duration { return sp.Work + sp.Wait + sp.Way + sp.Limits + sp.Faults }

// Appraise rates the candidates as Pick would now. It changes nothing and draws no random
// number. load is that of the upstream of this node.
func (b *Balancer) Appraise(route types.RouteName, candidates []Candidate, load Load, now time.Time) []Appraisal {
	if len(candidates) == 0 {
		return nil
	}
	copied := b.copyFor(candidates)
	for _, candidate := range candidates {
		if candidate.Local {
			copied.LoadKnown(candidate.ID, load, now)
		}
	}
	copied.fillRatings(route, candidates, now)
	probe, probes := 0, false
	if b.policy.Eject {
		probe, probes = copied.pickProbe(now)
	}
	scores := make([]float64, len(candidates))
	for i := range copied.ratings {
		scores[i] = b.policy.score(&copied.ratings[i])
	}
	kept := append([]float64(nil), scores...)
	if b.policy.PreferNear {
		keepNear(copied.ratings, kept)
	}
	appraisals := make([]Appraisal, len(candidates))
	for i := range copied.ratings {
		rating := &copied.ratings[i]
		appraisals[i] = appraise(rating, b.policy)
		appraisals[i].InChoice = !math.IsInf(kept[i], 1)
		appraisals[i].Far = math.IsInf(kept[i], 1) && !math.IsInf(scores[i], 1)
		appraisals[i].Probe = probes && probe == i
	}
	return appraisals
}

// copyFor returns a balancer with copies of what is known of the candidates. It has no
// source of random numbers and must not learn from samples.
func (b *Balancer) copyFor(candidates []Candidate) *Balancer {
	copied := &Balancer{policy: b.policy, states: map[types.InstanceID]*UpstreamState{}, durations: b.durations, sizes: b.sizes, costs: b.costs}
	for _, candidate := range candidates {
		if state, ok := b.states[candidate.ID]; ok {
			own := *state
			copied.states[candidate.ID] = &own
		}
	}
	return copied
}

func appraise(rating *Rating, policy Policy) Appraisal {
	state := rating.State
	appraisal := Appraisal{
		Candidate:        rating.Candidate,
		Score:            policy.Score(rating),
		Ejected:          policy.Eject && state.ejected,
		InFlight:         state.Outstanding,
		ExcessFaultShare: rating.ExcessFaultShare,
		Slowness:         math.Exp(rating.speed()),
		WarmUpShare:      rating.Candidate.ramp(rating.Now),
	}
	if !state.LoadReportedAt.IsZero() {
		appraisal.Load, appraisal.LoadAge = types.Some(state.Load), rating.Now.Sub(state.LoadReportedAt)
	}
	if policy.PreferNear {
		appraisal.Parts = types.Some(rating.parts())
	}
	return appraisal
}

// parts divides what expectedEnd returns.
func (r *Rating) parts() ScoreParts {
	own, utilization := float64(float64(r.TypicalDuration)*math.Exp(r.scoredSlowness())), r.utilization()
	wait := float64(2 * own * math.Max(0, utilization-1))
	if r.informed() {
		own, utilization = r.usual, (r.Ahead+1)/(r.slots()*r.Candidate.ramp(r.Now))
		if r.Candidate.CostFactor > 0 {
			own *= r.Candidate.CostFactor
		}
		wait = float64(waitWeight * r.slotWait(utilization))
	}
	limits := r.linkWait() + r.State.rateWait(r.Now)
	return ScoreParts{
		Work:   time.Duration(own * (1 + math.Min(1, utilization))),
		Wait:   time.Duration(wait),
		Way:    r.penalty() - limits,
		Limits: limits,
		Faults: time.Duration(r.otherCosts(own)) - r.penalty(),
	}
}

// Observed reports whether the typical duration on a route was observed.
func (b *Balancer) Observed(route types.RouteName) bool {
	_, ok := b.durations.Typical(route)
	return ok
}
