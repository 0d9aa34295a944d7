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

// TestUpstreamWhoseAnswerSaysThatItLeavesGetsNoWork guards against work sent to a process
// whose announcements do not say yet, or no longer, what its answers say.
func TestUpstreamWhoseAnswerSaysThatItLeavesGetsNoWork(t *testing.T) {
	ready := core.Announcement{Process: "p", StartedAt: start, Sequence: 7, Service: "s0", Slots: 1, Connections: 100}
	late, again := ready, ready
	late.Sequence, again.Sequence = 8, 10
	drains := ready
	drains.Sequence, drains.Leaving = 9, true
	replaced := ready
	replaced.StartedAt, replaced.Sequence = start.Add(time.Second), 1
	for _, test := range []struct {
		name     string
		announce []core.Announcement
		wait     time.Duration
		want     bool
	}{
		{"nothing announced", nil, 0, false},
		{"announced ready, sent before the answer", []core.Announcement{late}, 0, false},
		{"announced ready, then draining", []core.Announcement{late, drains}, 0, false},
		{"draining, then an earlier announcement", []core.Announcement{drains, late}, 0, false},
		{"draining, then stays after all", []core.Announcement{drains, again}, 0, true},
		{"announced ready for long", []core.Announcement{late}, 2 * time.Minute, true},
		{"another process", []core.Announcement{replaced}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			sn := newUnannouncedNode(t)
			sn.announce(ready)
			sn.work(2, time.Minute) // one runs, one waits
			ended := admit.Ended{ID: types.WorkID(sn.lastID - 1), Outcome: fault.Ran, Complete: true}
			ended.Demand = types.Some(admit.Demand{Process: "p", Leaving: true})
			dispatched, refused, _ := countOutcomes(sn.step(ended))
			check.Equal(dispatched, 0)
			check.Equal(len(refused), 1) // the one that waited may run elsewhere
			check.Equal(refused[0].Outcome, fault.NotRun)
			check.True(!sn.state.Fleet().Self().AcceptsWork())
			check.True(sn.state.Fleet().Self().Departure.IsSome())
			sn.now = sn.now.Add(test.wait)
			for _, announcement := range test.announce {
				sn.announce(announcement)
			}
			dispatched, _, _ = countOutcomes(sn.work(1, time.Minute))
			check.Equal(dispatched == 1, test.want)
			check.Equal(sn.state.Fleet().Self().AcceptsWork(), test.want)
		})
	}
}
