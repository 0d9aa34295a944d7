package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/cost"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// defaultUpstreams is the maximum number of upstreams that a call is sent to
	// if the call's route sets no maximum.
	defaultUpstreams = 4
	// maxEndedUpstreams is the number of upstreams that may end during the attempts
	// at a call before it gets no further attempt.
	maxEndedUpstreams = 2
	// maxAttempts bounds the attempts of a call, including those that an owner
	// node refused.
	maxAttempts = 6
	// defaultRetryAfter is the retry-after time of an error that sets none.
	defaultRetryAfter = 200 * time.Millisecond
)

// Call is a caller's request.
type Call struct {
	ID      types.CallID
	Request types.RequestID
	Key     types.Option[types.Key]
	// Minted is when the idempotency key was generated, if the call has one.
	Minted time.Time
	// Content identifies the request when it comes again.
	Content types.ContentHash
	// Features are the classes of the request by which its cost is learned. CostFactor is
	// what it is likely to cost in relation to the usual request on its route, or 0 if
	// that is not known.
	Features   cost.Features
	CostFactor float64
	// Team is the team of the request, or empty if there is none. HideCredential is true
	// if the caller's key must not be passed on.
	Team           types.TeamName
	HideCredential bool
	Route          conf.Route
	Deadline       time.Time
	// SoftDeadline is the time after which the answer is of less use. It is zero
	// if the route has none.
	SoftDeadline time.Time
	// FirstSent is when the caller first sent this request. CallerDeadline is
	// when the caller stops waiting, or zero if the caller sent no time limit.
	FirstSent, CallerDeadline time.Time
}

// Keyed reports whether the call is non-idempotent and has an idempotency key, so
// that it runs at most once.
func (c Call) Keyed() bool { return !c.Route.Idempotent && c.Key.IsSome() }

// OwnerChoice is the owner node that a call with an idempotency key is sent to
// next.
type OwnerChoice struct {
	Target route.Candidate
	// LastOwner is true if there is no other owner node to ask after this one.
	LastOwner bool
}

// Hooks holds the functions with which a Table chooses upstreams and reports what
// became of attempts and calls.
type Hooks struct {
	// Pick chooses the upstream of the next attempt among those not in tried.
	Pick func(call Call, tried types.Set[types.InstanceID], now time.Time) (route.Candidate, bool)
	// NextOwner chooses the owner node that a call with an idempotency key is
	// sent to, among those not in declinedBy, which will never run the key. The
	// error says why no owner may be asked.
	NextOwner func(call Call, declinedBy types.Set[types.InstanceID], now time.Time) (OwnerChoice, *fault.Error)
	// AttemptStarted and AttemptEnded report the start and the end of an
	// attempt to the load balancer.
	AttemptStarted func(target route.Candidate, now time.Time)
	// NodeCount returns the number of nodes that share the retry budgets. If it is
	// nil, this node has the budgets to itself.
	NodeCount    func() int
	AttemptEnded func(sample route.Sample, now time.Time)
	// CallFailed reports a call that its caller may retry: the call failed, was
	// canceled or was answered with a server error. CallFailed may be nil.
	CallFailed func(call Call, now time.Time)
	// CallNotRun reports a call that failed and whose work neither ran nor will run.
	// CallNotRun may be nil.
	CallNotRun func(call Call, now time.Time)
}

// Table holds the calls in flight at one entry node.
type Table struct {
	hooks          Hooks
	hedge          bool
	budget         RetryBudget
	calls          map[types.CallID]*callState
	serviceBudgets map[types.ServiceName]*serviceBudget
	histograms     map[types.RouteName]*histogram
}

// callState is the state of a call in flight.
type callState struct {
	call Call
	// began is when the call was begun.
	began time.Time
	// tried holds the upstreams that an attempt was sent to.
	tried types.Set[types.InstanceID]
	// refused holds the upstreams in tried that did not run the work.
	refused types.Set[types.InstanceID]
	// inFlight holds the attempts in flight by their number, from 1.
	inFlight map[int]attempt
	// attempts counts the attempts that were started.
	attempts int
	// reached counts the failed attempts that reached an upstream or may have
	// reached one.
	reached int
	// endedUpstreams counts the upstreams that ended during an attempt.
	endedUpstreams int
	// lastTarget is the owner node of the most recent attempt.
	lastTarget types.InstanceID
	// lost is true if an attempt ended as Lost, so that its work may have run.
	lost bool
	// keyDeclined is true if an owner node reported that it had declined the key
	// before this call, so that another owner node may already have run the key.
	keyDeclined bool
	// lastErr is the error of the most recent failed attempt.
	lastErr *fault.Error
	// minRetryAfter is the shortest retry-after time of the failed attempts, or 0.
	minRetryAfter time.Duration
}

// attempt is an attempt in flight.
type attempt struct {
	target  route.Candidate
	started time.Time
}

// Option configures a Table.
type Option func(*Table)

// WithHedge sets whether calls are hedged on the routes that allow hedging.
func WithHedge(allowed bool) Option {
	return func(tb *Table) { tb.hedge = allowed }
}

// WithRetryBudget sets the retry budget that all nodes together have for each
// service.
func WithRetryBudget(budget RetryBudget) Option {
	return func(tb *Table) { tb.budget = budget }
}

// NewTable returns a Table without calls.
func NewTable(hooks Hooks, opts ...Option) *Table {
	tb := &Table{
		hooks:          hooks,
		budget:         DefaultRetryBudget(),
		calls:          map[types.CallID]*callState{},
		serviceBudgets: map[types.ServiceName]*serviceBudget{},
		histograms:     map[types.RouteName]*histogram{},
	}
	for _, opt := range opts {
		opt(tb)
	}
	return tb
}

// SetRetryBudget changes the retry budget. If the window length changes, the
// request, retry and hedge counts of all services start again from zero.
func (tb *Table) SetRetryBudget(budget RetryBudget) {
	if budget.Window != tb.budget.Window {
		tb.serviceBudgets = map[types.ServiceName]*serviceBudget{}
	}
	tb.budget = budget
}

// Len returns the number of calls in flight.
func (tb *Table) Len() int { return len(tb.calls) }

// Prune deletes the request counts of services and the duration histograms of
// routes that are not in the snapshot.
func (tb *Table) Prune(snapshot conf.Snapshot) {
	services, routes := map[types.ServiceName]bool{}, map[types.RouteName]bool{}
	for _, configured := range snapshot.Routes() {
		routes[configured.Name] = true
		for _, service := range configured.Services() {
			services[service] = true
		}
	}
	for name := range tb.serviceBudgets {
		if !services[name] {
			delete(tb.serviceBudgets, name)
		}
	}
	for name := range tb.histograms {
		if !routes[name] {
			delete(tb.histograms, name)
		}
	}
}

// Begin starts the first attempt of a call and sets its timers.
func (tb *Table) Begin(call Call, now time.Time) []types.Effect {
	tb.serviceBudget(call.Route.Service).addRequest(call.Team, now)
	cs := &callState{call: call, began: now, inFlight: map[int]attempt{}}
	tb.calls[call.ID] = cs
	effects := tb.startNext(cs, now)
	if _, ok := tb.calls[call.ID]; !ok {
		return effects
	}
	effects = append(effects, types.SetTimer{Timer: types.Timer{Kind: types.CallDeadline, Call: call.ID}, At: call.Deadline})
	return append(effects, tb.planHedge(call, now)...)
}

// HandleAttemptEnded delivers the answer of an attempt, or starts the next
// attempt, or fails the call. If an attempt failed with an error that does not
// end the call, HandleAttemptEnded starts the next attempt only when no other
// attempt is in flight.
func (tb *Table) HandleAttemptEnded(event AttemptEnded, now time.Time) []types.Effect {
	cs, ok := tb.calls[event.Call]
	if !ok {
		return nil
	}
	ended, ok := cs.inFlight[event.Attempt]
	if !ok {
		return nil
	}
	if event.Err == nil && event.Verdict != Answered {
		event.Err = fault.New(fault.Internal, "the attempt ended without a reason")
	}
	delete(cs.inFlight, event.Attempt)
	tb.hooks.AttemptEnded(sampleOf(cs.call, ended.target, event), now)
	if event.Verdict == Answered {
		tb.histogram(cs.call.Route.Name).observe(event.Elapsed)
		if event.ServerFault {
			tb.reportFailed(cs, now)
		}
		return tb.deliver(cs, event.Attempt, now)
	}
	tb.recordError(cs, ended.target.ID, event, now)
	if err := cs.decisiveError(event); err != nil {
		return tb.fail(cs, err, now)
	}
	if len(cs.inFlight) > 0 {
		return nil
	}
	return tb.retry(cs, ended.target.ID, event, now)
}

// recordError updates the state of a call with the error of an attempt.
func (tb *Table) recordError(cs *callState, target types.InstanceID, event AttemptEnded, now time.Time) {
	cs.lastErr = event.Err
	if event.RefusedByUpstream || event.Verdict == Lost {
		cs.reached++
	}
	if event.UpstreamEnded {
		cs.endedUpstreams++
	}
	if event.Verdict == Lost {
		cs.lost = true
	} else {
		cs.refused = cs.refused.With(target)
	}
	if event.Verdict == NotRun && event.Err.Kind == fault.Overloaded {
		tb.serviceBudget(cs.call.Route.Service).lastOverload = now
	}
	if event.KeyDeclined && event.Err.Outcome == fault.Unknown {
		cs.keyDeclined = true
	}
	if wait := event.Err.RetryAfter; wait > 0 && (cs.minRetryAfter == 0 || wait < cs.minRetryAfter) {
		cs.minRetryAfter = wait
	}
}

// decisiveError returns the error that ends the call after an attempt, or nil if
// another attempt may follow.
func (cs *callState) decisiveError(event AttemptEnded) *fault.Error {
	switch {
	case !cs.call.Route.Idempotent && event.Verdict == Lost:
		return outcomeUnknown(event.Err)
	case cs.call.Keyed() && event.Verdict == Unsent:
		return fault.New(fault.OutcomeUnknown, "the owner of the key was not reached: %s", event.Err.Message)
	case cs.call.Keyed() && !event.KeyDeclined:
		return cs.finalError()
	case event.Verdict == NotRun && !fault.StatusOf(event.Err.Kind).Retryable:
		return cs.finalError()
	default:
		return nil
	}
}

// retry starts another attempt if the deadline, the maximum number of upstreams
// and the retry budget allow it, and fails the call otherwise. A retry uses up
// budget only if an earlier attempt reached an upstream or may have reached one.
func (tb *Table) retry(cs *callState, refuser types.InstanceID, event AttemptEnded, now time.Time) []types.Effect {
	if event.Verdict == Lost && !now.Before(cs.call.Deadline) {
		return tb.Expire(cs.call.ID, now)
	}
	typical, _ := tb.histogram(cs.call.Route.Name).quantile(medianQuantile)
	if !now.Add(typical).Before(cs.call.Deadline) {
		return tb.fail(cs, cs.finalError(), now)
	}
	if cs.reached >= cs.maxUpstreams() || cs.endedUpstreams >= maxEndedUpstreams {
		return tb.fail(cs, cs.finalError(), now)
	}
	if cs.reached > 0 && !tb.serviceBudget(cs.call.Route.Service).takeRepeat(cs.call.Team, tb.nodeBudget(), now) {
		denied := trace.Event{Kind: trace.RetryDenied, Request: cs.call.Request, Subject: refuser, Detail: tb.usedUp(cs.call, now)}
		effects := []types.Effect{trace.Count{Counter: trace.RetriesDenied}, denied}
		return append(effects, tb.fail(cs, cs.finalError(), now)...)
	}
	attempts := cs.attempts
	effects := tb.startNext(cs, now)
	if cs.attempts == attempts {
		return effects
	}
	retried := trace.Event{Kind: trace.CallRetried, Request: cs.call.Request, Subject: refuser, Detail: event.Verdict.String() + ": " + event.Err.Error()}
	return append(effects, trace.Count{Counter: trace.AttemptsRetried}, retried)
}

// usedUp says whose retry budget denies a call another attempt.
func (tb *Table) usedUp(call Call, now time.Time) string {
	detail := "the budget of service " + string(call.Route.Service) + " is used up"
	if !tb.serviceBudget(call.Route.Service).allowsTeam(call.Team, tb.nodeBudget(), now) {
		detail = "team " + string(call.Team) + " has used its part of the budget of service " + string(call.Route.Service)
	}
	return detail
}

// maxUpstreams returns how many upstreams the call may be sent to.
func (cs *callState) maxUpstreams() int {
	if limit := cs.call.Route.MaxAttempts; limit > 0 {
		return limit
	}
	return defaultUpstreams
}

// nodeBudget returns this node's part of the retry budget.
func (tb *Table) nodeBudget() RetryBudget {
	nodes := 1
	if tb.hooks.NodeCount != nil {
		nodes = max(1, tb.hooks.NodeCount())
	}
	return tb.budget.perNode(nodes)
}

// Cancel ends a call whose caller canceled it or disconnected.
func (tb *Table) Cancel(id types.CallID, now time.Time) []types.Effect {
	cs, ok := tb.calls[id]
	if !ok {
		return nil
	}
	tb.reportFailed(cs, now)
	effects := []types.Effect{trace.Count{Counter: trace.CallsCanceled}}
	return append(effects, tb.finish(cs, now)...)
}

// Expire fails a call whose deadline has passed.
func (tb *Table) Expire(id types.CallID, now time.Time) []types.Effect {
	cs, ok := tb.calls[id]
	if !ok {
		return nil
	}
	err := fault.New(fault.DeadlineExceeded, "the deadline came before an answer").WithRetryAfter(defaultRetryAfter)
	if len(cs.inFlight) > 0 || cs.lost {
		err = err.WithOutcome(fault.Unknown)
		if !cs.call.Route.Idempotent {
			err = outcomeUnknown(err)
		}
	}
	return tb.fail(cs, err, now)
}

// startNext starts the next attempt of a call, or fails the call if there is no
// upstream left. After a lost attempt it falls back to upstreams that were tried
// before but did not refuse.
func (tb *Table) startNext(cs *callState, now time.Time) []types.Effect {
	if cs.attempts >= maxAttempts {
		return tb.fail(cs, cs.finalError(), now)
	}
	if cs.call.Keyed() {
		return tb.startNextOwner(cs, now)
	}
	target, ok := tb.hooks.Pick(cs.call, cs.tried, now)
	if !ok && cs.lost {
		target, ok = tb.hooks.Pick(cs.call, cs.refused, now)
	}
	if !ok {
		return tb.fail(cs, cs.finalError(), now)
	}
	return tb.startAttempt(cs, OwnerChoice{Target: target}, now)
}

// startNextOwner starts the next attempt of a call with an idempotency key. The
// owner nodes are asked in an order that the key determines.
func (tb *Table) startNextOwner(cs *callState, now time.Time) []types.Effect {
	choice, err := tb.hooks.NextOwner(cs.call, cs.tried, now)
	if err != nil {
		return tb.fail(cs, err, now)
	}
	if choice.Target.ID == "" {
		return tb.fail(cs, cs.finalError(), now)
	}
	choice.LastOwner = choice.LastOwner || cs.attempts+1 == maxAttempts
	return tb.startAttempt(cs, choice, now)
}

func (tb *Table) startAttempt(cs *callState, choice OwnerChoice, now time.Time) []types.Effect {
	target := choice.Target
	declinedBy := cs.tried
	cs.attempts++
	cs.tried = cs.tried.With(target.ID)
	cs.lastTarget = target.ID
	cs.inFlight[cs.attempts] = attempt{target: target, started: now}
	tb.hooks.AttemptStarted(target, now)
	return []types.Effect{
		trace.Count{Counter: trace.AttemptsStarted},
		StartAttempt{
			Call:           cs.call.ID,
			Attempt:        cs.attempts,
			Request:        cs.call.Request,
			Target:         target,
			Route:          cs.call.Route,
			Key:            cs.call.Key,
			Content:        cs.call.Content,
			Team:           cs.call.Team,
			HideCredential: cs.call.HideCredential,
			Deadline:       cs.call.Deadline,
			SoftDeadline:   cs.call.SoftDeadline,
			LastOwner:      choice.LastOwner,
			KeyDeclinedBy:  declinedBy,
		},
	}
}

func (tb *Table) serviceBudget(service types.ServiceName) *serviceBudget {
	sb, ok := tb.serviceBudgets[service]
	if !ok {
		sb = newServiceBudget(tb.budget.Window)
		tb.serviceBudgets[service] = sb
	}
	return sb
}

func (tb *Table) histogram(name types.RouteName) *histogram {
	hg, ok := tb.histograms[name]
	if !ok {
		hg = &histogram{}
		tb.histograms[name] = hg
	}
	return hg
}
