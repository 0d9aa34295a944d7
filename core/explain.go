package core

import (
	"fmt"
	"strings"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/cost"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// Explain returns where a request would go now and why. It changes nothing and draws no
// random number. It returns an error if the question names an unknown team or service.
func (st *State) Explain(question flow.Question, now time.Time) (flow.Explanation, *fault.Error) {
	copied := *st
	copied.rules, copied.candidates, copied.admission = ruleCache{}, nil, st.admission.Copy()
	return copied.explain(question, now)
}

// explain may change the parts of the state that Explain has copied.
func (st *State) explain(question flow.Question, now time.Time) (flow.Explanation, *fault.Error) {
	ex := flow.Explanation{Instance: st.fleet.Self().ID, Version: st.config.Current().Version()}
	path, _, _ := strings.Cut(question.URI, "?")
	target := route.Request{Method: question.Method, Host: question.Host, Path: path}
	if ex.Route, ex.Refused = st.entryRoute(target, now); ex.Fails() {
		return ex, nil
	}
	team, refused, err := st.questionTeam(ex.Route, question.Team)
	if err != nil {
		return flow.Explanation{}, err
	}
	if ex.Refused = refused; ex.Fails() {
		return ex, nil
	}
	if team.Name != "" {
		ex.Team = types.Some(team)
	}
	ex.Route = withTeam(ex.Route, team)
	call := st.questionCall(question, ex.Route, team, now)
	ex.Cost = st.expectedCost(call)
	ex.Unknown = st.unknown(call.Route, team, now)
	return st.explainServices(ex, call, question.Service, now)
}

// questionTeam returns the team that a question names, and the error with which a request
// without a team's key is refused. It returns an error if the team is unknown.
func (st *State) questionTeam(matched conf.Route, name types.Option[types.TeamName]) (team conf.Team, refused, err *fault.Error) {
	wanted, ok := name.Get()
	if !ok {
		team, refused = st.authenticate(matched, types.None[types.KeyDigest]())
		return team, refused, nil
	}
	team, known := st.config.Current().Team(wanted)
	if !known {
		return conf.Team{}, nil, fault.New(fault.NotFound, "version %d has no team %q", st.config.Current().Version(), wanted)
	}
	return team, nil, nil
}

func (st *State) questionCall(question flow.Question, matched conf.Route, team conf.Team, now time.Time) flow.Call {
	call := flow.Call{
		Route: matched, Team: team.Name, Deadline: now.Add(matched.Deadline), FirstSent: now,
		Features: cost.Describe(question.Method, question.URI, question.BodyLength).WithTeam(team.Name),
	}
	if matched.TargetLatency > 0 {
		call.SoftDeadline = now.Add(matched.TargetLatency)
	}
	call.CostFactor = st.costFactor(call)
	return call
}

func (st *State) expectedCost(call flow.Call) flow.ExpectedCost {
	expected := flow.ExpectedCost{Duration: st.expectedDuration(call), Basis: flow.ByDefault, Factor: call.CostFactor}
	if st.balancer.Observed(call.Route.Name) {
		expected.Basis = flow.ByRoute
	}
	if call.CostFactor > 0 {
		estimate, _ := st.balancer.Cost(call.Route.Name, call.Features)
		expected.Basis, expected.Features = flow.ByEstimator, estimate.Basis
	}
	return expected
}

// unknown returns what the node can't tell of a request without its body and key.
func (st *State) unknown(matched conf.Route, team conf.Team, now time.Time) []string {
	unknown := []string{fmt.Sprintf("whether the request is held back or on trial: this depends on its body; %d requests are held back", len(st.blame.Holds(now)))}
	if team.Limited() {
		unknown = append(unknown, "whether the team's limit is used up: it applies to all nodes together and a question takes no token of it")
	}
	if !matched.Idempotent {
		unknown = append(unknown, "a request with an idempotency key goes to the owner of the key instead")
	}
	for _, service := range matched.Services() {
		if st.rollouts.active[service] != nil {
			unknown = append(unknown, fmt.Sprintf("whether the request is one of those for the version on trial: a roll-out of service %q is known", service))
		}
	}
	return append(unknown, "what the upstreams of other nodes would do: only their last reports are known")
}

// explainServices adds the services of the route, and fails the request if none of them has
// an owner that takes it.
func (st *State) explainServices(ex flow.Explanation, call flow.Call, only types.Option[types.ServiceName], now time.Time) (flow.Explanation, *fault.Error) {
	parts := ex.Route.Split
	if len(parts) == 0 {
		parts = []conf.WeightedService{{Service: ex.Route.Service}}
	}
	for _, part := range parts {
		if only.Or(part.Service) != part.Service {
			continue
		}
		call.Route = ex.Route.WithService(part.Service)
		service := st.explainService(call, now)
		service.Weight = part.Weight
		ex.Services = append(ex.Services, service)
	}
	if len(ex.Services) == 0 {
		return flow.Explanation{}, fault.New(fault.NotFound, "route %q does not send to service %q", ex.Route.Name, only.Or(""))
	}
	for _, service := range ex.Services {
		if service.Refused == nil {
			return ex, nil
		}
	}
	ex.Refused = ex.Services[0].Refused
	return ex, nil
}

func (st *State) explainService(call flow.Call, now time.Time) flow.ServiceExplanation {
	explained := flow.ServiceExplanation{Service: call.Route.Service}
	var candidates []route.Candidate
	var rated []int
	for _, member := range st.fleet.Members() {
		upstream, ok := member.Upstream.Get()
		if !ok || member.Service != call.Route.Service {
			continue
		}
		effective := st.effectiveRule(member, now)
		owner := flow.OwnerExplanation{ID: member.ID, Zone: member.Zone, Version: upstream.Version, Slots: effective.slots(upstream), Excluded: effective.exclusion(member, st.expectedDuration(call), now)}
		if owner.Excluded == "" {
			candidate := st.newCandidate(member, effective)
			candidate.Route, candidate.TargetLatency, candidate.CostFactor = call.Route.Name, call.Route.TargetLatency, call.CostFactor
			candidates, rated = append(candidates, candidate), append(rated, len(explained.Owners))
		}
		explained.Owners = append(explained.Owners, owner)
	}
	appraisals := st.balancer.Appraise(call.Route.Name, candidates, st.Load(now), now)
	for i, appraisal := range appraisals {
		explained.Owners[rated[i]].Appraisal = appraisal
	}
	if len(candidates) > 0 {
		explained.Choice = st.policies.choice(appraisals)
	} else {
		explained.Refused = fault.New(fault.NoUpstream, "service %q has no upstream that takes work", call.Route.Service).WithRetryAfter(defaultRetryAfter)
	}
	if st.upstream.known && st.upstream.announcement.Service == call.Route.Service {
		explained.Local = types.Some(st.previewWork(call, now))
	}
	return explained
}

// exclusion returns why the upstream of a member gets no work that lasts as expected, or
// "" if it may get it.
func (op effectiveRule) exclusion(member fleet.Member, expected time.Duration, now time.Time) string {
	upstream, _ := member.Upstream.Get()
	switch {
	case member.Status != fleet.Alive:
		return "the node is " + member.Status.String()
	case member.Leaving:
		return "the node is leaving"
	case upstream.Leaving:
		return "the upstream is leaving"
	case !op.open && op.rule.Name == "":
		return "no upstream rule of the service covers its zone"
	case !op.open:
		return "closed at this hour"
	case !op.admits(expected, now):
		return "it closes before the work would end"
	default:
		return ""
	}
}

// previewWork returns what the upstream of this node would do with an attempt at a call.
func (st *State) previewWork(call flow.Call, now time.Time) admit.Preview {
	work := admit.WorkItem{
		Service: call.Route.Service, Route: call.Route.Name, Importance: call.Route.Importance, Idempotent: call.Route.Idempotent,
		Team: call.Team, Deadline: call.Deadline, SoftDeadline: call.SoftDeadline, CostFactor: call.CostFactor,
	}
	preview := st.admission.Preview(work, now)
	if err := st.admissionError(work, now); err != nil {
		preview.Runs, preview.Refused, preview.Wait, preview.Evicts = false, err, 0, 0
	}
	return preview
}

// choice says how one of the owners is taken.
func (p Policies) choice(appraisals []route.Appraisal) string {
	inChoice := 0
	for _, appraisal := range appraisals {
		if appraisal.Probe {
			return "the ejected one that is due for a probe"
		}
		if appraisal.InChoice {
			inChoice++
		}
	}
	if inChoice == 1 {
		return "the only one in the choice"
	}
	switch p.Balance {
	case BalancePeakEWMA, BalanceRoundRobin:
		return "the one with the lowest score"
	case BalanceLeastOutstanding, BalanceJoinIdle:
		return "the one with the lowest score, after a small random increase of each"
	default:
		return "the one with the lower score of two that are drawn at random from the choice"
	}
}
