package route

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/types"
)

// Candidate is an upstream that an attempt may go to.
type Candidate struct {
	// ID and Address are those of the node that owns the upstream.
	ID      types.InstanceID
	Address types.Address
	// Route is the route of the attempt.
	Route types.RouteName
	// Local is true if this node owns the upstream.
	Local bool
	// SameZone is true if the upstream is in this node's availability zone.
	SameZone bool
	// Slots is the number of attempts that the upstream runs at once.
	Slots int
	// Aim is the route's target latency, below which a faster answer gains the
	// caller nothing. 0 means that a faster answer is always better.
	Aim time.Duration
	// Ready is when the upstream announced itself.
	Ready time.Time
	// WarmUp is how long after Ready the upstream gets less than its full share.
	WarmUp time.Duration
}

// Load is the load of an upstream that its owner node reports with each answer or
// refusal.
type Load struct {
	// Outstanding is the number of attempts that the upstream runs.
	Outstanding int
	// Queued is the number of attempts that wait in the upstream's queue.
	Queued int
	// LinkWait is how long a large answer waits for the instance's network link.
	LinkWait time.Duration
	// Faults is the share of the recent attempts that failed at the upstream.
	Faults float64
}

// Sample is the outcome of one attempt at an upstream.
type Sample struct {
	ID      types.InstanceID
	Route   types.RouteName
	Elapsed time.Duration
	// Size is the size of the answer in bytes.
	Size int
	Load Load
	// Refused is true if the attempt was refused and did not run.
	Refused bool
	// Failed is true if no complete answer arrived.
	Failed bool
	// Canceled is true if the entry node canceled the attempt before it ended.
	Canceled bool
}

const (
	// defaultUsual is the assumed duration of an attempt on a route without
	// samples.
	defaultUsual = 10 * time.Millisecond
	// stateExpiry is how long after its last attempt an upstream is forgotten.
	stateExpiry   = time.Minute
	sweepInterval = 10 * time.Second
)

// Balance is the load balancer of one node. It keeps what the node observed of
// each upstream.
type Balance struct {
	policy    Policy
	source    *rand.Rand
	states    map[types.InstanceID]*UpstreamState
	durations *stat.Durations
	sizes     *stat.Sizes
	swept     time.Time
	// ratings and scores are scratch buffers that each pick reuses.
	ratings []Rating
	scores  []float64
}

// Option configures a Balance.
type Option func(*Balance)

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(b *Balance) { b.source = rand.New(rand.NewPCG(seed, ^seed)) }
}

// NewBalance returns a load balancer that uses policy.
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

// Usual returns the typical duration of an attempt on a route, or defaultUsual if
// none was observed.
func (b *Balance) Usual(route types.RouteName) time.Duration {
	if usual, ok := b.durations.Usual(route); ok {
		return usual
	}
	return defaultUsual
}

// Len returns the number of upstreams with stored observations.
func (b *Balance) Len() int { return len(b.states) }

// Pick returns the candidate that an attempt on a route goes to, or false if there
// are no candidates.
func (b *Balance) Pick(route types.RouteName, candidates []Candidate, now time.Time) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	b.sweep(now)
	b.fillRatings(route, candidates, now)
	i, ok := 0, false
	if b.policy.Eject {
		i, ok = b.pickProbe(now)
	}
	if !ok {
		i = b.choose()
	}
	chosen := candidates[i]
	chosen.Route = route
	return chosen, true
}

// fillRatings computes the ratings of the candidates.
func (b *Balance) fillRatings(route types.RouteName, candidates []Candidate, now time.Time) {
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
	subtractMedians(b.ratings)
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
	state.pending = append(state.pending, pendingAttempt{route: target.Route, start: now})
}

// Ended records the outcome of an attempt.
func (b *Balance) Ended(sample Sample, now time.Time) {
	state := b.state(sample.ID)
	began, known := state.removePending(sample, now)
	state.Outstanding = len(state.pending)
	if sample.hasLoad() {
		state.Load, state.Reported, state.outstandingAtReport = sample.Load, now, state.Outstanding
	}
	switch {
	case sample.Refused:
		state.Updated = now
	case sample.Canceled:
		if known {
			state.observeCanceled(now.Sub(began), b.Usual(sample.Route), now)
		}
	case sample.Failed:
		state.observeFailure(sample.Elapsed, now)
	default:
		b.durations.Observe(sample.Route, sample.Elapsed, now)
		b.sizes.Observe(sample.Route, sample.Size)
		state.observe(sample.Elapsed, b.Usual(sample.Route), now)
	}
}

// hasLoad reports whether the sample carries the load reported by the owner node.
// An answer always does. With any other outcome, a zero load means that the owner
// node reported none.
func (s Sample) hasLoad() bool {
	return s.Load != Load{} || !s.Refused && !s.Failed && !s.Canceled
}

// state returns the observations of an upstream and creates them if needed.
func (b *Balance) state(id types.InstanceID) *UpstreamState {
	state, ok := b.states[id]
	if !ok {
		state = &UpstreamState{}
		b.states[id] = state
	}
	return state
}

// sweep deletes the upstreams that had no attempt for longer than stateExpiry.
func (b *Balance) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepInterval {
		return
	}
	b.swept = now
	for id, state := range b.states {
		if len(state.pending) == 0 && now.Sub(state.Updated) > stateExpiry {
			delete(b.states, id)
		}
	}
}
