package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// TestLateCallsAskFewOwners plays a crest: callers come back after a refusal, too late
// to meet the target latency, while all owners but one report that their slots are
// taken and that work waits which can still meet its own. A call must get its refusal
// after a few owners have said so, with the time to come back, and must still find the
// one free slot.
func TestLateCallsAskFewOwners(t *testing.T) {
	const owners = 9
	for _, free := range []bool{false, true} {
		t.Run(fmt.Sprintf("one free %t", free), func(t *testing.T) {
			check := is.New(t)
			sn := newLateNode(t, owners)
			busy := route.Load{Outstanding: 10, Queued: 3}
			asked, answered := 0, 0
			const calls = 40
			for id := types.CallID(1); id <= calls; id++ {
				sn.now = sn.now.Add(5 * time.Millisecond)
				effects := sn.step(flow.CallArrived{Call: id, Request: "r", Target: route.Request{Method: "GET", Path: "/s0"}, Limit: types.Some(time.Second)})
				for i := 0; i < len(effects); i++ {
					if failed, ok := effects[i].(flow.Fail); ok {
						check.True(failed.Err.RetryAfter > 0)
					}
					attempt, ok := effects[i].(flow.StartAttempt)
					if !ok {
						continue
					}
					asked++
					ended := flow.AttemptEnded{Call: id, Attempt: attempt.Attempt, Verdict: flow.NotRun, Load: busy, Err: fault.New(fault.Overloaded, "full").WithRetryAfter(time.Second)}
					if free && attempt.Target.ID == "i5" {
						ended = flow.AttemptEnded{Call: id, Attempt: attempt.Attempt, Verdict: flow.Answered, Elapsed: 20 * time.Millisecond}
						answered++
					}
					effects = append(effects, sn.step(ended)...)
				}
			}
			if free {
				check.True(answered > calls*9/10)
			}
			check.True(asked < calls*2)
		})
	}
}

// newLateNode returns an entry node without an upstream of its own, in a fleet with the
// given number of owners, whose route has a target latency that no call can meet any
// more.
func newLateNode(t *testing.T, owners int) *singleNode {
	sn := newConfiguredNode(t, 1, owners, nil)
	config := sn.snapshot.Config()
	config.Routes[0].TargetLatency = time.Millisecond
	snapshot, err := conf.NewSnapshot(conf.Root{Version: 2}, "", config, conf.Bundle{})
	if err != nil {
		t.Fatal(err)
	}
	sn.step(conf.VersionOffered{Snapshot: snapshot, Version: 2})
	sn.step(core.Tick{})
	return sn
}
