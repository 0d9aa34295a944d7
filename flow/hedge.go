package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// planHedge sets a timer that starts a hedge once the call has run for the tail
// latency of its route. It sets no timer if hedges are not allowed, too few
// durations are known, or the call's deadline comes first.
func (tb *Table) planHedge(call Call, now time.Time) []types.Effect {
	if !tb.hedge || !call.Route.Hedge || !call.Route.Idempotent {
		return nil
	}
	tb.serviceBudget(call.Route.Service).hedges.credit(hedgeRatio)
	tail, known := tb.histogram(call.Route.Name).quantile(tailQuantile)
	at := now.Add(tail)
	if !known || !at.Before(call.Deadline) {
		return nil
	}
	return []types.Effect{types.SetTimer{Timer: types.Timer{Kind: types.CallHedge, Call: call.ID}, At: at}}
}

// Hedge starts a second attempt of a call whose first one has run for longer than
// the route's tail latency, unless the service was overloaded within the last
// hedgePause or the hedge or retry budget is used up.
func (tb *Table) Hedge(id types.CallID, now time.Time) []types.Effect {
	cs, ok := tb.calls[id]
	if !ok || cs.attempts != 1 || len(cs.inFlight) != 1 {
		return nil
	}
	sb := tb.serviceBudget(cs.call.Route.Service)
	if sb.overloaded(now) || !now.Before(cs.call.Deadline) {
		return nil
	}
	target, ok := tb.hooks.Pick(cs.call, cs.tried, now)
	budget := tb.nodeBudget()
	if !ok || !sb.allowsTeam(cs.call.Team, budget, now) || !sb.hedges.take() || !sb.takeRepeat(cs.call.Team, budget, now) {
		return nil
	}
	effects := []types.Effect{
		trace.Count{Counter: trace.AttemptsHedged},
		trace.Event{Kind: trace.CallHedged, Request: cs.call.Request, Subject: target.ID},
	}
	return append(effects, tb.startAttempt(cs, OwnerChoice{Target: target}, now)...)
}
