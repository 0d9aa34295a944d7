package flow

import (
	"fmt"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// deliver answers a call with the answer of an attempt. It adds each other attempt
// in flight to the route's histogram, with the time that the attempt has run so far.
func (tb *Table) deliver(cs *callState, attempt int, now time.Time) []types.Effect {
	for _, other := range cs.inFlight {
		tb.histogram(cs.call.Route.Name).observe(now.Sub(other.started))
	}
	effects := []types.Effect{trace.Count{Counter: trace.CallsDelivered}, Deliver{Call: cs.call.ID, Attempt: attempt}}
	return append(effects, tb.finish(cs, now)...)
}

// fail answers a call with an error.
func (tb *Table) fail(cs *callState, err *fault.Error, now time.Time) []types.Effect {
	tb.reportFailed(cs, now)
	if tb.hooks.CallNotRun != nil && err.Outcome == fault.NotRun && !cs.lost && len(cs.inFlight) == 0 {
		tb.hooks.CallNotRun(cs.call, now)
	}
	kind := trace.CallRefused
	if err.Kind == fault.OutcomeUnknown {
		kind = trace.CallOutcomeUnknown
	}
	effects := []types.Effect{
		trace.Count{Counter: trace.CallsFailed},
		trace.Event{Kind: kind, Request: cs.call.Request, Subject: cs.lastTarget, Detail: cs.describe(err, now)},
		Fail{Call: cs.call.ID, Err: err},
	}
	return append(effects, tb.finish(cs, now)...)
}

// reportFailed calls the CallFailed hook for a call whose caller may retry it.
func (tb *Table) reportFailed(cs *callState, now time.Time) {
	if tb.hooks.CallFailed != nil {
		tb.hooks.CallFailed(cs.call, now)
	}
}

// finish removes a call and cancels its attempts in flight.
func (tb *Table) finish(cs *callState, now time.Time) []types.Effect {
	var effects []types.Effect
	for number := 1; number <= cs.attempts; number++ {
		other, ok := cs.inFlight[number]
		if !ok {
			continue
		}
		tb.hooks.AttemptEnded(route.Sample{ID: other.target.ID, Route: other.target.Route, Elapsed: now.Sub(other.started), Canceled: true}, now)
		effects = append(effects, CancelAttempt{Call: cs.call.ID, Attempt: number})
	}
	delete(tb.calls, cs.call.ID)
	return effects
}

// finalError returns the error of a call that gets no further attempt. This is the
// error of the most recent failed attempt, unless there was none, or an owner node
// had declined the call's key before, so that the outcome is unknown.
func (cs *callState) finalError() *fault.Error {
	if cs.keyDeclined {
		return fault.New(fault.OutcomeUnknown, "the key was passed on before and may have run: %s", cs.lastErr.Message)
	}
	if cs.lastErr == nil {
		return fault.New(fault.NoUpstream, "service %q has no upstream that takes work", cs.call.Route.Service).
			WithRetryAfter(defaultRetryAfter)
	}
	err := cs.lastErr
	if fault.StatusOf(err.Kind).Retryable {
		err = err.WithRetryAfter(defaultRetryAfter)
		if cs.minRetryAfter > 0 {
			err = err.WithRetryAfter(cs.minRetryAfter)
		}
	}
	if cs.lost {
		err = err.WithOutcome(fault.Unknown)
	}
	return err
}

// describe returns the detail of the event that records a failed call.
func (cs *callState) describe(err *fault.Error, now time.Time) string {
	return fmt.Sprintf("%s; outcome %s, come back in %s; route %s, service %s, attempts %d, left %s, after %s of %s", err.Error(), err.Outcome,
		err.RetryAfter.Round(time.Millisecond), cs.call.Route.Name, cs.call.Route.Service, cs.attempts, cs.call.Deadline.Sub(now).Round(time.Millisecond),
		now.Sub(cs.began).Round(time.Millisecond), cs.call.Route.Deadline)
}

// outcomeUnknown returns the error of non-idempotent work that may have run.
func outcomeUnknown(cause *fault.Error) *fault.Error {
	return fault.New(fault.OutcomeUnknown, "the work was sent and may have run: %s", cause.Message)
}

// sampleOf returns the sample of an attempt for the load balancer. An owner node or
// upstream that could not be reached counts as a failure and not as a refusal. An
// upstream whose process ended is judged by its next process.
func sampleOf(call Call, target route.Candidate, event AttemptEnded) route.Sample {
	unreached := event.Verdict == Unsent || event.Err != nil && event.Err.Kind == fault.Unreachable
	if event.ServerFault {
		// A failure tells nothing of what the work costs.
		event.AtUpstream = 0
	}
	return route.Sample{
		ID:      target.ID,
		Route:   target.Route,
		Elapsed: event.Elapsed,
		Size:    event.Size,
		Load:    event.Load,

		AtUpstream: event.AtUpstream,
		Lasting:    event.Lasting,
		Features:   call.Features,

		Refused: event.Verdict == NotRun && !unreached || event.UpstreamEnded,
		Failed:  event.Verdict == Lost || unreached,
	}
}
