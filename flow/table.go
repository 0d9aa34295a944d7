package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// defaultUpstreams is the number of upstreams that a call is sent to at
	// most if its route names none.
	defaultUpstreams = 4
	// maxAttempts bounds the attempts of a call, those that owners refused
	// included.
	maxAttempts       = 6
	defaultRetryAfter = 200 * time.Millisecond
)

// Call is one request of a caller.
type Call struct {
	ID      types.CallID
	Request types.RequestID
	Key     types.Option[types.Key]
	// Minted is when the key of a keyed call was made.
	Minted   time.Time
	Route    conf.Route
	Deadline time.Time
	// Aim is when the answer ceases to be of full use, or zero.
	Aim time.Time
	// First is when the caller asked first, and Until when it gives up, or zero
	// if it does not say.
	First, Until time.Time
}

// Keyed reports whether the call runs at most once under its key.
func (c Call) Keyed() bool { return !c.Route.Idempotent && c.Key.IsSome() }

// Choice is the owner that a keyed call goes to next.
type Choice struct {
	Target route.Candidate
	// Last states that no other owner would be asked after it.
	Last bool
}

// Seams are the decisions that a table takes from its surroundings.
type Seams struct {
	// Pick chooses the upstream of the next attempt, leaving out those tried.
	Pick func(call Call, tried types.Set[types.InstanceID], now time.Time) (route.Candidate, bool)
	// Next chooses the owner of a keyed call, leaving out those that passed
	// the key on. The error tells why none may be asked.
	Next func(call Call, passed types.Set[types.InstanceID], now time.Time) (Choice, *fault.Error)
	// Began and Ended report attempts to the balance.
	Began func(target route.Candidate, now time.Time)
	// Nodes returns the number of nodes that share the budgets.
	Nodes func() int
	Ended func(sample route.Sample, now time.Time)
	// Failed tells of a call that was not served or was given up, whose caller
	// may come back. It may be nil.
	Failed func(call Call, now time.Time)
}

// Table holds the calls in flight at one node.
type Table struct {
	seams      Seams
	hedge      bool
	budget     Budget
	calls      map[types.CallID]*progress
	allowances map[types.ServiceName]*allowance
	delays     map[types.RouteName]*delays
}

type progress struct {
	call  Call
	tried types.Set[types.InstanceID]
	// refused holds those of the tried that did not take the work.
	refused  types.Set[types.InstanceID]
	open     map[int]attempt
	attempts int
	// reached counts the attempts that came to an upstream or may have.
	reached int
	// latest is the owner that was asked last.
	latest types.InstanceID
	lost   bool
	// passed states that an owner had passed the key on before.
	passed   bool
	last     *fault.Error
	shortest time.Duration
}

type attempt struct {
	target  route.Candidate
	started time.Time
}

// Option changes a setting of a table.
type Option func(*Table)

// WithHedge allows second attempts on the routes that ask for them.
func WithHedge(allowed bool) Option {
	return func(tb *Table) { tb.hedge = allowed }
}

// WithBudget sets how many repeats all nodes together may send to a service.
func WithBudget(budget Budget) Option {
	return func(tb *Table) { tb.budget = budget }
}

// NewTable returns an empty table.
func NewTable(seams Seams, opts ...Option) *Table {
	tb := &Table{
		seams:      seams,
		budget:     DefaultBudget(),
		calls:      map[types.CallID]*progress{},
		allowances: map[types.ServiceName]*allowance{},
		delays:     map[types.RouteName]*delays{},
	}
	for _, opt := range opts {
		opt(tb)
	}
	return tb
}

// SetBudget changes how many repeats are allowed from now on.
func (tb *Table) SetBudget(budget Budget) {
	if budget.Window != tb.budget.Window {
		tb.allowances = map[types.ServiceName]*allowance{}
	}
	tb.budget = budget
}

// Len returns the number of calls in flight.
func (tb *Table) Len() int { return len(tb.calls) }

// Keep drops what was learned of services and routes that are not configured.
func (tb *Table) Keep(snapshot conf.Snapshot) {
	services, routes := map[types.ServiceName]bool{}, map[types.RouteName]bool{}
	for _, configured := range snapshot.Routes() {
		routes[configured.Name] = true
		for _, service := range configured.Services() {
			services[service] = true
		}
	}
	for name := range tb.allowances {
		if !services[name] {
			delete(tb.allowances, name)
		}
	}
	for name := range tb.delays {
		if !routes[name] {
			delete(tb.delays, name)
		}
	}
}

// Begin starts the first attempt of a call.
func (tb *Table) Begin(call Call, now time.Time) []types.Effect {
	tb.allowance(call.Route.Service).request(now)
	pr := &progress{call: call, open: map[int]attempt{}}
	tb.calls[call.ID] = pr
	effects := tb.next(pr, now)
	if _, ok := tb.calls[call.ID]; !ok {
		return effects
	}
	effects = append(effects, types.SetTimer{Timer: types.Timer{Kind: types.CallDeadline, Call: call.ID}, At: call.Deadline})
	return append(effects, tb.planHedge(call, now)...)
}

// Ended moves a call on after an attempt.
func (tb *Table) Ended(event AttemptEnded, now time.Time) []types.Effect {
	pr, ok := tb.calls[event.Call]
	if !ok {
		return nil
	}
	ended, ok := pr.open[event.Attempt]
	if !ok {
		return nil
	}
	if event.Err == nil && event.Verdict != Answered {
		event.Err = fault.New(fault.Internal, "the attempt ended without a reason")
	}
	delete(pr.open, event.Attempt)
	tb.seams.Ended(sampleOf(ended.target, event), now)
	if event.Verdict == Answered {
		tb.delay(pr.call.Route.Name).observe(event.Elapsed)
		if event.ServerFault {
			tb.unserved(pr, now)
		}
		return tb.deliver(pr, event.Attempt, now)
	}
	tb.note(pr, ended.target.ID, event, now)
	if err := pr.verdict(event); err != nil {
		return tb.fail(pr, err, now)
	}
	if len(pr.open) > 0 {
		return nil
	}
	return tb.retry(pr, ended.target.ID, event, now)
}

// note keeps what the error of an attempt tells.
func (tb *Table) note(pr *progress, target types.InstanceID, event AttemptEnded, now time.Time) {
	pr.last = event.Err
	if event.Reached || event.Verdict == Lost {
		pr.reached++
	}
	if event.Verdict == Lost {
		pr.lost = true
	} else {
		pr.refused = pr.refused.With(target)
	}
	if event.Verdict == NotRun && event.Err.Kind == fault.Overloaded {
		tb.allowance(pr.call.Route.Service).refused = now
	}
	if event.PassedOn && event.Err.Outcome == fault.Unknown {
		pr.passed = true
	}
	if wait := event.Err.RetryAfter; wait > 0 && (pr.shortest == 0 || wait < pr.shortest) {
		pr.shortest = wait
	}
}

// verdict returns the error that decides the call after an attempt, or nil if
// another attempt may follow.
func (pr *progress) verdict(event AttemptEnded) *fault.Error {
	switch {
	case !pr.call.Route.Idempotent && event.Verdict == Lost:
		return unknown(event.Err)
	case pr.call.Keyed() && event.Verdict == Unsent:
		return fault.New(fault.OutcomeUnknown, "the owner of the key was not reached: %s", event.Err.Message)
	case pr.call.Keyed() && !event.PassedOn:
		return pr.final()
	case event.Verdict == NotRun && !fault.AnswerOf(event.Err.Kind).ComeBack:
		return pr.final()
	default:
		return nil
	}
}

// retry starts another attempt if the deadline and the budget allow it.
func (tb *Table) retry(pr *progress, refuser types.InstanceID, event AttemptEnded, now time.Time) []types.Effect {
	if event.Verdict == Lost && !now.Before(pr.call.Deadline) {
		return tb.Expire(pr.call.ID, now)
	}
	usual, _ := tb.delay(pr.call.Route.Name).quantile(usualShare)
	if !now.Add(usual).Before(pr.call.Deadline) {
		return tb.fail(pr, pr.final(), now)
	}
	if pr.reached >= pr.mostUpstreams() {
		return tb.fail(pr, pr.final(), now)
	}
	if pr.reached > 0 && !tb.allowance(pr.call.Route.Service).repeat(tb.share(), now) {
		denied := trace.Event{Kind: trace.RetryDenied, Request: pr.call.Request, Subject: refuser, Detail: "the budget of service " + string(pr.call.Route.Service) + " is used up"}
		effects := []types.Effect{trace.Count{Counter: trace.RetriesDenied}, denied}
		return append(effects, tb.fail(pr, pr.final(), now)...)
	}
	attempts := pr.attempts
	effects := tb.next(pr, now)
	if pr.attempts == attempts {
		return effects
	}
	retried := trace.Event{Kind: trace.CallRetried, Request: pr.call.Request, Subject: refuser, Detail: event.Verdict.String() + ": " + event.Err.Error()}
	return append(effects, trace.Count{Counter: trace.AttemptsRetried}, retried)
}

// mostUpstreams returns how many upstreams the call may be sent to.
func (pr *progress) mostUpstreams() int {
	if most := pr.call.Route.Attempts; most > 0 {
		return most
	}
	return defaultUpstreams
}

// share returns this node's part of the budget.
func (tb *Table) share() Budget {
	nodes := 1
	if tb.seams.Nodes != nil {
		nodes = max(1, tb.seams.Nodes())
	}
	return tb.budget.share(nodes)
}

// Cancel gives a call up whose caller went away.
func (tb *Table) Cancel(id types.CallID, now time.Time) []types.Effect {
	pr, ok := tb.calls[id]
	if !ok {
		return nil
	}
	tb.unserved(pr, now)
	effects := []types.Effect{trace.Count{Counter: trace.CallsCanceled}}
	return append(effects, tb.finish(pr, now)...)
}

// Expire ends a call whose deadline has come.
func (tb *Table) Expire(id types.CallID, now time.Time) []types.Effect {
	pr, ok := tb.calls[id]
	if !ok {
		return nil
	}
	err := fault.New(fault.DeadlineExceeded, "the deadline came before an answer").WithRetryAfter(defaultRetryAfter)
	if len(pr.open) > 0 || pr.lost {
		err = err.WithOutcome(fault.Unknown)
		if !pr.call.Route.Idempotent {
			err = unknown(err)
		}
	}
	return tb.fail(pr, err, now)
}

func (tb *Table) next(pr *progress, now time.Time) []types.Effect {
	if pr.attempts >= maxAttempts {
		return tb.fail(pr, pr.final(), now)
	}
	if pr.call.Keyed() {
		return tb.nextOwner(pr, now)
	}
	target, ok := tb.seams.Pick(pr.call, pr.tried, now)
	if !ok && pr.lost {
		target, ok = tb.seams.Pick(pr.call, pr.refused, now)
	}
	if !ok {
		return tb.fail(pr, pr.final(), now)
	}
	return tb.start(pr, Choice{Target: target}, now)
}

func (tb *Table) nextOwner(pr *progress, now time.Time) []types.Effect {
	choice, err := tb.seams.Next(pr.call, pr.tried, now)
	if err != nil {
		return tb.fail(pr, err, now)
	}
	if choice.Target.ID == "" {
		return tb.fail(pr, pr.final(), now)
	}
	choice.Last = choice.Last || pr.attempts+1 == maxAttempts
	return tb.start(pr, choice, now)
}

func (tb *Table) start(pr *progress, choice Choice, now time.Time) []types.Effect {
	target := choice.Target
	passed := pr.tried
	pr.attempts++
	pr.tried = pr.tried.With(target.ID)
	pr.latest = target.ID
	pr.open[pr.attempts] = attempt{target: target, started: now}
	tb.seams.Began(target, now)
	return []types.Effect{
		trace.Count{Counter: trace.AttemptsStarted},
		StartAttempt{
			Call:     pr.call.ID,
			Attempt:  pr.attempts,
			Request:  pr.call.Request,
			Target:   target,
			Route:    pr.call.Route,
			Key:      pr.call.Key,
			Deadline: pr.call.Deadline,
			Aim:      pr.call.Aim,
			Last:     choice.Last,
			Passed:   passed,
		},
	}
}

func (tb *Table) allowance(service types.ServiceName) *allowance {
	al, ok := tb.allowances[service]
	if !ok {
		al = newAllowance(tb.budget.Window)
		tb.allowances[service] = al
	}
	return al
}

func (tb *Table) delay(name types.RouteName) *delays {
	dl, ok := tb.delays[name]
	if !ok {
		dl = &delays{}
		tb.delays[name] = dl
	}
	return dl
}
