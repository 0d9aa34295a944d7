package core_test

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

var (
	epoch  = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	limits = flow.KeyLimits{Margin: 2 * time.Second, Retention: 10 * time.Minute}
)

// mint returns a UUIDv7 with the given time as its timestamp and the given number
// in place of its random bits.
func mint(at time.Time, number uint64) types.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], number)
	id[6] |= 0x70
	id[8] = 0x80 | id[8]&0x3f
	return types.Key(id.String())
}

func snapshot() conf.Snapshot {
	routeOf := func(name string, idempotent bool) conf.Route {
		return conf.Route{
			Name: types.RouteName(name), Service: "intake", Match: conf.Match{PathPrefix: "/" + name},
			Idempotent: idempotent, Importance: conf.Normal, Deadline: 5 * time.Second, Hedge: idempotent,
		}
	}
	snap, err := conf.NewSnapshot(conf.Root{Version: 1}, "digest", conf.Config{
		Services: []conf.Service{{Name: "intake"}},
		Routes:   []conf.Route{routeOf("status", true), routeOf("booking", false)},
	}, conf.Bundle{})
	if err != nil {
		panic(err)
	}
	return snap
}

func memberOf(id string, started time.Time) fleet.Member {
	return fleet.Member{
		ID: types.InstanceID(id), Address: types.Address(id + ":1"), Zone: "kolkata",
		Incarnation: uint64(started.UnixMilli()), StartedAt: started,
	}
}

// simulation is a small cluster whose nodes exchange messages through a list of
// pending steps. The test runs the steps in any order.
type simulation struct {
	now     time.Time
	nodes   []*simNode
	pending []func()
	calls   []*simCall
	works   map[types.WorkID]*simWork
	keyRuns map[types.Key]int
	// choose makes the random decisions, and order picks the next pending step.
	// Both return a number in [0, limit).
	choose, order func(limit int) int
	violations    []string
}

type simNode struct {
	state   *core.State
	process int
}

type simCall struct {
	node, process       int
	event               flow.CallArrived
	results, executions int
}

type simWork struct {
	id                   types.WorkID
	node, process        int
	call                 *simCall
	attempt              int
	work                 admit.WorkItem
	answerKept, answered bool
}

func newSimulation(size int, choose func(limit int) int) *simulation {
	sim := &simulation{now: epoch, works: map[types.WorkID]*simWork{}, keyRuns: map[types.Key]int{}, choose: choose, order: choose}
	for node := range size {
		sim.nodes = append(sim.nodes, &simNode{})
		sim.start(node)
	}
	sim.now = sim.now.Add(time.Minute)
	return sim
}

// start starts a new process for the node at an index and announces the process
// to all other nodes.
func (sim *simulation) start(node int) {
	nd := sim.nodes[node]
	nd.process++
	nd.state = core.New(memberOf(fmt.Sprintf("n%d", node), sim.now), core.WithKeys(limits), core.WithAdmission(admit.WithQueue(2)))
	nd.state.Step(conf.VersionOffered{Snapshot: snapshot(), Version: 1}, sim.now)
	nd.state.Step(core.RootRead{Epoch: nd.state.Fleet().Epoch(), Version: 1}, sim.now)
	sim.announce(node, false)
	sim.gossip()
}

func (sim *simulation) announce(node int, leaving bool) {
	announcement := core.Announcement{Service: "intake", Slots: 2, Connections: 4, Leaving: leaving}
	sim.step(node, core.UpstreamAnnounced{Announcement: announcement})
	sim.gossip()
}

func (sim *simulation) gossip() {
	for _, from := range sim.nodes {
		for to, nd := range sim.nodes {
			if from.state != nil && nd.state != nil && nd != from {
				self := from.state.Fleet().Self()
				message := fleet.Message{From: self.ID, Incarnation: self.Incarnation, Version: 1, Digest: "digest", Members: []fleet.Member{self}}
				sim.step(to, fleet.ExchangeAnswered{Peer: self.ID, Address: self.Address, Message: message})
			}
		}
	}
}

func (sim *simulation) schedule(run func()) { sim.pending = append(sim.pending, run) }

// runPending runs one pending step.
func (sim *simulation) runPending() {
	if len(sim.pending) == 0 {
		return
	}
	i := sim.order(len(sim.pending))
	run := sim.pending[i]
	sim.pending = append(sim.pending[:i:i], sim.pending[i+1:]...)
	run()
}

func (sim *simulation) call(node int, path string, key types.Option[types.Key]) {
	id := types.CallID(len(sim.calls) + 1)
	event := flow.CallArrived{
		Call: id, Request: types.RequestID(fmt.Sprint("r", id)), Key: key, Target: route.Request{Method: "POST", Path: path},
	}
	call := &simCall{node: node, process: sim.nodes[node].process, event: event}
	sim.calls = append(sim.calls, call)
	sim.step(node, event)
}

func (sim *simulation) step(node int, event types.Event) {
	nd := sim.nodes[node]
	process := nd.process
	for _, effect := range nd.state.Step(event, sim.now) {
		sim.apply(node, process, effect)
	}
}

// scheduleStep schedules an event for a process of a node, sometimes twice, as if
// a message was duplicated. The event is dropped if the node restarts before the
// event is due.
func (sim *simulation) scheduleStep(node, process int, event types.Event) {
	run := func() {
		if sim.nodes[node].process == process {
			sim.step(node, event)
		}
	}
	sim.schedule(run)
	if sim.choose(8) == 0 {
		sim.schedule(run)
	}
}

func (sim *simulation) apply(node, process int, effect types.Effect) {
	switch ef := effect.(type) {
	case flow.StartAttempt:
		call := sim.calls[ef.Call-1]
		sim.schedule(func() { sim.arrive(call, ef) })
	case flow.CancelAttempt:
		for _, work := range sim.works {
			if work.call == sim.calls[ef.Call-1] && work.attempt == ef.Attempt {
				sim.scheduleStep(work.node, work.process, admit.Canceled{ID: work.id})
			}
		}
	case types.SetTimer:
		sim.schedule(func() {
			if sim.now.Before(ef.At) {
				sim.now = ef.At
			}
			sim.scheduleStep(node, process, types.TimerFired{Timer: ef.Timer})
		})
	case admit.Dispatch:
		sim.dispatch(sim.works[ef.Work.ID])
	case admit.Refuse:
		sim.reply(sim.works[ef.Work.ID], flow.AttemptEnded{Verdict: flow.NotRun, Err: ef.Err})
	case flow.Settle:
		sim.reply(sim.works[ef.Work], flow.AttemptEnded{Verdict: ef.Verdict, Err: ef.Err, KeyDeclined: ef.KeyDeclined})
	case flow.Replay:
		if !sim.works[ef.Of].answerKept {
			sim.violation("work %d replays the answer of work %d, which was dropped", ef.Work, ef.Of)
		}
		sim.reply(sim.works[ef.Work], flow.AttemptEnded{Verdict: flow.Answered})
	case flow.DeleteWork:
		sim.works[ef.Work].answerKept = false
	case flow.Deliver:
		sim.finishCall(sim.calls[ef.Call-1], nil)
	case flow.Fail:
		sim.finishCall(sim.calls[ef.Call-1], ef.Err)
	}
}

// arrive delivers an attempt to its owner node. Some attempts fail to be sent, and
// for some the connection is lost although the work arrives.
func (sim *simulation) arrive(call *simCall, start flow.StartAttempt) {
	ended := flow.AttemptEnded{Call: start.Call, Attempt: start.Attempt, Err: fault.New(fault.Unreachable, "lost")}
	var node int
	_, _ = fmt.Sscanf(string(start.Target.ID), "n%d", &node)
	switch sim.choose(12) {
	case 0:
		ended.Verdict = flow.Unsent
		sim.scheduleStep(call.node, call.process, ended)
		return
	case 1:
		ended.Verdict = flow.Lost
		sim.scheduleStep(call.node, call.process, ended)
	}
	id := types.WorkID(len(sim.works) + 1)
	work := &simWork{id: id, node: node, process: sim.nodes[node].process, call: call, attempt: start.Attempt}
	work.work = admit.WorkItem{
		ID: id, Request: start.Request, Service: start.Route.Service, Route: start.Route.Name,
		Importance: start.Route.Importance, Idempotent: start.Route.Idempotent, Key: start.Key,
		LastOwner: start.LastOwner, KeyDeclinedBy: start.KeyDeclinedBy, Deadline: start.Deadline,
	}
	sim.works[id] = work
	sim.step(node, admit.Arrived{Work: work.work})
}

// dispatch runs a work item at the upstream. Some are refused, and some break off
// with an unknown outcome.
func (sim *simulation) dispatch(work *simWork) {
	ended := admit.Ended{ID: work.id, Outcome: fault.Ran, Elapsed: 10 * time.Millisecond, Size: 10, Complete: true}
	switch sim.choose(6) {
	case 0:
		ended.Outcome, ended.Err = fault.NotRun, fault.New(fault.Overloaded, "shed")
	case 1:
		ended.Outcome, ended.Err = fault.Unknown, fault.New(fault.BrokenAnswer, "cut")
	}
	if ended.Outcome != fault.NotRun {
		work.call.executions++
		if key, ok := work.work.Key.Get(); ok && !work.work.Idempotent {
			sim.keyRuns[key]++
		}
	}
	verdicts := map[fault.Outcome]flow.Verdict{fault.Ran: flow.Answered, fault.NotRun: flow.NotRun, fault.Unknown: flow.Lost}
	sim.schedule(func() {
		if sim.nodes[work.node].process != work.process {
			if !work.answered {
				sim.reply(work, flow.AttemptEnded{Verdict: flow.Lost, Err: fault.New(fault.Unreachable, "cut")})
			}
			return
		}
		if work.work.Keyed() {
			work.answerKept = true
		} else {
			sim.reply(work, flow.AttemptEnded{Verdict: verdicts[ended.Outcome], Err: ended.Err})
		}
		sim.scheduleStep(work.node, work.process, ended)
		sim.step(work.node, ended)
	})
}

func (sim *simulation) reply(work *simWork, ended flow.AttemptEnded) {
	if work.answered {
		sim.violation("work %d is answered twice", work.id)
	}
	work.answered = true
	ended.Call, ended.Attempt = work.call.event.Call, work.attempt
	if sim.choose(12) == 0 {
		ended = flow.AttemptEnded{Call: ended.Call, Attempt: ended.Attempt, Verdict: flow.Lost, Err: fault.New(fault.Unreachable, "lost")}
	}
	sim.scheduleStep(work.call.node, work.call.process, ended)
}

func (sim *simulation) finishCall(call *simCall, err *fault.Error) {
	call.results++
	if call.results > 1 {
		sim.violation("call %d has two results", call.event.Call)
	}
	if err != nil && err.Outcome == fault.NotRun && call.executions > 0 {
		sim.violation("call %d ran, but its caller got %v", call.event.Call, err)
	}
}

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}
