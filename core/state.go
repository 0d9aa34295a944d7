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
	upstream local
	policies Policies
	watching bool
	stopping bool
	drained  bool
}

type settings struct {
	seed     uint64
	policies Policies
	gate     []admit.Option
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

// New returns the state of a node that has just started.
func New(self fleet.Member, opts ...Option) *State {
	se := settings{policies: DefaultPolicies()}
	for _, opt := range opts {
		opt(&se)
	}
	st := &State{
		fleet:    fleet.NewTable(self, rand.New(rand.NewPCG(se.seed, se.seed))),
		conf:     conf.NewHolder(),
		balance:  route.NewBalance(se.policies.balance(), route.WithSeed(se.seed)),
		gate:     admit.NewGate(se.gateOptions()...),
		policies: se.policies,
	}
	st.calls = flow.NewTable(flow.Seams{Pick: st.pick, Began: st.balance.Began, Ended: st.balance.Ended})
	return st
}

// Fleet returns the membership for reading.
func (st *State) Fleet() *fleet.Table { return st.fleet }

// Conf returns the configuration in force for reading.
func (st *State) Conf() *conf.Holder { return st.conf }

// Load returns what the node reports of its upstream.
func (st *State) Load() route.Load {
	return route.Load{Outstanding: st.gate.Running(), Queued: st.gate.Queued()}
}

// Ready reports whether the node may serve callers.
func (st *State) Ready() bool { return st.conf.Ready() && !st.stopping }

// Step applies one event and returns its effects in order.
func (st *State) Step(event types.Event, now time.Time) []types.Effect {
	effects := st.apply(event, now)
	return append(effects, st.checkDrained()...)
}

func (st *State) apply(event types.Event, now time.Time) []types.Effect {
	switch ev := event.(type) {
	case Tick:
		return st.tick(now)
	case UpstreamAnnounced:
		return st.announced(ev.Announcement, now)
	case StopAsked:
		return st.stop()
	case conf.Offered:
		return st.offered(ev, now)
	case types.TimerFired:
		return st.fired(ev.Timer, now)
	case fleet.SeedsFound:
		st.fleet.AddSeeds(ev)
		return nil
	case fleet.ExchangeReceived, fleet.ExchangeAnswered, fleet.ExchangeFailed:
		return st.exchanged(event, now)
	case flow.CallArrived:
		return st.callArrived(ev, now)
	case flow.AttemptEnded:
		return st.calls.Ended(ev, now)
	case flow.CallCanceled:
		return st.calls.Cancel(ev.Call, now)
	case admit.Arrived:
		return st.workArrived(ev.Work, now)
	case admit.Ended:
		return st.gate.End(ev.ID, ev.Elapsed, now)
	case admit.Canceled:
		return st.gate.Withdraw(ev.ID, now)
	default:
		return nil
	}
}

func (st *State) tick(now time.Time) []types.Effect {
	effects := st.fleet.Tick(now)
	effects = append(effects, st.refreshUpstream(now)...)
	return append(effects, st.electDelegate()...)
}

func (st *State) fired(timer types.Timer, now time.Time) []types.Effect {
	switch timer.Kind {
	case types.CallDeadline:
		return st.calls.Expire(timer.Call, now)
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
	}
	st.conf.RaiseFloor(st.fleet.Self().Held)
	return append(effects, memberEvents(effects)...)
}

func memberEvents(effects []types.Effect) []types.Effect {
	var events []types.Effect
	for _, effect := range effects {
		if changed, ok := effect.(fleet.StatusChanged); ok {
			detail := changed.Member.Status.String()
			if changed.Member.Leaving && changed.Member.Status == fleet.Alive {
				detail = "leaving"
			}
			events = append(events, trace.Event{Kind: trace.MemberChanged, Subject: changed.Member.ID, Detail: detail})
		}
	}
	return events
}

func (st *State) electDelegate() []types.Effect {
	delegate := st.fleet.IsDelegate() || st.policies.Spread == SpreadWatch && !st.stopping
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

func (st *State) stop() []types.Effect {
	if st.stopping {
		return nil
	}
	st.stopping = true
	st.fleet.Leave()
	effects := []types.Effect{trace.Event{Kind: trace.NodeStopping, Subject: st.fleet.Self().ID}}
	return append(effects, st.electDelegate()...)
}

func (st *State) checkDrained() []types.Effect {
	if !st.stopping || st.drained || st.calls.Len() > 0 || st.gate.Running() > 0 || st.gate.Queued() > 0 {
		return nil
	}
	st.drained = true
	st.fleet.Depart()
	return append(st.fleet.Push(), Drained{})
}
