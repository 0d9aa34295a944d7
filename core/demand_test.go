package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// answerWith lets one work item run at the node's upstream, whose answer carries the
// given demand. It returns the details of the recorded changes of the rate limit.
func (sn *singleNode) answerWith(demand admit.Demand) []string {
	sn.work(1, time.Minute)
	var details []string
	ended := admit.Ended{ID: types.WorkID(sn.lastID), Outcome: fault.Ran, Complete: true, Demand: types.Some(demand)}
	for _, effect := range sn.step(ended) {
		if event, ok := effect.(trace.Event); ok && event.Kind == trace.RateLimitChanged {
			details = append(details, event.Detail)
		}
	}
	return details
}

// TestRateLimitIsThatOfTheUpstreamsProcess checks that a limit lasts as long as the
// upstream names it, that it ends with the process, and that a late answer of an earlier
// process sets none.
func TestRateLimitIsThatOfTheUpstreamsProcess(t *testing.T) {
	check := is.New(t)
	sn := newUnannouncedNode(t)
	announcement := core.Announcement{Process: "p", StartedAt: start, Service: "s0", Slots: 10, Connections: 100}
	sn.announce(announcement)
	check.Equal(sn.answerWith(admit.Demand{Process: "p", RateLimit: 4}), []string{"4.0 a second"})
	check.Equal(sn.answerWith(admit.Demand{Process: "p", RateLimit: 4.1}), nil)
	for range 5 {
		sn.work(1, time.Minute)
	}
	check.True(sn.state.Load(sn.now).RateWait > time.Second)

	announcement.Process, announcement.StartedAt = "q", start.Add(time.Second)
	sn.announce(announcement)
	check.Equal(sn.state.Load(sn.now).RateWait, time.Duration(0))
	check.Equal(sn.answerWith(admit.Demand{Process: "p", RateLimit: 4}), nil)
	check.Equal(sn.answerWith(admit.Demand{Process: "q", RateLimit: 8}), []string{"8.0 a second"})
	check.Equal(sn.answerWith(admit.Demand{Process: "q"}), []string{"none"})
}
