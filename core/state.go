package core

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// State is all that one node knows. It is not safe for concurrent use.
type State struct {
	fleet    *fleet.Table
	conf     *conf.Holder
	routes   route.Table
	balance  *route.Balance
	gate     *admit.Gate
	calls    *flow.Table
	keys     keys
	upstream local
	openings openings
	// candidates is reused by each choice of an upstream.
	candidates []route.Candidate
	splits     *route.Splits
	ages       *flow.Ages
	policies   Policies
	lastTick   time.Time
	// current is the version of the platform's root when it was last read.
	current  types.Version
	watching bool
	stop     stop
}

type settings struct {
	seed     uint64
	policies Policies
	gate     []admit.Option
	linger   time.Duration
	limits   flow.KeyLimits
	ledger   []flow.LedgerOption
	calls    []flow.Option
	fleet    []fleet.Option
}

// Option changes a setting of a state.
type Option func(*settings)

// WithSeed sets the seed of the random numbers.
func WithSeed(seed uint64) Option {
	return func(se *settings) { se.seed = seed }
}

// WithPolicies selects among the alternatives of each decision.
func WithPolicies(policies Policies) Option {
	return func(se *settings) { se.policies = policies }
}

// WithGate sets options of the gate of the local upstream.
func WithGate(opts ...admit.Option) Option {
	return func(se *settings) { se.gate = opts }
}

// WithLinger sets how long a stopping node goes on refusing work after it has
// announced that it leaves, so that the news is everywhere before it is gone.
func WithLinger(linger time.Duration) Option {
	return func(se *settings) { se.linger = linger }
}

// WithKeys sets the limits of idempotency keys and options of the ledger.
func WithKeys(limits flow.KeyLimits, opts ...flow.LedgerOption) Option {
	return func(se *settings) { se.limits, se.ledger = limits, opts }
}

// WithCalls sets options of the calls in flight.
func WithCalls(opts ...flow.Option) Option {
	return func(se *settings) { se.calls = opts }
}

// WithFleet sets options of the membership.
func WithFleet(opts ...fleet.Option) Option {
	return func(se *settings) { se.fleet = opts }
}

// New returns the state of a node that has just started.
func New(self fleet.Member, opts ...Option) *State {
	se := settings{policies: DefaultPolicies(), limits: flow.DefaultKeyLimits()}
	for _, opt := range opts {
		opt(&se)
	}
	st := &State{
		fleet:    fleet.NewTable(self, rand.New(rand.NewPCG(se.seed, se.seed)), se.fleet...),
		conf:     conf.NewHolder(),
		balance:  route.NewBalance(se.policies.balance(), route.WithSeed(se.seed)),
		gate:     admit.NewGate(se.gateOptions()...),
		keys:     newKeys(se.limits, se.ledger),
		splits:   route.NewSplits(se.seed),
		ages:     flow.NewAges(),
		policies: se.policies,
		stop:     stop{linger: se.linger},
	}
	seams := flow.Seams{
		Pick: st.pick, Next: st.nextOwner, Began: st.balance.Began, Ended: st.balance.Ended,
		Nodes:  func() int { return st.fleet.Live() + 1 },
		Failed: st.callFailed,
	}
	st.calls = flow.NewTable(seams, append([]flow.Option{flow.WithHedge(se.policies.Hedge)}, se.calls...)...)
	return st
}

// Fleet returns the membership for reading.
func (st *State) Fleet() *fleet.Table { return st.fleet }

// Conf returns the configuration in force for reading.
func (st *State) Conf() *conf.Holder { return st.conf }

// Load returns what the node reports of its upstream.
func (st *State) Load(now time.Time) route.Load {
	return route.Load{Outstanding: st.gate.Running(), Queued: st.gate.Queued(), Faults: st.upstream.faults.Now(now)}
}

// Ready reports whether the node may serve callers. It is not ready before
// it can know the keys that callers mint.
func (st *State) Ready() bool {
	return st.conf.Ready() && st.joined() && st.keys.settled && !st.stop.asked
}

// Step applies one event and returns its effects in order.
func (st *State) Step(event types.Event, now time.Time) []types.Effect {
	effects := st.noticePause(event, now)
	st.watchKeys()
	effects = st.settleKeys(append(effects, st.apply(event, now)...))
	st.trackKeys(event, now)
	return append(effects, st.checkDrained(now)...)
}

func (st *State) apply(event types.Event, now time.Time) []types.Effect {
	switch ev := event.(type) {
	case Tick:
		return st.tick(now)
	case UpstreamAnnounced:
		return st.announced(ev.Announcement, now)
	case StopAsked:
		return st.stopAsked(now)
	case BudgetChanged:
		st.calls.SetBudget(ev.Budget)
		return nil
	case conf.Offered:
		return st.offered(ev, now)
	case types.TimerFired:
		return st.fired(ev.Timer, now)
	case fleet.SeedsFound:
		st.fleet.AddSeeds(ev)
		return nil
	case RootRead:
		return st.rootRead(ev)
	case fleet.ExchangeReceived, fleet.ExchangeAnswered, fleet.ExchangeFailed, fleet.ProbeEnded, fleet.PullEnded:
		return st.exchanged(event, now)
	default:
		return st.applyCall(event, now)
	}
}

// applyCall applies the events of calls and works.
func (st *State) applyCall(event types.Event, now time.Time) []types.Effect {
	switch ev := event.(type) {
	case flow.CallArrived:
		return st.callArrived(ev, now)
	case flow.AttemptEnded:
		return st.calls.Ended(ev, now)
	case flow.CallCanceled:
		return st.calls.Cancel(ev.Call, now)
	case admit.Arrived:
		return st.workArrived(ev.Work, now)
	case admit.Ended:
		return st.workEnded(ev, now)
	case admit.Canceled:
		return st.workCanceled(ev.ID, now)
	default:
		return nil
	}
}

func (st *State) tick(now time.Time) []types.Effect {
	st.lastTick = now
	effects := st.fleet.Tick(now)
	effects = append(effects, st.fleetEvents(effects, now)...)
	effects = append(effects, st.refreshUpstream(now)...)
	effects = append(effects, st.keys.ledger.Sweep(now)...)
	return append(effects, st.electDelegate()...)
}

func (st *State) fired(timer types.Timer, now time.Time) []types.Effect {
	switch timer.Kind {
	case types.CallDeadline:
		return st.calls.Expire(timer.Call, now)
	case types.CallHedge:
		return st.calls.Hedge(timer.Call, now)
	case types.QueueDeadline:
		return st.gate.Expire(timer.Work, now)
	default:
		return nil
	}
}

func (st *State) offered(offer conf.Offered, now time.Time) []types.Effect {
	effects := st.conf.Offer(offer, now)
	var events []types.Effect
	for _, effect := range effects {
		switch ef := effect.(type) {
		case conf.Adopted:
			st.routes = route.NewTable(ef.Snapshot)
			st.calls.Keep(ef.Snapshot)
			st.splits.Keep(ef.Snapshot)
			st.fleet.Hold(ef.Snapshot.Version(), ef.Snapshot.Digest())
			events = append(events, trace.Event{Kind: trace.ConfigAdopted, Version: ef.Snapshot.Version()})
			events = append(events, st.refreshUpstream(now)...)
		case conf.Refused:
			events = append(events, trace.Event{Kind: trace.ConfigRefused, Version: ef.Version, Detail: ef.Err.Error()})
		}
	}
	return append(effects, events...)
}

func (st *State) exchanged(event types.Event, now time.Time) []types.Effect {
	var effects []types.Effect
	switch ev := event.(type) {
	case fleet.ExchangeReceived:
		effects = st.fleet.Received(ev, now)
	case fleet.ExchangeAnswered:
		effects = st.fleet.Answered(ev, now)
	case fleet.ExchangeFailed:
		effects = st.fleet.Failed(ev, now)
	case fleet.ProbeEnded:
		effects = st.fleet.Probed(ev, now)
	case fleet.PullEnded:
		effects = st.fleet.Pulled(ev, now)
	}
	st.conf.RaiseFloor(st.fleet.Self().Held)
	return append(effects, st.fleetEvents(effects, now)...)
}

func (st *State) electDelegate() []types.Effect {
	delegate := st.fleet.Joined() && st.fleet.IsDelegate() || st.policies.Spread == SpreadWatch && !st.stop.asked
	if delegate == st.watching {
		return nil
	}
	st.watching = delegate
	detail := "ended"
	if delegate {
		detail = "began"
	}
	return []types.Effect{
		WatchPlatform{On: delegate},
		trace.Event{Kind: trace.DelegateChanged, Subject: st.fleet.Self().ID, Detail: detail},
	}
}
