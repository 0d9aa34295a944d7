package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// run submits one work item with the given content and returns the effects.
func (sn *singleNode) run(content types.ContentHash) []types.Effect {
	sn.lastID++
	return sn.step(admit.Arrived{Work: admit.WorkItem{
		ID: types.WorkID(sn.lastID), Request: "r", Content: content, Service: "s0", Route: "s0", Importance: conf.Normal, Idempotent: true, Deadline: sn.now.Add(time.Minute),
	}})
}

// endUpstream ends the upstream's process while the latest count work items run, and
// returns the details of the events that say so.
func (sn *singleNode) endUpstream(count int) []string {
	for id := sn.lastID + 1 - uint64(count); id <= sn.lastID; id++ {
		sn.step(admit.Ended{ID: types.WorkID(id), Outcome: fault.Unknown, Err: fault.New(fault.BrokenAnswer, "EOF"), UpstreamEnded: true})
	}
	sn.now = sn.now.Add(50 * time.Millisecond)
	var details []string
	for _, effect := range sn.step(types.TimerFired{Timer: types.Timer{Kind: types.UpstreamEndSettled}}) {
		if event, ok := effect.(trace.Event); ok && event.Kind == trace.UpstreamEnded {
			details = append(details, event.Detail)
		}
	}
	return details
}

// TestEndOfUpstreamIsReportedWithWhatItRan checks that one event names all requests that
// an upstream's process ran when it ended, unless the process had announced its end.
func TestEndOfUpstreamIsReportedWithWhatItRan(t *testing.T) {
	check := is.New(t)
	announcement := core.Announcement{Service: "s0", Slots: 10, Connections: 100}
	sn := newUnannouncedNode(t)
	sn.announce(announcement)
	dispatched, _, _ := countOutcomes(sn.run(0xa))
	check.Equal(dispatched, 1)
	sn.now = sn.now.Add(30 * time.Millisecond)
	sn.run(0xb)
	check.Equal(sn.endUpstream(2), []string{"while it ran 2 requests: r content 000000000000000a after 30ms, r content 000000000000000b after 0s"})
	check.Equal(sn.endUpstream(0), nil)

	sn.announce(announcement)
	sn.run(0xc) // its caller leaves before the process ends
	sn.step(admit.Canceled{ID: types.WorkID(sn.lastID)})
	sn.step(admit.Ended{ID: types.WorkID(sn.lastID), Outcome: fault.Unknown, Err: fault.New(fault.Canceled, "left")})
	sn.run(0xd)
	sn.step(admit.Ended{ID: types.WorkID(sn.lastID), Outcome: fault.NotRun, Err: fault.New(fault.Unreachable, "refused")})
	check.Equal(sn.endUpstream(0), []string{"while it ran 1 requests: r content 000000000000000c after 0s"})

	sn.announce(announcement)
	sn.run(0xa)
	announcement.Leaving = true
	sn.announce(announcement)
	check.Equal(sn.endUpstream(1), nil)
}

// evidence returns what three other nodes tell of a request that ended their upstreams,
// the latest just now.
func evidence(content types.ContentHash) blame.Report {
	report := blame.Report{Hash: 1}
	for number := range 3 {
		report.Crashes = append(report.Crashes, blame.CrashReport{
			Source: types.InstanceID(fmt.Sprintf("i%d", number+1)), Number: 1, Age: time.Duration(2-number) * time.Second,
			Runs: []blame.Run{{Content: content, Elapsed: 50 * time.Millisecond}},
		})
	}
	return report
}

func (sn *singleNode) learn(report blame.Report) []types.Effect {
	effects := sn.step(fleet.ExchangeReceived{Token: 1, Message: fleet.Message{From: "i1", Blame: report}})
	sn.now = sn.now.Add(100 * time.Millisecond)
	return append(effects, sn.step(core.Tick{})...)
}

func failures(effects []types.Effect) []*fault.Error {
	var failed []*fault.Error
	for _, effect := range effects {
		if ef, ok := effect.(flow.Fail); ok {
			failed = append(failed, ef.Err)
		}
	}
	return failed
}

// TestHeldRequestIsRefusedAtEntryAndOwner checks that a request which ends upstreams is
// refused for good by the node to which it comes and by the one that would run it, also
// if it waits there, and that another on the same route is not.
func TestHeldRequestIsRefusedAtEntryAndOwner(t *testing.T) {
	check := is.New(t)
	sn := newUnannouncedNode(t)
	sn.announce(core.Announcement{Service: "s0", Slots: 1, Connections: 100})
	held := types.ContentHash(7).WithRoute("s0")
	sn.run(1)
	sn.run(held) // waits for the slot
	checkRefused(check, sn.learn(evidence(held)), 1, fault.Held)
	checkRefused(check, sn.run(held), 1, fault.Held)

	call := flow.CallArrived{Call: 1, Request: "r", Content: 7, Target: route.Request{Method: "GET", Path: "/s0/x"}}
	failed := failures(sn.step(call))
	check.Equal(len(failed), 1)
	check.Equal(failed[0].Kind, fault.Held)
	check.Equal(failed[0].Outcome, fault.NotRun)
	check.True(failed[0].RetryAfter > 50*time.Second)
	call.Call, call.Content = 2, 8
	check.Equal(len(failures(sn.step(call))), 0)

	check.Equal(len(sn.state.Holds(sn.now)), 1)
	sn.step(core.HoldLifted{Content: held})
	check.Equal(len(sn.state.Holds(sn.now)), 0)
	call.Call, call.Content = 3, 7
	check.Equal(len(failures(sn.step(call))), 0)
}

// TestRequestOnTrialRunsAtOneUpstreamAtATime checks that a request which ran when several
// upstreams ended at the same time waits a second, and that the owners of its service run
// it by turns then, one run at a time, until one has run it to its end.
func TestRequestOnTrialRunsAtOneUpstreamAtATime(t *testing.T) {
	check := is.New(t)
	sn := newNode(t, 1, 4)
	report := evidence(types.ContentHash(7).WithRoute("s0"))
	for i := range report.Crashes {
		report.Crashes[i].Age = time.Duration(i) * time.Millisecond
	}
	content := report.Crashes[0].Runs[0].Content
	sn.learn(report)
	check.Equal(len(sn.state.Holds(sn.now)), 0)
	turns := map[types.InstanceID]int{}
	for call := range 50 {
		arrived := flow.CallArrived{Call: types.CallID(call + 1), Content: 7, Target: route.Request{Method: "GET", Path: "/s0/x"}}
		for _, effect := range sn.step(arrived) {
			if start, ok := effect.(flow.StartAttempt); ok {
				turns[start.Target.ID]++
			}
		}
		sn.step(flow.CallCanceled{Call: arrived.Call})
		dispatched, refused, _ := countOutcomes(sn.run(content))
		check.Equal(dispatched+len(refused), 1)
		check.True(dispatched == 0 || turns["i0"] == 1) // the owner runs it in its turn, and once
		dispatched, _, _ = countOutcomes(sn.run(8))
		check.Equal(dispatched, 1)
		sn.step(admit.Ended{ID: types.WorkID(sn.lastID), Outcome: fault.Ran, Complete: true})
		sn.now = sn.now.Add(tickInterval)
		sn.step(core.Tick{})
	}
	check.Equal(len(turns), 4) // 4 s of turns after a second of waiting
	for _, count := range turns {
		check.True(count >= 9)
	}
	dispatched, _, _ := countOutcomes(sn.run(8))
	check.Equal(dispatched, 1)
}

// TestEvidenceSpreadsWithExchanges checks that the end of an upstream is told to the other
// owners of its service at once, and all evidence to a node that lacks some.
func TestEvidenceSpreadsWithExchanges(t *testing.T) {
	check := is.New(t)
	sn := newUnannouncedNode(t)
	sn.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
	sn.run(7)
	sn.step(admit.Ended{ID: types.WorkID(sn.lastID), Outcome: fault.Unknown, Err: fault.New(fault.BrokenAnswer, "EOF"), UpstreamEnded: true})
	sn.now = sn.now.Add(50 * time.Millisecond)
	told := map[types.InstanceID]blame.Report{}
	for _, effect := range sn.step(types.TimerFired{Timer: types.Timer{Kind: types.UpstreamEndSettled}}) {
		if exchange, ok := effect.(fleet.SendExchange); ok {
			told[exchange.Peer] = exchange.Message.Blame
		}
	}
	check.Equal(len(told["i1"].Crashes), 1)
	check.Equal(told["i1"].Crashes[0].Age, 50*time.Millisecond)

	sn.now = sn.now.Add(400 * time.Millisecond)
	sn.step(core.Tick{})
	sn.now = sn.now.Add(time.Minute)
	sn.step(core.Tick{})
	for _, asked := range []struct {
		hash uint64
		want int
	}{{told["i1"].Hash, 0}, {0, 1}} {
		for _, effect := range sn.step(fleet.ExchangeReceived{Token: 1, Message: fleet.Message{From: "i1", Blame: blame.Report{Hash: asked.hash}}}) {
			if reply, ok := effect.(fleet.ReplyExchange); ok {
				check.Equal(len(reply.Message.Blame.Crashes), asked.want)
			}
		}
	}
}

// TestUpstreamThatARequestEndedIsNotBlamed checks that work lost with the end of its
// upstream does not count as a failure of the upstream's next process.
func TestUpstreamThatARequestEndedIsNotBlamed(t *testing.T) {
	check := is.New(t)
	sn := newUnannouncedNode(t)
	sn.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
	sn.run(7)
	sn.endUpstream(1)
	check.Equal(sn.state.Load(sn.now).FaultShare, 0.0)
	sn.run(7)
	sn.step(admit.Ended{ID: types.WorkID(sn.lastID), Outcome: fault.Unknown, Err: fault.New(fault.BrokenAnswer, "EOF")})
	check.True(sn.state.Load(sn.now).FaultShare > 0)
}
