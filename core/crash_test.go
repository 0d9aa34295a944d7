package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
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
	check.Equal(sn.endUpstream(2), []string{"while it ran 2 requests: r content 000000000000000a since 80ms, r content 000000000000000b since 50ms"})
	check.Equal(sn.endUpstream(0), nil)

	sn.run(0xa)
	announcement.Leaving = true
	sn.announce(announcement)
	check.Equal(sn.endUpstream(1), nil)
}
