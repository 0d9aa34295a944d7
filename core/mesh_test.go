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

// mint returns the UUIDv7 of an instant and a number.
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
		Incarnation: uint64(started.UnixMilli()), Started: started,
	}
}

// mesh is a few reducers that exchange work through a list of pending steps,
// which the test takes in any order.
type mesh struct {
	now     time.Time
	nodes   []*meshNode
	pending []func()
	calls   []*meshCall
	works   map[types.WorkID]*meshWork
	keyRuns map[types.Key]int
	// choose decides what happens and order which pending step comes next.
	choose, order func(limit int) int
	faults        []string
}

type meshNode struct {
	state   *core.State
	process int
}

type meshCall struct {
	node, process int
	event         flow.CallArrived
	ends, runs    int
}

type meshWork struct {
	id            types.WorkID
	node, process int
	call          *meshCall
	attempt       int
	work          admit.Work
	kept, settled bool
}

func newMesh(size int, choose func(limit int) int) *mesh {
	ms := &mesh{now: epoch, works: map[types.WorkID]*meshWork{}, keyRuns: map[types.Key]int{}, choose: choose, order: choose}
	for at := range size {
		ms.nodes = append(ms.nodes, &meshNode{})
		ms.start(at)
	}
	ms.now = ms.now.Add(time.Minute)
	return ms
}

// start gives a place a new process, of which all nodes hear.
func (ms *mesh) start(at int) {
	nd := ms.nodes[at]
	nd.process++
	nd.state = core.New(memberOf(fmt.Sprintf("n%d", at), ms.now), core.WithKeys(limits), core.WithGate(admit.WithQueue(2)))
	nd.state.Step(conf.Offered{Snapshot: snapshot(), Version: 1}, ms.now)
	nd.state.Step(core.RootRead{Epoch: nd.state.Fleet().Epoch(), Version: 1}, ms.now)
	ms.announce(at, false)
	ms.spread()
}

func (ms *mesh) announce(at int, leaving bool) {
	announcement := core.Announcement{Service: "intake", Slots: 2, Connections: 4, Leaving: leaving}
	ms.step(at, core.UpstreamAnnounced{Announcement: announcement})
	ms.spread()
}

func (ms *mesh) spread() {
	for _, from := range ms.nodes {
		for to, nd := range ms.nodes {
			if from.state != nil && nd.state != nil && nd != from {
				self := from.state.Fleet().Self()
				message := fleet.Message{From: self.ID, Incarnation: self.Incarnation, Version: 1, Digest: "digest", Members: []fleet.Member{self}}
				ms.step(to, fleet.ExchangeAnswered{Peer: self.ID, Address: self.Address, Message: message})
			}
		}
	}
}

func (ms *mesh) later(run func()) { ms.pending = append(ms.pending, run) }

// pump takes one pending step.
func (ms *mesh) pump() {
	if len(ms.pending) == 0 {
		return
	}
	at := ms.order(len(ms.pending))
	run := ms.pending[at]
	ms.pending = append(ms.pending[:at:at], ms.pending[at+1:]...)
	run()
}

func (ms *mesh) call(at int, path string, key types.Option[types.Key]) {
	id := types.CallID(len(ms.calls) + 1)
	event := flow.CallArrived{
		Call: id, Request: types.RequestID(fmt.Sprint("r", id)), Key: key, Target: route.Request{Method: "POST", Path: path},
	}
	call := &meshCall{node: at, process: ms.nodes[at].process, event: event}
	ms.calls = append(ms.calls, call)
	ms.step(at, event)
}

func (ms *mesh) step(at int, event types.Event) {
	nd := ms.nodes[at]
	process := nd.process
	for _, effect := range nd.state.Step(event, ms.now) {
		ms.run(at, process, effect)
	}
}

// stepLater plans an event, sometimes twice, for a process that still runs.
func (ms *mesh) stepLater(at, process int, event types.Event) {
	run := func() {
		if ms.nodes[at].process == process {
			ms.step(at, event)
		}
	}
	ms.later(run)
	if ms.choose(8) == 0 {
		ms.later(run)
	}
}

func (ms *mesh) run(at, process int, effect types.Effect) {
	switch ef := effect.(type) {
	case flow.StartAttempt:
		call := ms.calls[ef.Call-1]
		ms.later(func() { ms.arrive(call, ef) })
	case flow.CancelAttempt:
		for _, work := range ms.works {
			if work.call == ms.calls[ef.Call-1] && work.attempt == ef.Attempt {
				ms.stepLater(work.node, work.process, admit.Canceled{ID: work.id})
			}
		}
	case types.SetTimer:
		ms.later(func() {
			if ms.now.Before(ef.At) {
				ms.now = ef.At
			}
			ms.stepLater(at, process, types.TimerFired{Timer: ef.Timer})
		})
	case admit.Dispatch:
		ms.dispatch(ms.works[ef.Work.ID])
	case admit.Refuse:
		ms.reply(ms.works[ef.Work.ID], flow.AttemptEnded{Verdict: flow.NotRun, Err: ef.Err})
	case flow.Settle:
		ms.reply(ms.works[ef.Work], flow.AttemptEnded{Verdict: ef.Verdict, Err: ef.Err, PassedOn: ef.PassedOn})
	case flow.Replay:
		if !ms.works[ef.Of].kept {
			ms.fault("work %d replays the answer of %d, which is not kept", ef.Work, ef.Of)
		}
		ms.reply(ms.works[ef.Work], flow.AttemptEnded{Verdict: flow.Answered})
	case flow.Forget:
		ms.works[ef.Work].kept = false
	case flow.Deliver:
		ms.end(ms.calls[ef.Call-1], nil)
	case flow.Fail:
		ms.end(ms.calls[ef.Call-1], ef.Err)
	}
}

// arrive brings an attempt to its owner, or loses it on the way.
func (ms *mesh) arrive(call *meshCall, start flow.StartAttempt) {
	ended := flow.AttemptEnded{Call: start.Call, Attempt: start.Attempt, Err: fault.New(fault.Unreachable, "lost")}
	var at int
	_, _ = fmt.Sscanf(string(start.Target.ID), "n%d", &at)
	switch ms.choose(12) {
	case 0:
		ended.Verdict = flow.Unsent
		ms.stepLater(call.node, call.process, ended)
		return
	case 1:
		ended.Verdict = flow.Lost
		ms.stepLater(call.node, call.process, ended)
	}
	id := types.WorkID(len(ms.works) + 1)
	work := &meshWork{id: id, node: at, process: ms.nodes[at].process, call: call, attempt: start.Attempt}
	work.work = admit.Work{
		ID: id, Request: start.Request, Service: start.Route.Service, Route: start.Route.Name,
		Importance: start.Route.Importance, Idempotent: start.Route.Idempotent, Key: start.Key,
		Last: start.Last, Deadline: start.Deadline,
	}
	ms.works[id] = work
	ms.step(at, admit.Arrived{Work: work.work})
}

// dispatch runs a work at the upstream, which may shed it.
func (ms *mesh) dispatch(work *meshWork) {
	ended := admit.Ended{ID: work.id, Ran: fault.Ran, Elapsed: 10 * time.Millisecond, Size: 10, Whole: true}
	switch ms.choose(6) {
	case 0:
		ended.Ran, ended.Err = fault.NotRun, fault.New(fault.Overloaded, "shed")
	case 1:
		ended.Ran, ended.Err = fault.Unknown, fault.New(fault.BrokenAnswer, "cut")
	}
	if ended.Ran != fault.NotRun {
		work.call.runs++
		if key, ok := work.work.Key.Get(); ok && !work.work.Idempotent {
			ms.keyRuns[key]++
		}
	}
	verdicts := map[fault.Outcome]flow.Verdict{fault.Ran: flow.Answered, fault.NotRun: flow.NotRun, fault.Unknown: flow.Lost}
	ms.later(func() {
		if ms.nodes[work.node].process != work.process {
			if !work.settled {
				ms.reply(work, flow.AttemptEnded{Verdict: flow.Lost, Err: fault.New(fault.Unreachable, "cut")})
			}
			return
		}
		if work.work.Keyed() {
			work.kept = true
		} else {
			ms.reply(work, flow.AttemptEnded{Verdict: verdicts[ended.Ran], Err: ended.Err})
		}
		ms.stepLater(work.node, work.process, ended)
		ms.step(work.node, ended)
	})
}

func (ms *mesh) reply(work *meshWork, ended flow.AttemptEnded) {
	if work.settled {
		ms.fault("work %d is answered twice", work.id)
	}
	work.settled = true
	ended.Call, ended.Attempt = work.call.event.Call, work.attempt
	if ms.choose(12) == 0 {
		ended = flow.AttemptEnded{Call: ended.Call, Attempt: ended.Attempt, Verdict: flow.Lost, Err: fault.New(fault.Unreachable, "lost")}
	}
	ms.stepLater(work.call.node, work.call.process, ended)
}

func (ms *mesh) end(call *meshCall, err *fault.Error) {
	call.ends++
	if call.ends > 1 {
		ms.fault("call %d has two ends", call.event.Call)
	}
	if err != nil && err.Outcome == fault.NotRun && call.runs > 0 {
		ms.fault("call %d ran and was told %v", call.event.Call, err)
	}
}

func (ms *mesh) fault(format string, args ...any) {
	ms.faults = append(ms.faults, fmt.Sprintf(format, args...))
}
