package route

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Candidate is an upstream that an attempt may go to.
type Candidate struct {
	ID      types.InstanceID
	Address types.Address
	// Local states that this node owns the upstream.
	Local bool
	// SameZone states that the upstream is in this node's availability zone.
	SameZone bool
	Slots    int
	// Ready is when the upstream announced itself.
	Ready  time.Time
	WarmUp time.Duration
}

// Load is what an owner reports with an answer or a refusal.
type Load struct {
	Outstanding int
	Queued      int
}

// Sample is the outcome of one attempt at an upstream.
type Sample struct {
	ID      types.InstanceID
	Elapsed time.Duration
	Load    Load
	// Refused states that the work did not run.
	Refused bool
	// Failed states that no whole answer came.
	Failed bool
}

// Policy orders candidates; the lowest score is chosen.
type Policy struct {
	Score func(state UpstreamState, candidate Candidate, now time.Time) float64
}

// UpstreamState is what this node has observed of an upstream.
type UpstreamState struct {
	// Outstanding counts this node's own attempts.
	Outstanding int
	// Latency is the peak exponentially weighted moving average.
	Latency time.Duration
	// Load is the last report and Reported its time.
	Load     Load
	Reported time.Time
	Updated  time.Time
	// Picked counts the choices of this upstream.
	Picked uint64
}

const (
	latencyDecay   = 10 * time.Second
	loadExpiry     = time.Second
	minimumLatency = time.Millisecond
	zonePenalty    = 2 * time.Millisecond
	failurePenalty = 500 * time.Millisecond
	minimumRamp    = 0.1
)

// Balance keeps the observations of all upstreams of one node.
type Balance struct {
	policy Policy
	states map[types.InstanceID]*UpstreamState
}

// NewBalance returns a balance that uses a policy.
func NewBalance(policy Policy) *Balance {
	return &Balance{policy: policy, states: map[types.InstanceID]*UpstreamState{}}
}

// PeakEWMA scores by latency times the work ahead.
func PeakEWMA() Policy {
	return Policy{Score: func(state UpstreamState, candidate Candidate, now time.Time) float64 {
		latency := max(state.Latency, minimumLatency)
		if !candidate.SameZone {
			latency += zonePenalty
		}
		ahead := state.Outstanding
		if now.Sub(state.Reported) < loadExpiry {
			ahead = max(ahead, state.Load.Outstanding+state.Load.Queued)
		}
		load := float64(ahead+1) / float64(max(candidate.Slots, 1))
		return float64(latency) * load / candidate.ramp(now)
	}}
}

// RoundRobin takes the upstreams in turn.
func RoundRobin() Policy {
	return Policy{Score: func(state UpstreamState, _ Candidate, _ time.Time) float64 {
		return float64(state.Picked)
	}}
}

// LeastOutstanding takes the upstream with the fewest own attempts.
func LeastOutstanding() Policy {
	return Policy{Score: func(state UpstreamState, _ Candidate, _ time.Time) float64 {
		return float64(state.Outstanding)
	}}
}

func (c Candidate) ramp(now time.Time) float64 {
	if c.WarmUp <= 0 {
		return 1
	}
	share := float64(now.Sub(c.Ready)) / float64(c.WarmUp)
	return math.Min(1, math.Max(minimumRamp, share))
}

// Pick returns the candidate with the lowest score.
func (b *Balance) Pick(candidates []Candidate, now time.Time) (Candidate, bool) {
	var chosen Candidate
	best := math.Inf(1)
	for _, candidate := range candidates {
		score := b.policy.Score(*b.state(candidate.ID), candidate, now)
		if score < best {
			best, chosen = score, candidate
		}
	}
	if chosen.ID == "" {
		return Candidate{}, false
	}
	return chosen, true
}

// Began records that an attempt was sent to an upstream.
func (b *Balance) Began(id types.InstanceID) {
	state := b.state(id)
	state.Outstanding++
	state.Picked++
}

// Ended records the outcome of an attempt.
func (b *Balance) Ended(sample Sample, now time.Time) {
	state := b.state(sample.ID)
	state.Outstanding = max(0, state.Outstanding-1)
	state.Load, state.Reported = sample.Load, now
	elapsed := sample.Elapsed
	if sample.Failed {
		elapsed = max(elapsed, failurePenalty)
	}
	if !sample.Refused {
		state.observe(elapsed, now)
	}
}

func (s *UpstreamState) observe(elapsed time.Duration, now time.Time) {
	weight := math.Exp(-float64(now.Sub(s.Updated)) / float64(latencyDecay))
	s.Updated = now
	if elapsed > s.Latency {
		s.Latency = elapsed
		return
	}
	s.Latency = time.Duration(float64(s.Latency)*weight + float64(elapsed)*(1-weight))
}

func (b *Balance) state(id types.InstanceID) *UpstreamState {
	state, ok := b.states[id]
	if !ok {
		state = &UpstreamState{}
		b.states[id] = state
	}
	return state
}
