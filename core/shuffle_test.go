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

// shuffle is a few reducers that exchange work through a list of pending steps,
// which the test takes in any order.
type shuffle struct {
	now     time.Time
	nodes   []*shuffleNode
	pending []func()
	calls   []*shuffleCall
	works   map[types.WorkID]*shuffleWork
	keyRuns map[types.Key]int
	// choose decides what happens and order which pending step comes next.
	choose, order func(limit int) int
	faults        []string
}

type shuffleNode struct {
	state   *core.State
	process int
}

type shuffleCall struct {
	node, process int
	event         flow.CallArrived
	ends, runs    int
}

type shuffleWork struct {
	id            types.WorkID
	node, process int
	call          *shuffleCall
	attempt       int
	work          admit.Work
	kept, settled bool
}

func newShuffle(size int, choose func(limit int) int) *shuffle {
	sh := &shuffle{now: epoch, works: map[types.WorkID]*shuffleWork{}, keyRuns: map[types.Key]int{}, choose: choose, order: choose}
	for at := range size {
		sh.nodes = append(sh.nodes, &shuffleNode{})
		sh.start(at)
	}
	sh.now = sh.now.Add(time.Minute)
	return sh
}

// start gives a place a new process, of which all nodes hear.
func (sh *shuffle) start(at int) {
	nd := sh.nodes[at]
	nd.process++
	nd.state = core.New(memberOf(fmt.Sprintf("n%d", at), sh.now), core.WithKeys(limits), core.WithGate(admit.WithQueue(2)))
	nd.state.Step(conf.Offered{Snapshot: snapshot(), Version: 1}, sh.now)
	nd.state.Step(core.RootRead{Epoch: nd.state.Fleet().Epoch(), Version: 1}, sh.now)
	sh.announce(at, false)
	sh.spread()
}

func (sh *shuffle) announce(at int, leaving bool) {
	announcement := core.Announcement{Service: "intake", Slots: 2, Connections: 4, Leaving: leaving}
	sh.step(at, core.UpstreamAnnounced{Announcement: announcement})
	sh.spread()
}

func (sh *shuffle) spread() {
	for _, from := range sh.nodes {
		for to, nd := range sh.nodes {
			if from.state != nil && nd.state != nil && nd != from {
				self := from.state.Fleet().Self()
				message := fleet.Message{From: self.ID, Incarnation: self.Incarnation, Version: 1, Digest: "digest", Members: []fleet.Member{self}}
				sh.step(to, fleet.ExchangeAnswered{Peer: self.ID, Address: self.Address, Message: message})
			}
		}
	}
}

func (sh *shuffle) later(run func()) { sh.pending = append(sh.pending, run) }

// pump takes one pending step.
func (sh *shuffle) pump() {
	if len(sh.pending) == 0 {
		return
	}
	at := sh.order(len(sh.pending))
	run := sh.pending[at]
	sh.pending = append(sh.pending[:at:at], sh.pending[at+1:]...)
	run()
}

func (sh *shuffle) call(at int, path string, key types.Option[types.Key]) {
	id := types.CallID(len(sh.calls) + 1)
	event := flow.CallArrived{
		Call: id, Request: types.RequestID(fmt.Sprint("r", id)), Key: key, Target: route.Request{Method: "POST", Path: path},
	}
	call := &shuffleCall{node: at, process: sh.nodes[at].process, event: event}
	sh.calls = append(sh.calls, call)
	sh.step(at, event)
}

func (sh *shuffle) step(at int, event types.Event) {
	nd := sh.nodes[at]
	process := nd.process
	for _, effect := range nd.state.Step(event, sh.now) {
		sh.run(at, process, effect)
	}
}

// stepLater plans an event, sometimes twice, for a process that still runs.
func (sh *shuffle) stepLater(at, process int, event types.Event) {
	run := func() {
		if sh.nodes[at].process == process {
			sh.step(at, event)
		}
	}
	sh.later(run)
	if sh.choose(8) == 0 {
		sh.later(run)
	}
}

func (sh *shuffle) run(at, process int, effect types.Effect) {
	switch ef := effect.(type) {
	case flow.StartAttempt:
		call := sh.calls[ef.Call-1]
		sh.later(func() { sh.arrive(call, ef) })
	case flow.CancelAttempt:
		for _, work := range sh.works {
			if work.call == sh.calls[ef.Call-1] && work.attempt == ef.Attempt {
				sh.stepLater(work.node, work.process, admit.Canceled{ID: work.id})
			}
		}
	case types.SetTimer:
		sh.later(func() {
			if sh.now.Before(ef.At) {
				sh.now = ef.At
			}
			sh.stepLater(at, process, types.TimerFired{Timer: ef.Timer})
		})
	case admit.Dispatch:
		sh.dispatch(sh.works[ef.Work.ID])
	case admit.Refuse:
		sh.reply(sh.works[ef.Work.ID], flow.AttemptEnded{Verdict: flow.NotRun, Err: ef.Err})
	case flow.Settle:
		sh.reply(sh.works[ef.Work], flow.AttemptEnded{Verdict: ef.Verdict, Err: ef.Err, PassedOn: ef.PassedOn})
	case flow.Replay:
		if !sh.works[ef.Of].kept {
			sh.fault("work %d replays the answer of %d, which is not kept", ef.Work, ef.Of)
		}
		sh.reply(sh.works[ef.Work], flow.AttemptEnded{Verdict: flow.Answered})
	case flow.Forget:
		sh.works[ef.Work].kept = false
	case flow.Deliver:
		sh.end(sh.calls[ef.Call-1], nil)
	case flow.Fail:
		sh.end(sh.calls[ef.Call-1], ef.Err)
	}
}

// arrive brings an attempt to its owner, or loses it on the way.
func (sh *shuffle) arrive(call *shuffleCall, start flow.StartAttempt) {
	ended := flow.AttemptEnded{Call: start.Call, Attempt: start.Attempt, Err: fault.New(fault.Unreachable, "lost")}
	var at int
	_, _ = fmt.Sscanf(string(start.Target.ID), "n%d", &at)
	switch sh.choose(12) {
	case 0:
		ended.Verdict = flow.Unsent
		sh.stepLater(call.node, call.process, ended)
		return
	case 1:
		ended.Verdict = flow.Lost
		sh.stepLater(call.node, call.process, ended)
	}
	id := types.WorkID(len(sh.works) + 1)
	work := &shuffleWork{id: id, node: at, process: sh.nodes[at].process, call: call, attempt: start.Attempt}
	work.work = admit.Work{
		ID: id, Request: start.Request, Service: start.Route.Service, Route: start.Route.Name,
		Importance: start.Route.Importance, Idempotent: start.Route.Idempotent, Key: start.Key,
		Last: start.Last, Passed: start.Passed, Deadline: start.Deadline,
	}
	sh.works[id] = work
	sh.step(at, admit.Arrived{Work: work.work})
}

// dispatch runs a work at the upstream, which may shed it.
func (sh *shuffle) dispatch(work *shuffleWork) {
	ended := admit.Ended{ID: work.id, Ran: fault.Ran, Elapsed: 10 * time.Millisecond, Size: 10, Whole: true}
	switch sh.choose(6) {
	case 0:
		ended.Ran, ended.Err = fault.NotRun, fault.New(fault.Overloaded, "shed")
	case 1:
		ended.Ran, ended.Err = fault.Unknown, fault.New(fault.BrokenAnswer, "cut")
	}
	if ended.Ran != fault.NotRun {
		work.call.runs++
		if key, ok := work.work.Key.Get(); ok && !work.work.Idempotent {
			sh.keyRuns[key]++
		}
	}
	verdicts := map[fault.Outcome]flow.Verdict{fault.Ran: flow.Answered, fault.NotRun: flow.NotRun, fault.Unknown: flow.Lost}
	sh.later(func() {
		if sh.nodes[work.node].process != work.process {
			if !work.settled {
				sh.reply(work, flow.AttemptEnded{Verdict: flow.Lost, Err: fault.New(fault.Unreachable, "cut")})
			}
			return
		}
		if work.work.Keyed() {
			work.kept = true
		} else {
			sh.reply(work, flow.AttemptEnded{Verdict: verdicts[ended.Ran], Err: ended.Err})
		}
		sh.stepLater(work.node, work.process, ended)
		sh.step(work.node, ended)
	})
}

func (sh *shuffle) reply(work *shuffleWork, ended flow.AttemptEnded) {
	if work.settled {
		sh.fault("work %d is answered twice", work.id)
	}
	work.settled = true
	ended.Call, ended.Attempt = work.call.event.Call, work.attempt
	if sh.choose(12) == 0 {
		ended = flow.AttemptEnded{Call: ended.Call, Attempt: ended.Attempt, Verdict: flow.Lost, Err: fault.New(fault.Unreachable, "lost")}
	}
	sh.stepLater(work.call.node, work.call.process, ended)
}

func (sh *shuffle) end(call *shuffleCall, err *fault.Error) {
	call.ends++
	if call.ends > 1 {
		sh.fault("call %d has two ends", call.event.Call)
	}
	if err != nil && err.Outcome == fault.NotRun && call.runs > 0 {
		sh.fault("call %d ran and was told %v", call.event.Call, err)
	}
}

func (sh *shuffle) fault(format string, args ...any) {
	sh.faults = append(sh.faults, fmt.Sprintf(format, args...))
}
