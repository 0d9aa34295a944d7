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
	found, err := st.entryRoute(event.Target)
	if err != nil {
		return append(effects, refuseCall(event, err)...)
	}
	limit := min(found.Deadline, event.Limit.Or(found.Deadline))
	call := flow.Call{ID: event.Call, Request: event.Request, Key: event.Key, Route: found, Deadline: now.Add(limit)}
	call, err = st.withKey(call, now)
	if err != nil {
		return append(effects, refuseCall(event, err)...)
	}
	return append(effects, st.calls.Begin(call, now)...)
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

func (st *State) entryRoute(target route.Request) (conf.Route, *fault.Error) {
	if st.stop.asked {
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
	owners := st.fleet.Owners(func(member fleet.Member) bool {
		return member.Service == call.Route.Service && !tried.Has(member.ID) && st.open(member, now)
	})
	candidates := make([]route.Candidate, 0, len(owners))
	for _, owner := range owners {
		candidates = append(candidates, st.candidate(owner))
	}
	return st.balance.Pick(call.Route.Name, candidates, now)
}

// open reports whether the rules let a member's upstream take work now.
func (st *State) open(member fleet.Member, now time.Time) bool {
	rule, ok := st.conf.Current().Rule(member.Service, member.Zone)
	if !ok {
		return !st.conf.Current().HasRules(member.Service)
	}
	hours, limited := rule.Hours.Get()
	return !limited || hours.OpenAt(now)
}

func (st *State) candidate(owner fleet.Member) route.Candidate {
	upstream, _ := owner.Upstream.Get()
	rule, _ := st.conf.Current().Rule(owner.Service, owner.Zone)
	return route.Candidate{
		ID:       owner.ID,
		Address:  owner.Address,
		Local:    owner.ID == st.fleet.Self().ID,
		SameZone: owner.Zone == st.fleet.Self().Zone,
		Slots:    capped(upstream.Slots, rule.Slots),
		Ready:    upstream.ReadyAt,
		WarmUp:   max(upstream.WarmUp, rule.WarmUp),
	}
}

func capped(announced, limit int) int {
	if limit == 0 {
		return announced
	}
	return min(announced, limit)
}
