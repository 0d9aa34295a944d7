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

// defaultRetryAfter is the Retry-After time of errors that do not depend on load.
const defaultRetryAfter = 500 * time.Millisecond

func (st *State) callArrived(event flow.CallArrived, now time.Time) []types.Effect {
	effects := []types.Effect{trace.Count{Counter: trace.CallsArrived}}
	matched, err := st.entryRoute(event.Target, now)
	if err != nil {
		return append(effects, refuseCall(event, err)...)
	}
	team, err := st.authenticate(matched, event.Credential)
	if err != nil {
		return append(effects, refuseCall(event, err)...)
	}
	matched = withTeam(matched, team)
	content := event.Content.WithRoute(matched.Name).WithTeam(team.Name)
	if err := st.blameError(event.Target, content, now); err != nil {
		return append(append(effects, trace.Count{Counter: trace.CallsHeld}), refuseCall(event, err)...)
	}
	if len(matched.Split) > 0 {
		matched = matched.WithService(st.splitter.Choose(matched))
	}
	limit := min(matched.Deadline, event.Limit.Or(matched.Deadline))
	if limit <= st.pause.maxWaited(now) {
		err := fault.New(fault.DeadlineExceeded, "the deadline came while the node was paused").WithRetryAfter(defaultRetryAfter)
		return append(effects, refuseCall(event, err)...)
	}
	if st.stop.outlives(now.Add(limit)) {
		err := fault.New(fault.Stopping, "the node stops before the call's deadline").WithRetryAfter(defaultRetryAfter)
		return append(effects, refuseCall(event, err)...)
	}
	call := flow.Call{
		ID: event.Call, Request: event.Request, Key: event.Key, Content: content,
		Features: event.Features.WithTeam(team.Name).WithContent(content),
		Team:     team.Name, HideCredential: st.config.Current().RequiresKeys(),
		Route: matched, Deadline: now.Add(limit), FirstSent: now,
	}
	if callerLimit, ok := event.Limit.Get(); ok {
		call.CallerDeadline = now.Add(callerLimit - st.pause.maxWaited(now))
		call.FirstSent = st.callerRetries.FirstSent(matched.Name, call.CallerDeadline, now)
	}
	if matched.TargetLatency > 0 {
		call.SoftDeadline = call.FirstSent.Add(matched.TargetLatency)
	}
	call.CostFactor = st.costFactor(call)
	call, err = st.withParsedKey(call, now)
	if err != nil {
		return append(effects, refuseCall(event, err)...)
	}
	return append(effects, st.begin(call, now)...)
}

// callFailed records a failed call whose caller stated a time limit. If the caller
// retries, its soft deadline still counts from its first attempt.
func (st *State) callFailed(call flow.Call, now time.Time) {
	if !call.CallerDeadline.IsZero() {
		st.callerRetries.RecordFailure(call.Route.Name, call.CallerDeadline, call.FirstSent, now)
	}
}

// refuseCall returns the effects of failing a call before its first attempt.
func refuseCall(event flow.CallArrived, err *fault.Error) []types.Effect {
	kind := trace.CallRefused
	if err.Kind == fault.OutcomeUnknown {
		kind = trace.CallOutcomeUnknown
	}
	return []types.Effect{
		trace.Count{Counter: trace.CallsFailed},
		trace.Event{Kind: kind, Request: event.Request, Detail: err.Error()},
		flow.Fail{Call: event.Call, Err: err},
	}
}

// entryRoute returns the route of a request, or an error if the node cannot take
// calls. A stopping node takes calls until its linger time ends, since callers do
// not know yet that it stops.
func (st *State) entryRoute(target route.Request, now time.Time) (conf.Route, *fault.Error) {
	if st.stop.requested && !now.Before(st.stop.lingerUntil) {
		return conf.Route{}, fault.New(fault.Stopping, "the node is stopping").WithRetryAfter(defaultRetryAfter)
	}
	if !st.joined() {
		return conf.Route{}, fault.New(fault.NotReady, "the node has not joined the fleet").WithRetryAfter(defaultRetryAfter)
	}
	if !st.config.Ready() {
		return conf.Route{}, fault.New(fault.NotReady, "no configuration at or above version %d is in force", st.config.Floor()).
			WithRetryAfter(defaultRetryAfter)
	}
	matched, ok := st.routes.Match(target)
	if !ok {
		return conf.Route{}, fault.New(fault.NoRoute, "no route matches %s %s", target.Method, target.Path)
	}
	return matched, nil
}

// pick chooses the upstream of a call's next attempt among the live owners that
// were not tried yet and would not close before the work ends. A call that can no
// longer meet its soft deadline yields to work that can, wherever such work waits. Once
// it was refused, it is therefore only offered to owners that may have a free slot.
func (st *State) pick(call flow.Call, tried types.Set[types.InstanceID], now time.Time) (route.Candidate, bool) {
	typicalDuration := st.balancer.TypicalDuration(call.Route.Name)
	onlyFree := tried.Len() > 0 && !call.SoftDeadline.IsZero() && now.Add(typicalDuration).After(call.SoftDeadline)
	expectedDuration := st.expectedDuration(call)
	tester := types.None[types.InstanceID]()
	if trial, ok := st.blame.Trial(call.Content, now); ok {
		tester = types.Some(st.tester(call.Route.Service, call.Content, trial))
	}
	candidates := st.candidates[:0]
	for _, owners := range st.versionOwners(call, tried, now) {
		for _, owner := range owners {
			effective := st.effectiveRule(owner, now)
			if tester.Or(owner.ID) == owner.ID && !tried.Has(owner.ID) && effective.admits(expectedDuration, now) {
				candidate := st.newCandidate(owner, effective)
				candidate.TargetLatency, candidate.CostFactor = call.Route.TargetLatency, call.CostFactor
				if candidate.Local {
					st.balancer.LoadKnown(candidate.ID, st.Load(now), now)
				}
				if onlyFree && st.balancer.KnownFull(candidate, now) {
					continue
				}
				candidates = append(candidates, candidate)
			}
		}
		if len(candidates) > 0 {
			break
		}
	}
	st.candidates = candidates
	return st.balancer.Pick(call.Route.Name, candidates, now)
}

func (st *State) candidate(owner fleet.Member, now time.Time) route.Candidate {
	return st.newCandidate(owner, st.effectiveRule(owner, now))
}

func (st *State) newCandidate(owner fleet.Member, effective effectiveRule) route.Candidate {
	upstream, _ := owner.Upstream.Get()
	return route.Candidate{
		ID:       owner.ID,
		Address:  owner.Address,
		Local:    owner.ID == st.fleet.Self().ID,
		SameZone: owner.Zone == st.fleet.Self().Zone,
		Slots:    effective.slots(upstream),
		ReadyAt:  upstream.ReadyAt,
		WarmUp:   max(upstream.WarmUp, effective.rule.WarmUp),
	}
}
