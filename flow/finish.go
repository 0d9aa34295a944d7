package flow

import (
	"fmt"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

func (tb *Table) deliver(pr *progress, attempt int, now time.Time) []types.Effect {
	for _, loser := range pr.open {
		tb.delay(pr.call.Route.Name).observe(now.Sub(loser.started))
	}
	effects := []types.Effect{trace.Count{Counter: trace.CallsDelivered}, Deliver{Call: pr.call.ID, Attempt: attempt}}
	return append(effects, tb.finish(pr, now)...)
}

func (tb *Table) fail(pr *progress, err *fault.Error, now time.Time) []types.Effect {
	tb.unserved(pr, now)
	kind := trace.CallRefused
	if err.Kind == fault.OutcomeUnknown {
		kind = trace.CallUnknown
	}
	effects := []types.Effect{
		trace.Count{Counter: trace.CallsFailed},
		trace.Event{Kind: kind, Request: pr.call.Request, Subject: pr.latest, Detail: pr.story(err, now)},
		Fail{Call: pr.call.ID, Err: err},
	}
	return append(effects, tb.finish(pr, now)...)
}

// unserved tells of a call whose caller may come back.
func (tb *Table) unserved(pr *progress, now time.Time) {
	if tb.seams.Failed != nil {
		tb.seams.Failed(pr.call, now)
	}
}

func (tb *Table) finish(pr *progress, now time.Time) []types.Effect {
	var effects []types.Effect
	for number := 1; number <= pr.attempts; number++ {
		loser, ok := pr.open[number]
		if !ok {
			continue
		}
		tb.seams.Ended(route.Sample{ID: loser.target.ID, Route: loser.target.Route, Elapsed: now.Sub(loser.started), Canceled: true}, now)
		effects = append(effects, CancelAttempt{Call: pr.call.ID, Attempt: number})
	}
	delete(tb.calls, pr.call.ID)
	return effects
}

// final returns the error of a call that gets no further attempt.
func (pr *progress) final() *fault.Error {
	if pr.passed {
		return fault.New(fault.OutcomeUnknown, "the key was passed on before and may have run: %s", pr.last.Message)
	}
	if pr.last == nil {
		return fault.New(fault.NoUpstream, "service %q has no upstream that takes work", pr.call.Route.Service).
			WithRetryAfter(defaultRetryAfter)
	}
	err := pr.last
	if fault.AnswerOf(err.Kind).ComeBack {
		err = err.WithRetryAfter(defaultRetryAfter)
		if pr.shortest > 0 {
			err = err.WithRetryAfter(pr.shortest)
		}
	}
	if pr.lost {
		err = err.WithOutcome(fault.Unknown)
	}
	return err
}

// story tells what decided an error.
func (pr *progress) story(err *fault.Error, now time.Time) string {
	return fmt.Sprintf("%s; outcome %s, come back in %s; route %s, service %s, attempts %d, left %s", err.Error(), err.Outcome,
		err.RetryAfter.Round(time.Millisecond), pr.call.Route.Name, pr.call.Route.Service, pr.attempts, pr.call.Deadline.Sub(now).Round(time.Millisecond))
}

func unknown(cause *fault.Error) *fault.Error {
	return fault.New(fault.OutcomeUnknown, "the work was sent and may have run: %s", cause.Message)
}

// sampleOf tells the balance of an attempt. An owner or an upstream that could
// not be reached has failed; it did not refuse.
func sampleOf(target route.Candidate, event AttemptEnded) route.Sample {
	unreached := event.Verdict == Unsent || event.Err != nil && event.Err.Kind == fault.Unreachable
	return route.Sample{
		ID:      target.ID,
		Route:   target.Route,
		Elapsed: event.Elapsed,
		Size:    event.Size,
		Load:    event.Load,
		Refused: event.Verdict == NotRun && !unreached,
		Failed:  event.Verdict == Lost || unreached,
	}
}
