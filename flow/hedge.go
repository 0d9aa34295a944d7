package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// planHedge sets the timer of a call's second attempt.
func (tb *Table) planHedge(call Call, now time.Time) []types.Effect {
	if !tb.hedge || !call.Route.Hedge || !call.Route.Idempotent {
		return nil
	}
	tb.allowance(call.Route.Service).hedges.credit(hedgeShare)
	tail, known := tb.delay(call.Route.Name).quantile(tailShare)
	at := now.Add(tail)
	if !known || !at.Before(call.Deadline) {
		return nil
	}
	return []types.Effect{types.SetTimer{Timer: types.Timer{Kind: types.CallHedge, Call: call.ID}, At: at}}
}

// Hedge starts a second attempt of a call that is slower than its route
// usually is, unless the service is overloaded or the budget is used up.
func (tb *Table) Hedge(id types.CallID, now time.Time) []types.Effect {
	pr, ok := tb.calls[id]
	if !ok || pr.attempts != 1 || len(pr.open) != 1 {
		return nil
	}
	al := tb.allowance(pr.call.Route.Service)
	if al.overloaded(now) || !now.Before(pr.call.Deadline) {
		return nil
	}
	target, ok := tb.seams.Pick(pr.call, pr.tried, now)
	if !ok || !al.hedges.take() || !al.repeat(tb.share(), now) {
		return nil
	}
	effects := []types.Effect{
		trace.Count{Counter: trace.AttemptsHedged},
		trace.Event{Kind: trace.CallHedged, Request: pr.call.Request, Subject: target.ID},
	}
	return append(effects, tb.start(pr, Choice{Target: target}, now)...)
}
