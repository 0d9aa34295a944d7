package route

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/cost"
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
	// Slots is the number of attempts that the upstream runs concurrently.
	Slots int
	// TargetLatency is the target latency of the route, below which a faster
	// answer gains the caller nothing. 0 means that a faster answer is always
	// better.
	TargetLatency time.Duration
	// ReadyAt is when the upstream announced itself.
	ReadyAt time.Time
	// CostFactor is what the request is likely to cost in relation to the usual request
	// on the route, or 0 if that is not known.
	CostFactor float64
	// WarmUp is how long after ReadyAt the upstream gets less than its full
	// share of the attempts.
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
	// RateWait is how long a new attempt waits for the upstream's rate limit.
	RateWait time.Duration
	// FaultShare is the share of the recent attempts that failed at the upstream.
	FaultShare float64
	// Left is the work that the upstream still has to do, or none if its owner node does
	// not report it.
	Left types.Option[WorkLeft]
}

// WorkLeft is what an upstream still has to do, as time and not as a count.
type WorkLeft struct {
	// SlotWait is the expected time until a slot is free for new work.
	SlotWait time.Duration
	// Drain is the expected time to end all running and queued work on all slots.
	Drain time.Duration
}

// Sample is the outcome of one attempt at an upstream.
type Sample struct {
	ID      types.InstanceID
	Route   types.RouteName
	Elapsed time.Duration
	// Size is the size of the answer in bytes.
	Size int
	Load Load
	// AtUpstream is how long the upstream ran the work, or 0 if that is not known.
	AtUpstream time.Duration
	// Lasting is how long usual work on the route lasts at the upstream apart from short
	// spells, or 0 if its owner node does not report it.
	Lasting time.Duration
	// Features are the classes by which the cost of the request is learned.
	Features cost.Features
	// Refused is true if the attempt was refused and did not run.
	Refused bool
	// Failed is true if no complete answer arrived.
	Failed bool
	// Canceled is true if the entry node canceled the attempt before it ended.
	Canceled bool
}

const (
	// defaultDuration is the assumed duration of an attempt on a route without
	// samples.
	defaultDuration = 10 * time.Millisecond
	// stateExpiry is how long the observations of an upstream are kept after
	// its last attempt.
	stateExpiry = time.Minute
	// fullReportAge is the age up to which a report of no free slot is believed.
	fullReportAge = 300 * time.Millisecond
	sweepInterval = 10 * time.Second
)

// Balancer is the load balancer of one node. It stores what the node has
// observed of each upstream.
type Balancer struct {
	policy    Policy
	source    *rand.Rand
	states    map[types.InstanceID]*UpstreamState
	durations *stat.Durations
	sizes     *stat.Sizes
	costs     *cost.Estimator
	swept     time.Time
	// ratings and scores are scratch buffers that each pick reuses.
	ratings []Rating
	scores  []float64
}

// Option configures a Balancer.
type Option func(*Balancer)

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(b *Balancer) { b.source = rand.New(rand.NewPCG(seed, ^seed)) }
}

// NewBalancer returns a load balancer that uses policy.
func NewBalancer(policy Policy, opts ...Option) *Balancer {
	b := &Balancer{
		policy:    policy,
		source:    rand.New(rand.NewPCG(0, 0)),
		states:    map[types.InstanceID]*UpstreamState{},
		durations: stat.NewDurations(),
		sizes:     stat.NewSizes(),
		costs:     cost.NewEstimator(),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// TypicalDuration returns the typical duration of an attempt on a route, or
// defaultDuration if none was observed.
func (b *Balancer) TypicalDuration(route types.RouteName) time.Duration {
	if typical, ok := b.durations.Typical(route); ok {
		return typical
	}
	return defaultDuration
}

// Cost returns what a request on a route is likely to cost, or false if too little is
// known.
func (b *Balancer) Cost(route types.RouteName, features cost.Features) (cost.Estimate, bool) {
	return b.costs.Estimate(route, features)
}

// Len returns the number of upstreams with stored observations.
func (b *Balancer) Len() int { return len(b.states) }

// Pick returns the candidate that an attempt on a route goes to, or false if there
// are no candidates.
func (b *Balancer) Pick(route types.RouteName, candidates []Candidate, now time.Time) (Candidate, bool) {
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
func (b *Balancer) fillRatings(route types.RouteName, candidates []Candidate, now time.Time) {
	typical, size := b.TypicalDuration(route), b.sizes.Mean(route)
	b.ratings = b.ratings[:0]
	for _, candidate := range candidates {
		state := b.state(candidate.ID)
		b.ratings = append(b.ratings, Rating{
			State:            state,
			Candidate:        candidate,
			TypicalDuration:  typical,
			AnswerSize:       size,
			Slowness:         state.slowness(b.TypicalDuration, now),
			ExcessFaultShare: state.faultShare(now),
			Now:              now,
		})
	}
	subtractMedians(b.ratings)
	believe(b.ratings)
	if b.policy.Eject {
		eject(b.ratings)
	}
}

// choose returns the index of the candidate that the policy prefers among
// those that are not ejected.
func (b *Balancer) choose() int {
	b.scores = b.scores[:0]
	for i := range b.ratings {
		b.scores = append(b.scores, b.policy.score(&b.ratings[i]))
	}
	if b.policy.PreferNear {
		keepNear(b.ratings, b.scores)
	}
	return b.policy.Choose(b.scores, b.source)
}

// KnownFull reports whether a candidate has no free slot or is at its rate limit, as far as a recent report of
// its owner node and the attempts since then tell.
func (b *Balancer) KnownFull(candidate Candidate, now time.Time) bool {
	state, ok := b.states[candidate.ID]
	if !ok || now.Sub(state.LoadReportedAt) >= fullReportAge {
		return false
	}
	return state.ahead(now) >= max(candidate.Slots, 1) || state.rateWait(now) > 0
}

// LoadKnown records the load of an upstream at the time now, as an answer's report does.
func (b *Balancer) LoadKnown(id types.InstanceID, load Load, now time.Time) {
	state := b.state(id)
	state.Load, state.LoadReportedAt, state.outstandingAtReport = load, now, state.Outstanding
	state.UpdatedAt = now
}

// AttemptStarted records that an attempt was sent to an upstream.
func (b *Balancer) AttemptStarted(target Candidate, now time.Time) {
	state := b.state(target.ID)
	state.Outstanding++
	state.Picked++
	state.UpdatedAt = now
	state.pending = append(state.pending, pendingAttempt{route: target.Route, start: now})
}

// AttemptEnded records the outcome of an attempt.
func (b *Balancer) AttemptEnded(sample Sample, now time.Time) {
	state := b.state(sample.ID)
	began, known := state.removePending(sample, now)
	state.Outstanding = len(state.pending)
	if sample.hasLoad() {
		state.Load, state.LoadReportedAt, state.outstandingAtReport = sample.Load, now, state.Outstanding
	}
	switch {
	case sample.Refused:
		state.UpdatedAt = now
	case sample.Canceled:
		if known {
			state.observeCanceled(now.Sub(began), b.TypicalDuration(sample.Route), now)
		}
	case sample.Failed:
		state.observeFailure(sample.Elapsed, now)
	default:
		b.durations.Observe(sample.Route, sample.Elapsed, now)
		b.sizes.Observe(sample.Route, sample.Size)
		b.observeCost(state, sample, now)
		state.observe(b.usualElapsed(sample), b.TypicalDuration(sample.Route), now)
	}
}

// hasLoad reports whether the sample carries a load that the owner node
// reported. An answer always carries one, even if it is zero. With any other
// outcome, a zero load means that the owner node reported none.
func (s Sample) hasLoad() bool {
	return s.Load != Load{} || !s.Refused && !s.Failed && !s.Canceled
}

// state returns the observations of an upstream and creates them if needed.
func (b *Balancer) state(id types.InstanceID) *UpstreamState {
	state, ok := b.states[id]
	if !ok {
		state = &UpstreamState{}
		b.states[id] = state
	}
	return state
}

// sweep deletes the observations of the upstreams that had no attempt for longer
// than stateExpiry. It runs at most once per sweepInterval.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepInterval {
		return
	}
	b.swept = now
	for id, state := range b.states {
		if len(state.pending) == 0 && now.Sub(state.UpdatedAt) > stateExpiry {
			delete(b.states, id)
		}
	}
}
