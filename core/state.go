package core

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// State is the state machine of one node. It is not safe for concurrent use.
type State struct {
	fleet     *fleet.Table
	config    *conf.ActiveConfig
	routes    route.Table
	balancer  *route.Balancer
	admission *admit.Controller
	calls     *flow.Table
	keys      keyState
	upstream  localUpstream
	record    recordGate
	// announcementPeriod is the time between two announcements of the upstream's process.
	announcementPeriod time.Duration
	poller             rootPoller
	ahead              aheadCheck
	rules              ruleCache
	// candidates is a buffer that pick reuses to avoid allocations.
	candidates    []route.Candidate
	splitter      *route.Splitter
	callerRetries *flow.RetryTracker
	policies      Policies
	// ticked is true after the first tick.
	ticked bool
	// lastEvent is when the last event was handled.
	lastEvent time.Time
	pause     pause
	// rootVersion is the version of the platform's configuration root when it was
	// last read.
	rootVersion types.Version
	// watch is how the node watches the platform's root.
	watch    WatchPlatform
	stop     stopProgress
	lost     lostRuns
	blame    *blame.Ledger
	limits   limitState
	rollouts rollouts
}

type settings struct {
	seed      uint64
	policies  Policies
	admission []admit.Option
	linger    time.Duration
	stopLimit time.Duration
	limits    flow.KeyLimits
	ledger    []flow.LedgerOption
	calls     []flow.Option
	fleet     []fleet.Option
	quota     quota.Bound

	recordReadLimit    time.Duration
	announcementPeriod time.Duration
	pollInterval       time.Duration
	exposure           types.Option[canary.Bound]
}

// Option changes a setting of a State.
type Option func(*settings)

// WithSeed sets the seed of all random numbers that the node draws.
func WithSeed(seed uint64) Option {
	return func(se *settings) { se.seed = seed }
}

// WithPolicies sets the algorithm of each decision that has alternatives.
func WithPolicies(policies Policies) Option {
	return func(se *settings) { se.policies = policies }
}

// WithAdmission sets options of the controller that admits work to the local
// upstream.
func WithAdmission(opts ...admit.Option) Option {
	return func(se *settings) { se.admission = opts }
}

// WithLinger sets the minimum time for which a stopping node keeps running after it
// has announced that it is leaving. During this time, the node refuses work for its
// upstream. The time must be long enough for all other nodes to learn of the
// announcement.
func WithLinger(linger time.Duration) Option {
	return func(se *settings) { se.linger = linger }
}

// WithStopLimit sets the maximum duration of a graceful stop. A stopping node takes no
// call whose deadline is later than that. The default is no limit.
func WithStopLimit(limit time.Duration) Option {
	return func(se *settings) { se.stopLimit = limit }
}

// WithKeys sets the limits on the age of idempotency keys, and the options of the
// ledger that records the keys.
func WithKeys(limits flow.KeyLimits, opts ...flow.LedgerOption) Option {
	return func(se *settings) { se.limits, se.ledger = limits, opts }
}

// WithCalls sets options of the table of calls in flight.
func WithCalls(opts ...flow.Option) Option {
	return func(se *settings) { se.calls = opts }
}

// WithFleet sets options of the membership table.
func WithFleet(opts ...fleet.Option) Option {
	return func(se *settings) { se.fleet = opts }
}

// New returns the state of a node that has just started.
func New(self fleet.Member, opts ...Option) *State {
	se := settings{policies: DefaultPolicies(), limits: flow.DefaultKeyLimits(), quota: quota.DefaultBound(), announcementPeriod: defaultAnnouncementPeriod}
	for _, opt := range opts {
		opt(&se)
	}
	st := &State{
		fleet:         fleet.NewTable(self, rand.New(rand.NewPCG(se.seed, se.seed)), se.fleet...),
		config:        conf.NewActiveConfig(),
		balancer:      route.NewBalancer(se.policies.balancePolicy(), route.WithSeed(se.seed)),
		admission:     admit.NewController(se.admissionOptions()...),
		keys:          newKeyState(se.limits, se.ledger),
		splitter:      route.NewSplitter(se.seed),
		callerRetries: flow.NewRetryTracker(),
		policies:      se.policies,
		blame:         blame.NewLedger(self.ID),
		stop:          stopProgress{linger: se.linger, limit: se.stopLimit},
		poller:        rootPoller{interval: se.pollInterval, rand: rand.New(rand.NewPCG(se.seed, ^se.seed))},
		limits:        limitState{bound: se.quota, seed: se.seed},
		rollouts:      newRollouts(self, se.exposure),
		record:        recordGate{limit: se.recordReadLimit, open: se.recordReadLimit == 0},

		announcementPeriod: se.announcementPeriod,
	}
	hooks := flow.Hooks{
		Pick: st.pick, NextOwner: st.nextOwner, AttemptStarted: st.balancer.AttemptStarted, AttemptEnded: st.balancer.AttemptEnded,
		NodeCount:  func() int { return st.fleet.LiveCount() + 1 },
		CallFailed: st.callFailed,
		CallNotRun: st.notRun,
	}
	st.calls = flow.NewTable(hooks, append([]flow.Option{flow.WithHedge(se.policies.Hedge)}, se.calls...)...)
	return st
}

// Fleet returns the membership table. The caller must not change it.
func (st *State) Fleet() *fleet.Table { return st.fleet }

// Config returns the configuration in force. The caller must not change it.
func (st *State) Config() *conf.ActiveConfig { return st.config }

// Load returns the load of the local upstream, as reported to other nodes.
func (st *State) Load(now time.Time) route.Load {
	left := st.admission.Left(now)
	return route.Load{
		Outstanding: st.admission.Running(), Queued: st.admission.Queued(),
		RateWait: st.admission.RateWait(now), FaultShare: st.upstream.faultShare.Value(now),
		Left: types.Some(route.WorkLeft{SlotWait: left.SlotWait, Drain: left.Drain}),
	}
}

// RateLimited reports whether the local upstream names a limit to the work that it takes
// per second.
func (st *State) RateLimited() bool { return st.admission.RateLimit() > 0 }

// Ready reports whether the node may serve callers. A node is ready if it holds a
// configuration, has joined the fleet, has been a member of the fleet for at least
// flow.KeyLimits.Margin, and has not been asked to stop. A newer member might not
// know which nodes owned upstreams when an idempotency key was minted, and could
// then send the call to the wrong owner node.
func (st *State) Ready() bool {
	return st.config.Ready() && st.joined() && st.keys.marginElapsed && !st.stop.requested
}

// Step applies one event and returns the resulting effects in the order in which
// to carry them out.
func (st *State) Step(event types.Event, now time.Time) []types.Effect {
	effects := st.detectPause(event, now)
	st.recordIncarnation()
	effects = st.recordKeyOutcomes(append(effects, st.apply(event, now)...))
	st.updateKeyCoverage(event, now)
	effects = append(effects, st.checkDrained(now)...)
	effects = st.addNews(st.addEvidence(effects, event, now), event, now)
	return st.addReports(effects, now)
}

func (st *State) apply(event types.Event, now time.Time) []types.Effect {
	switch ev := event.(type) {
	case Tick:
		st.limits.suspended += ev.Suspended
		return st.tick(now)
	case UpstreamAnnounced:
		return st.announced(ev.Announcement, now)
	case StopRequested:
		return st.stopRequested(now)
	case HoldLifted:
		return st.holdLifted(ev.Content, now)
	case RetryBudgetChanged:
		st.calls.SetRetryBudget(ev.RetryBudget)
		return nil
	case conf.VersionOffered:
		return st.offered(ev, now)
	case types.TimerFired:
		return st.fired(ev.Timer, now)
	case fleet.SeedsFound:
		st.limits.seedsFound(ev)
		return st.fleet.AddSeeds(ev)
	case RootRead:
		return st.rootRead(ev)
	case RecordRead:
		return st.recordRead(ev, now)
	case RootPolled, RootHedged, WatchFailed:
		return st.rootReadEnded(event, now)
	case RolloutRead:
		return st.rolloutRead(ev, now)
	case fleet.ExchangeReceived, fleet.ExchangeAnswered, fleet.ExchangeFailed, fleet.IndirectProbeEnded, fleet.PullEnded:
		return st.exchanged(event, now)
	default:
		return st.applyCall(event, now)
	}
}

// applyCall applies the events of calls at the entry node and of work items at
// the owner node.
func (st *State) applyCall(event types.Event, now time.Time) []types.Effect {
	switch ev := event.(type) {
	case flow.CallArrived:
		return st.callArrived(ev, now)
	case flow.AttemptEnded:
		return st.calls.HandleAttemptEnded(ev, now)
	case flow.CallCanceled:
		if effects, ok := st.cancelParked(ev.Call, now); ok {
			return effects
		}
		return st.calls.Cancel(ev.Call, now)
	case admit.Arrived:
		return st.workArrived(ev.Work, now)
	case admit.Ended:
		return st.workEnded(ev, now)
	case admit.Canceled:
		return st.workCanceled(ev.ID, now)
	default:
		return st.traded(event, now)
	}
}

func (st *State) tick(now time.Time) []types.Effect {
	st.ticked = true
	effects := append(st.tickRecord(now), st.fleet.Tick(now)...)
	effects = append(effects, st.blameChanged(st.blame.Tick(now), nil, now)...)
	effects = append(effects, st.timelineEvents(effects, now)...)
	effects = append(effects, st.refreshUpstream(now)...)
	effects = append(effects, st.tickRollouts(now)...)
	effects = append(effects, st.keys.ledger.Sweep(now)...)
	effects = append(effects, st.electWatch()...)
	effects = append(effects, st.tickLimits(now)...)
	effects = append(effects, st.spreadAhead(now)...)
	return append(effects, st.pollRoot(now)...)
}

func (st *State) fired(timer types.Timer, now time.Time) []types.Effect {
	switch timer.Kind {
	case types.CallDeadline:
		return st.calls.Expire(timer.Call, now)
	case types.CallHedge:
		return st.calls.Hedge(timer.Call, now)
	case types.QueueDeadline:
		return st.admission.Expire(timer.Work, now)
	case types.RateLimitReset:
		return st.admission.RateTimerFired(now)
	case types.UpstreamEndSettled:
		return st.upstreamEndSettled(now)
	default:
		return nil
	}
}

// offered hands an offered configuration to the ActiveConfig. If the ActiveConfig
// adopts the configuration, offered updates everything that depends on it.
func (st *State) offered(offer conf.VersionOffered, now time.Time) []types.Effect {
	effects := st.config.Offer(offer, now)
	adopted := false
	var events []types.Effect
	for _, effect := range effects {
		switch ef := effect.(type) {
		case conf.VersionAdopted:
			st.routes = route.NewTable(ef.Snapshot)
			st.calls.Prune(ef.Snapshot)
			st.splitter.Prune(ef.Snapshot)
			st.setLimits(ef.Snapshot, now)
			adopted = true
			ahead := offer.FromPlatform && offer.Reading == conf.ReadInPlace
			st.fleet.SetVersion(ef.Snapshot.Version(), ef.Snapshot.Digest(), ahead, now)
			events = append(events, trace.Event{Kind: trace.ConfigAdopted, Version: ef.Snapshot.Version(), Detail: offer.Origin()})
			events = append(events, st.refreshUpstream(now)...)
		case conf.VersionRefused:
			events = append(events, trace.Event{Kind: trace.ConfigRefused, Version: ef.Version, Detail: ef.Err.Error()})
		}
	}
	st.ahead.noteOffer(offer, adopted, st.config.Current().Version(), now)
	if offer.FromPlatform && offer.Reading == conf.ReadInPlace {
		events = append(events, st.readAnswered(now)...)
	}
	return append(effects, events...)
}

func (st *State) exchanged(event types.Event, now time.Time) []types.Effect {
	var effects []types.Effect
	switch ev := event.(type) {
	case fleet.ExchangeReceived:
		effects = st.fleet.HandleExchangeReceived(ev, now)
		effects = append(effects, st.newsReceived(ev.Message, now)...)
		effects = append(effects, st.evidenceReceived(ev.Message.Blame, now)...)
		effects = append(effects, st.reportsReceived(ev.Message.Rollouts, now)...)
	case fleet.ExchangeAnswered:
		effects = st.fleet.HandleExchangeAnswered(ev, now)
		effects = append(effects, st.newsReceived(ev.Message, now)...)
		effects = append(effects, st.evidenceReceived(ev.Message.Blame, now)...)
		effects = append(effects, st.reportsReceived(ev.Message.Rollouts, now)...)
	case fleet.ExchangeFailed:
		effects = st.fleet.HandleExchangeFailed(ev, now)
	case fleet.IndirectProbeEnded:
		effects = st.fleet.HandleIndirectProbeEnded(ev, now)
	case fleet.PullEnded:
		effects = append(st.fleet.HandlePullEnded(ev, now), pullEnded(ev))
	}
	st.config.RaiseFloor(st.fleet.Self().HeldVersion)
	return append(effects, st.timelineEvents(effects, now)...)
}
