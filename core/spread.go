package core

import (
	"maps"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// spreadInterval is the time between the additional exchanges of a node that takes part in
// a roll-out, or that has just learned of a new phase, for spreadTime.
const (
	spreadInterval = 250 * time.Millisecond
	spreadTime     = 3 * time.Second
)

// spreadRollouts exchanges what is known with the others that take part: the owners of
// compared upstreams hear of each other's answers within a second. Every node passes a new
// phase on.
func (st *State) spreadRollouts(now time.Time) []types.Effect {
	if now.Sub(st.rollouts.spreadAt) < spreadInterval {
		return nil
	}
	st.rollouts.spreadAt = now
	var first []fleet.Member
	fresh := false
	for _, service := range slices.Sorted(maps.Keys(st.rollouts.active)) {
		known := st.rollouts.active[service]
		phase, since := known.Phase()
		fresh = fresh || now.Sub(since) < spreadTime
		if phase.Final() {
			continue
		}
		taking := append(known.Trials(known.view), known.Controls(known.view)...)
		known.takesPart = slices.Contains(taking, st.fleet.Self().ID) || st.DecidesRollouts(now)
		if len(taking) == 0 || !known.takesPart {
			continue
		}
		known.peer++
		if member, ok := st.fleet.Member(taking[known.peer%len(taking)]); ok && member.ID != st.fleet.Self().ID {
			first = append(first, member)
		}
	}
	if len(first) == 0 && !fresh {
		return nil
	}
	return st.fleet.Spread(first)
}

// reportsReceived adds what another node knows of roll-outs. An order that is later than
// the known one of its service takes its place.
func (st *State) reportsReceived(reports []canary.Report, now time.Time) []types.Effect {
	if !st.rollouts.bound.IsSome() {
		return nil
	}
	var effects []types.Effect
	for _, report := range reports {
		known := st.rollouts.active[report.Service]
		order := report.Order(now)
		switch {
		case known == nil && !st.rollouts.makeRoom():
			continue
		case known == nil || known.Supersedes(order):
			known = &rollout{Rollout: canary.NewRollout(order, report.Phase, st.rollouts.aim(), now)}
			st.rollouts.active[report.Service] = known
			known.view = st.versionView(order)
			known.trials = types.NewSet(known.Trials(known.view)...)
			known.Merge(report, now)
			effects = append(effects, st.phaseChanged(known, report.Reason, now)...)
		case known.Merge(report, now):
			effects = append(effects, st.phaseChanged(known, report.Reason, now)...)
		}
	}
	return effects
}

// makeRoom forgets a roll-out that is done if there are many. It returns false if none is.
func (rs *rollouts) makeRoom() bool {
	if len(rs.active) < maxRollouts {
		return true
	}
	for _, service := range slices.Sorted(maps.Keys(rs.active)) {
		if phase, _ := rs.active[service].Phase(); phase == canary.Done {
			delete(rs.active, service)
			return true
		}
	}
	return false
}

// phaseChanged records a new phase and tells others.
func (st *State) phaseChanged(known *rollout, reason string, now time.Time) []types.Effect {
	phase, _ := known.Phase()
	order := known.Order()
	detail := "service " + string(order.Service) + " to " + string(order.To) + ": " + phase.String()
	if reason != "" {
		detail += ", " + reason
	}
	effects := []types.Effect{trace.Event{Kind: trace.RolloutChanged, Subject: st.fleet.Self().ID, Detail: detail}}
	effects = append(effects, st.refreshUpstream(now)...)
	return append(effects, st.fleet.Spread(nil)...)
}

// addReports adds what this node knows of roll-outs to the messages among the effects.
func (st *State) addReports(effects []types.Effect, now time.Time) []types.Effect {
	if len(st.rollouts.active) == 0 {
		return effects
	}
	var reports []canary.Report
	for i, effect := range effects {
		send, sends := effect.(fleet.SendExchange)
		reply, replies := effect.(fleet.ReplyExchange)
		if (sends || replies) && reports == nil {
			reports = st.rolloutReports(now)
		}
		switch {
		case sends:
			send.Message.Rollouts = reports
			effects[i] = send
		case replies:
			reply.Message.Rollouts = reports
			effects[i] = reply
		}
	}
	return effects
}

func (st *State) rolloutReports(now time.Time) []canary.Report {
	reports := make([]canary.Report, 0, len(st.rollouts.active))
	for _, service := range slices.Sorted(maps.Keys(st.rollouts.active)) {
		known := st.rollouts.active[service]
		report := known.Report(known.view, now)
		if !known.takesPart {
			report.Tallies = nil
		}
		reports = append(reports, report)
	}
	return reports
}
