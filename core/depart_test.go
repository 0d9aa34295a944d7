package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
)

// TestDepartureAfterRestart guards against a late announcement that brings back an
// upstream process that has ended. The node restarts and knows no upstream. The
// process then announces its end, and after that another announcement with the
// same process ID arrives. It must be ignored if it is a late one of the ended
// process. It must be accepted if the process has started again, or if late
// announcements can no longer arrive.
func TestDepartureAfterRestart(t *testing.T) {
	for _, test := range []struct {
		name string
		born time.Time
		wait time.Duration
		want bool
	}{
		{"late", start.Add(-time.Minute), time.Second, false},
		{"late, no start", time.Time{}, time.Second, false},
		{"started again", start.Add(500 * time.Millisecond), time.Second, true},
		{"no start, long after", time.Time{}, 11 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			sn := newUnannouncedNode(t, 1, 2)
			sn.announce(core.Announcement{Process: "p", Ending: true})
			sn.now = sn.now.Add(test.wait)
			sn.announce(core.Announcement{Process: "p", StartedAt: test.born, Service: "s0", Slots: 10, Connections: 100})
			dispatched, refused, _ := countOutcomes(sn.work(1, time.Second))
			check.Equal(dispatched == 1, test.want)
			check.True(test.want || refused[0].Kind == fault.NoUpstream)
		})
	}
}

// TestDepartureBeforeRestart guards against a late announcement that brings back an
// upstream process that has ended. The process announces its end, and then its owner
// node restarts. After the restart, a late announcement of the process arrives. It
// must be ignored.
func TestDepartureBeforeRestart(t *testing.T) {
	check := is.New(t)
	late := core.Announcement{Process: "p", StartedAt: start.Add(-time.Minute), Service: "s0", Slots: 10, Connections: 100}
	before := newUnannouncedNode(t, 1, 2)
	before.announce(late)
	before.announce(core.Announcement{Process: "p", Ending: true})
	after := newUnannouncedNode(t, 1, 2)
	after.now = after.now.Add(2 * time.Second)
	after.announce(late)
	dispatched, _, _ := countOutcomes(after.work(1, time.Second))
	check.Equal(dispatched, 0)
}
