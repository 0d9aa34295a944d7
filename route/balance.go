package route

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/types"
)

// Candidate is an upstream that an attempt may go to.
type Candidate struct {
	ID      types.InstanceID
	Address types.Address
	// Route is the route of the attempt.
	Route types.RouteName
	// Local states that this node owns the upstream.
	Local bool
	// SameZone states that the upstream is in this node's availability zone.
	SameZone bool
	Slots    int
	// Aim is the time within which the answer is of full use; 0 means that
	// sooner is always better.
	Aim time.Duration
	// Ready is when the upstream announced itself.
	Ready  time.Time
	WarmUp time.Duration
}

// Load is what an owner reports with an answer or a refusal.
type Load struct {
	Outstanding int
	Queued      int
	// LinkWait is the time that a large answer waits for the instance's link.
	LinkWait time.Duration
	// Faults is the part of the recent work that failed at the upstream.
	Faults float64
}

// Sample is the outcome of one attempt at an upstream.
type Sample struct {
	ID      types.InstanceID
	Route   types.RouteName
	Elapsed time.Duration
	// Size is that of the answer in bytes.
	Size int
	Load Load
	// Refused states that the work did not run.
	Refused bool
	// Failed states that no whole answer came.
	Failed bool
	// Canceled states that the entry gave the attempt up before it ended.
	Canceled bool
}

const (
	defaultUsual  = 10 * time.Millisecond
	stateExpiry   = time.Minute
	sweepInterval = 10 * time.Second
)

// Balance keeps the observations of all upstreams of one node.
type Balance struct {
	policy    Policy
	source    *rand.Rand
	states    map[types.InstanceID]*UpstreamState
	durations *stat.Durations
	sizes     *stat.Sizes
	swept     time.Time
	// ratings and scores are reused by each pick.
	ratings []Rating
	scores  []float64
}

// Option changes a setting of a balance.
type Option func(*Balance)

// WithSeed sets the seed of the random numbers that break ties.
func WithSeed(seed uint64) Option {
	return func(b *Balance) { b.source = rand.New(rand.NewPCG(seed, ^seed)) }
}

// NewBalance returns a balance that uses a policy.
func NewBalance(policy Policy, opts ...Option) *Balance {
	b := &Balance{
		policy:    policy,
		source:    rand.New(rand.NewPCG(0, 0)),
		states:    map[types.InstanceID]*UpstreamState{},
		durations: stat.NewDurations(),
		sizes:     stat.NewSizes(),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Usual returns how long an attempt on a route usually takes.
func (b *Balance) Usual(route types.RouteName) time.Duration {
	if usual, ok := b.durations.Usual(route); ok {
		return usual
	}
	return defaultUsual
}

// Len returns the number of upstreams that are remembered.
func (b *Balance) Len() int { return len(b.states) }

// Pick returns the candidate for an attempt on a route.
func (b *Balance) Pick(route types.RouteName, candidates []Candidate, now time.Time) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	b.sweep(now)
	b.rate(route, candidates, now)
	at, ok := 0, false
	if b.policy.Eject {
		at, ok = b.probe(now)
	}
	if !ok {
		at = b.choose()
	}
	chosen := candidates[at]
	chosen.Route = route
	return chosen, true
}

// rate fills the ratings of the candidates.
func (b *Balance) rate(route types.RouteName, candidates []Candidate, now time.Time) {
	usual, size := b.Usual(route), b.sizes.Usual(route)
	b.ratings = b.ratings[:0]
	for _, candidate := range candidates {
		state := b.state(candidate.ID)
		b.ratings = append(b.ratings, Rating{
			State:     state,
			Candidate: candidate,
			Usual:     usual,
			Size:      size,
			Slowness:  state.slowness(b.Usual, now),
			Faults:    state.faults(now),
			Now:       now,
		})
	}
	compare(b.ratings)
	if b.policy.Eject {
		eject(b.ratings)
	}
}

// choose returns the index of the candidate that the policy prefers among
// those that are not ejected.
func (b *Balance) choose() int {
	b.scores = b.scores[:0]
	for _, rating := range b.ratings {
		b.scores = append(b.scores, b.policy.score(rating))
	}
	if b.policy.Near {
		keepNear(b.ratings, b.scores)
	}
	return b.policy.Choose(b.scores, b.source)
}

// Began records that an attempt was sent to an upstream.
func (b *Balance) Began(target Candidate, now time.Time) {
	state := b.state(target.ID)
	state.Outstanding++
	state.Picked++
	state.Updated = now
	state.flights = append(state.flights, flight{route: target.Route, start: now})
}

// Ended records the outcome of an attempt.
func (b *Balance) Ended(sample Sample, now time.Time) {
	state := b.state(sample.ID)
	began, known := state.land(sample, now)
	state.Outstanding = len(state.flights)
	if sample.reports() {
		state.Load, state.Reported, state.ownAtReport = sample.Load, now, state.Outstanding
	}
	switch {
	case sample.Refused:
		state.Updated = now
	case sample.Canceled:
		if known {
			state.observeAtLeast(now.Sub(began), b.Usual(sample.Route), now)
		}
	case sample.Failed:
		state.observeFailure(sample.Elapsed, now)
	default:
		b.durations.Observe(sample.Route, sample.Elapsed, now)
		b.sizes.Observe(sample.Route, sample.Size)
		state.observe(sample.Elapsed, b.Usual(sample.Route), now)
	}
}

// reports states whether the sample carries an owner's load.
func (s Sample) reports() bool {
	return s.Load != Load{} || !s.Refused && !s.Failed && !s.Canceled
}

func (b *Balance) state(id types.InstanceID) *UpstreamState {
	state, ok := b.states[id]
	if !ok {
		state = &UpstreamState{}
		b.states[id] = state
	}
	return state
}

// sweep forgets the upstreams that had no attempt for a while.
func (b *Balance) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepInterval {
		return
	}
	b.swept = now
	for id, state := range b.states {
		if len(state.flights) == 0 && now.Sub(state.Updated) > stateExpiry {
			delete(b.states, id)
		}
	}
}
