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
	maxAttempts       = 4
	defaultRetryAfter = 200 * time.Millisecond
)

// Call is one request of a caller.
type Call struct {
	ID       types.CallID
	Request  types.RequestID
	Key      types.Option[types.Key]
	Route    conf.Route
	Deadline time.Time
}

// Seams are the decisions that a table takes from its surroundings.
type Seams struct {
	// Pick chooses the upstream of the next attempt, leaving out those tried.
	Pick func(call Call, tried types.Set[types.InstanceID], now time.Time) (route.Candidate, bool)
	// Began and Ended report attempts to the balance.
	Began func(target route.Candidate, now time.Time)
	Ended func(sample route.Sample, now time.Time)
}

// Table holds the calls in flight at one node.
type Table struct {
	seams Seams
	calls map[types.CallID]*progress
}

type progress struct {
	call     Call
	tried    types.Set[types.InstanceID]
	open     map[int]route.Candidate
	attempts int
	lost     bool
	last     *fault.Error
}

// NewTable returns an empty table.
func NewTable(seams Seams) *Table {
	return &Table{seams: seams, calls: map[types.CallID]*progress{}}
}

// Len returns the number of calls in flight.
func (tb *Table) Len() int { return len(tb.calls) }

// Begin starts the first attempt of a call.
func (tb *Table) Begin(call Call, now time.Time) []types.Effect {
	pr := &progress{call: call, tried: types.NewSet[types.InstanceID](), open: map[int]route.Candidate{}}
	tb.calls[call.ID] = pr
	effects := tb.next(pr, now)
	if _, ok := tb.calls[call.ID]; !ok {
		return effects
	}
	return append(effects, types.SetTimer{Timer: types.Timer{Kind: types.CallDeadline, Call: call.ID}, At: call.Deadline})
}

// Ended moves a call on after an attempt.
func (tb *Table) Ended(event AttemptEnded, now time.Time) []types.Effect {
	pr, ok := tb.calls[event.Call]
	if !ok {
		return nil
	}
	target, ok := pr.open[event.Attempt]
	if !ok {
		return nil
	}
	delete(pr.open, event.Attempt)
	tb.seams.Ended(sampleOf(target, event), now)
	switch event.Verdict {
	case Answered:
		return tb.deliver(pr, event.Attempt, now)
	case Lost:
		pr.lost = true
	case NotRun:
	}
	pr.last = event.Err
	if pr.lost && !pr.call.Route.Idempotent {
		return tb.fail(pr, unknown(event.Err), now)
	}
	if len(pr.open) > 0 {
		return nil
	}
	effects := []types.Effect{trace.Count{Counter: trace.AttemptsRetried}}
	return append(effects, tb.next(pr, now)...)
}

// Cancel gives a call up whose caller went away.
func (tb *Table) Cancel(id types.CallID, now time.Time) []types.Effect {
	pr, ok := tb.calls[id]
	if !ok {
		return nil
	}
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
	target, ok := tb.seams.Pick(pr.call, pr.tried, now)
	if !ok {
		return tb.fail(pr, pr.final(), now)
	}
	pr.attempts++
	pr.tried = pr.tried.With(target.ID)
	pr.open[pr.attempts] = target
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
		},
	}
}

func (tb *Table) deliver(pr *progress, attempt int, now time.Time) []types.Effect {
	effects := []types.Effect{trace.Count{Counter: trace.CallsDelivered}, Deliver{Call: pr.call.ID, Attempt: attempt}}
	return append(effects, tb.finish(pr, now)...)
}

func (tb *Table) fail(pr *progress, err *fault.Error, now time.Time) []types.Effect {
	kind := trace.CallRefused
	if err.Kind == fault.OutcomeUnknown {
		kind = trace.CallUnknown
	}
	effects := []types.Effect{
		trace.Count{Counter: trace.CallsFailed},
		trace.Event{Kind: kind, Request: pr.call.Request, Detail: err.Error()},
		Fail{Call: pr.call.ID, Err: err},
	}
	return append(effects, tb.finish(pr, now)...)
}

func (tb *Table) finish(pr *progress, now time.Time) []types.Effect {
	var effects []types.Effect
	for attempt := 1; attempt <= pr.attempts; attempt++ {
		target, ok := pr.open[attempt]
		if !ok {
			continue
		}
		tb.seams.Ended(route.Sample{ID: target.ID, Route: target.Route, Canceled: true}, now)
		effects = append(effects, CancelAttempt{Call: pr.call.ID, Attempt: attempt})
	}
	delete(tb.calls, pr.call.ID)
	return effects
}

func (pr *progress) final() *fault.Error {
	if pr.last == nil {
		return fault.New(fault.NoUpstream, "service %q has no upstream that takes work", pr.call.Route.Service).
			WithRetryAfter(defaultRetryAfter)
	}
	err := pr.last
	if err.RetryAfter == 0 && fault.AnswerOf(err.Kind).ComeBack {
		err = err.WithRetryAfter(defaultRetryAfter)
	}
	if pr.lost {
		err = err.WithOutcome(fault.Unknown)
	}
	return err
}

func unknown(cause *fault.Error) *fault.Error {
	return fault.New(fault.OutcomeUnknown, "the work was sent and may have run: %s", cause.Message)
}

func sampleOf(target route.Candidate, event AttemptEnded) route.Sample {
	return route.Sample{
		ID:      target.ID,
		Route:   target.Route,
		Elapsed: event.Elapsed,
		Load:    event.Load,
		Refused: event.Verdict == NotRun,
		Failed:  event.Verdict == Lost,
	}
}
