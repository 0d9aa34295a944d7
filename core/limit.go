package core

import (
	"fmt"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxParked is how long a call waits for the answer of its team's pool.
	maxParked = 300 * time.Millisecond
	// startMargin is the time within which nodes start that are started together.
	startMargin = 2 * time.Second
)

// WithQuotaBound sets the tolerance of the limits of teams.
func WithQuotaBound(bound quota.Bound) Option {
	return func(se *settings) { se.quota = bound }
}

// limitState holds the limits of teams over all nodes.
type limitState struct {
	bound quota.Bound
	seed  uint64
	// ledger is nil until the first event.
	ledger *quota.Ledger
	// suspended is for how long the machine was suspended since the process started,
	// which the times passed to Step do not include.
	suspended time.Duration
	// seeds is the number of other nodes that discovery found last.
	seeds  int
	parked []parkedCall
	view   quota.View
	// viewHash is that of the members on which view is based.
	viewHash uint64
}

// parkedCall is a call that waits for the answer of its team's pool.
type parkedCall struct {
	call  flow.Call
	since time.Time
}

// now returns the time that the limits go by. It includes the time of suspends, in which
// the loans of shares go on.
func (ls *limitState) now(now time.Time) time.Time { return now.Add(ls.suspended) }

func (st *State) quotaLedger(now time.Time) *quota.Ledger {
	ls := &st.limits
	if ls.ledger == nil {
		self := st.fleet.Self()
		session := types.ContentHash(ls.seed).WithRoute(types.RouteName(self.ID)).WithTeam(types.TeamName(self.StartedAt.String()))
		ls.ledger = quota.NewLedger(self.ID, ls.now(now), uint64(session), ls.bound)
	}
	return ls.ledger
}

// setLimits puts the limits of a configuration in force.
func (st *State) setLimits(snapshot conf.Snapshot, now time.Time) {
	var limits []quota.Limit
	for _, team := range snapshot.Teams() {
		if team.Limited() {
			limits = append(limits, quota.Limit{Team: team.Name, Rate: team.Rate, Burst: team.Burst})
		}
	}
	st.quotaLedger(now).SetLimits(limits, st.limits.now(now))
}

// Limits returns what the node knows about the limits of teams.
func (st *State) Limits(now time.Time) []quota.Usage {
	if st.limits.ledger == nil {
		return nil
	}
	return st.limits.ledger.Usages(st.limits.now(now))
}

// begin starts a call if it is within its team's limit. It may have to wait for the answer
// of the team's pool.
func (st *State) begin(call flow.Call, now time.Time) []types.Effect {
	ls := &st.limits
	if call.Team == "" || ls.ledger == nil || !ls.ledger.Limited() {
		return st.calls.Begin(call, now)
	}
	decision := ls.ledger.Take(call.Team, ls.now(now))
	effects := st.decided(parkedCall{call: call, since: now}, decision, now)
	return append(effects, st.sendTrades(ls.ledger.Flush(ls.now(now)))...)
}

func (st *State) decided(waiting parkedCall, decision quota.Decision, now time.Time) []types.Effect {
	switch decision.Verdict {
	case quota.Granted:
		return st.calls.Begin(waiting.call, now)
	case quota.Waiting:
		st.limits.parked = append(st.limits.parked, waiting)
		return nil
	default:
		return st.refuseBeyond(waiting.call, decision.RetryAfter, "beyond its limit")
	}
}

func (st *State) refuseBeyond(call flow.Call, wait time.Duration, cause string) []types.Effect {
	team, _ := st.config.Current().Team(call.Team)
	err := fault.New(fault.LimitExceeded, "team %q is %s of %g requests/s and %g at once", call.Team, cause, team.Rate, team.Burst).WithRetryAfter(wait)
	return refuseCall(flow.CallArrived{Call: call.ID, Request: call.Request}, err)
}

// unpark decides again on the calls that wait, the earliest first.
func (st *State) unpark(now time.Time) []types.Effect {
	ls := &st.limits
	waiting := ls.parked
	ls.parked = nil
	var effects []types.Effect
	for _, parked := range waiting {
		team := parked.call.Team
		if now.Sub(parked.since) >= maxParked || !now.Before(parked.call.Deadline) {
			wait := ls.ledger.Abandon(team, true, ls.now(now))
			effects = append(effects, st.refuseBeyond(parked.call, wait, "without an answer from the node that holds its limit")...)
			continue
		}
		if _, known := st.config.Current().Team(team); !known {
			ls.ledger.Abandon(team, false, ls.now(now))
			err := fault.New(fault.Unauthenticated, "the key belongs to no team any more")
			effects = append(effects, refuseCall(flow.CallArrived{Call: parked.call.ID, Request: parked.call.Request}, err)...)
			continue
		}
		effects = append(effects, st.decided(parked, ls.ledger.Retake(team, ls.now(now)), now)...)
	}
	return effects
}

// cancelParked ends the wait of a call whose caller no longer waits.
func (st *State) cancelParked(id types.CallID, now time.Time) ([]types.Effect, bool) {
	ls := &st.limits
	index := slices.IndexFunc(ls.parked, func(parked parkedCall) bool { return parked.call.ID == id })
	if index < 0 {
		return nil, false
	}
	ls.ledger.Abandon(ls.parked[index].call.Team, false, ls.now(now))
	ls.parked = slices.Delete(ls.parked, index, index+1)
	return []types.Effect{trace.Count{Counter: trace.CallsCanceled}}, true
}

// notRun gives back the token of a call that did not run.
func (st *State) notRun(call flow.Call, now time.Time) {
	if call.Team != "" && st.limits.ledger != nil {
		st.limits.ledger.GiveBack(call.Team, st.limits.now(now))
	}
}

// tickLimits renews loans and decides on the calls that waited too long.
func (st *State) tickLimits(now time.Time) []types.Effect {
	ls := &st.limits
	ledger := st.quotaLedger(now)
	ledger.SetView(st.limitView(), ls.now(now))
	if !ledger.Limited() {
		return nil
	}
	trades := ledger.Tick(ls.now(now))
	effects := append(st.sendTrades(trades), st.unpark(now)...)
	effects = append(effects, st.sendTrades(ledger.Flush(ls.now(now)))...)
	for _, change := range ledger.Changes() {
		effects = append(effects, limitEvent(change))
	}
	return effects
}

func limitEvent(change quota.Change) trace.Event {
	state := "no longer refused"
	if change.Refused {
		state = "refused"
	}
	usage := change.Usage
	detail := fmt.Sprintf("team %s is %s: limit %g/s and %g at once, demand here %.1f/s, %d let through, %d refused, %d without an answer",
		change.Team, state, usage.Limit.Rate, usage.Limit.Burst, usage.Demand, usage.Taken, usage.Refused, usage.Unanswered)
	return trace.Event{Kind: trace.TeamLimited, Detail: detail}
}

// limitView returns what the limits need to know about the fleet.
func (st *State) limitView() quota.View {
	ls := &st.limits
	if hash := st.fleet.ViewHash(); hash != ls.viewHash || ls.view.Nodes == 0 {
		ls.viewHash = hash
		census := st.fleet.Census(startMargin)
		slices.Sort(census.Able)
		ls.view.Nodes, ls.view.Pools = census.Running, census.Able
		ls.view.Fresh = census.Together || census.Running == 1 && ls.seeds == 0
	}
	view := ls.view
	if st.fleet.LiveCount() == 0 {
		view.Nodes = max(view.Nodes, ls.seeds+1)
	}
	view.Stopping = st.stop.requested
	view.Joined = st.joined()
	return view
}

func (st *State) sendTrades(trades []quota.SendTrade) []types.Effect {
	var effects []types.Effect
	for _, trade := range trades {
		member, _ := st.fleet.Member(trade.Peer)
		trade.Address = member.Address
		effects = append(effects, trade)
	}
	return effects
}

// traded applies the events of trades with peers.
func (st *State) traded(event types.Event, now time.Time) []types.Effect {
	ls := &st.limits
	switch ev := event.(type) {
	case quota.TradeReceived:
		answer := st.quotaLedger(now).Receive(ev.Trade, ls.now(now))
		return []types.Effect{quota.ReplyTrade{Token: ev.Token, Answer: answer}}
	case quota.TradeAnswered:
		st.quotaLedger(now).Answered(ev.Peer, ev.Answer, ls.now(now))
	case quota.TradeFailed:
		st.quotaLedger(now).Failed(ev.Peer, ls.now(now))
	default:
		return nil
	}
	effects := st.unpark(now)
	return append(effects, st.sendTrades(ls.ledger.Flush(ls.now(now)))...)
}

// seedsFound counts the other nodes that discovery found.
func (ls *limitState) seedsFound(event fleet.SeedsFound) { ls.seeds = len(event.Addresses) }
