package core

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const comeBackSoon = 500 * time.Millisecond

func (st *State) callArrived(event flow.CallArrived, now time.Time) []types.Effect {
	effects := []types.Effect{trace.Count{Counter: trace.CallsArrived}}
	found, err := st.entryRoute(event.Target, now)
	if err != nil {
		return append(effects, refuseCall(event, err)...)
	}
	if len(found.Split) > 0 {
		found = found.WithService(st.splits.Choose(found))
	}
	limit := min(found.Deadline, event.Limit.Or(found.Deadline))
	call := flow.Call{ID: event.Call, Request: event.Request, Key: event.Key, Route: found, Deadline: now.Add(limit), First: now}
	if said, ok := event.Limit.Get(); ok {
		call.Until = now.Add(said)
		call.First = st.ages.First(found.Name, call.Until, now)
	}
	if found.Aim > 0 {
		call.Aim = call.First.Add(found.Aim)
	}
	call, err = st.withKey(call, now)
	if err != nil {
		return append(effects, refuseCall(event, err)...)
	}
	return append(effects, st.calls.Begin(call, now)...)
}

// callFailed remembers a caller who may come back.
func (st *State) callFailed(call flow.Call, now time.Time) {
	if !call.Until.IsZero() {
		st.ages.Failed(call.Route.Name, call.Until, call.First, now)
	}
}

func refuseCall(event flow.CallArrived, err *fault.Error) []types.Effect {
	kind := trace.CallRefused
	if err.Kind == fault.OutcomeUnknown {
		kind = trace.CallUnknown
	}
	return []types.Effect{
		trace.Count{Counter: trace.CallsFailed},
		trace.Event{Kind: kind, Request: event.Request, Detail: err.Error()},
		flow.Fail{Call: event.Call, Err: err},
	}
}

// entryRoute returns the route of a request. A stopping node goes on as an entry
// until the callers know of it.
func (st *State) entryRoute(target route.Request, now time.Time) (conf.Route, *fault.Error) {
	if st.stop.asked && !now.Before(st.stop.until) {
		return conf.Route{}, fault.New(fault.Stopping, "the node is stopping").WithRetryAfter(comeBackSoon)
	}
	if !st.joined() {
		return conf.Route{}, fault.New(fault.NotReady, "the node has not joined the fleet").WithRetryAfter(comeBackSoon)
	}
	if !st.conf.Ready() {
		return conf.Route{}, fault.New(fault.NotReady, "no configuration at or above version %d is in force", st.conf.Floor()).
			WithRetryAfter(comeBackSoon)
	}
	found, ok := st.routes.Match(target)
	if !ok {
		return conf.Route{}, fault.New(fault.NoRoute, "no route matches %s %s", target.Method, target.Path)
	}
	return found, nil
}

func (st *State) pick(call flow.Call, tried types.Set[types.InstanceID], now time.Time) (route.Candidate, bool) {
	usual := st.balance.Usual(call.Route.Name)
	candidates := st.candidates[:0]
	for _, owner := range st.fleet.Serving(call.Route.Service) {
		opening := st.opening(owner, now)
		if !tried.Has(owner.ID) && opening.takes(usual, now) {
			candidate := st.candidateOf(owner, opening)
			candidate.Aim = call.Route.Aim
			candidates = append(candidates, candidate)
		}
	}
	st.candidates = candidates
	return st.balance.Pick(call.Route.Name, candidates, now)
}

func (st *State) candidate(owner fleet.Member, now time.Time) route.Candidate {
	return st.candidateOf(owner, st.opening(owner, now))
}

func (st *State) candidateOf(owner fleet.Member, opening opening) route.Candidate {
	upstream, _ := owner.Upstream.Get()
	return route.Candidate{
		ID:       owner.ID,
		Address:  owner.Address,
		Local:    owner.ID == st.fleet.Self().ID,
		SameZone: owner.Zone == st.fleet.Self().Zone,
		Slots:    opening.slots(upstream),
		Ready:    upstream.ReadyAt,
		WarmUp:   max(upstream.WarmUp, opening.rule.WarmUp),
	}
}
