package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
)

// TestDepartureAfterRestart ends a process at a node that started just before
// and has not heard of it, and then delivers announcements: late ones of that
// process name no upstream, those of its next start do.
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
			sg := newSilent(t, 1, 2)
			sg.announce(core.Announcement{Process: "p", Gone: true})
			sg.now = sg.now.Add(test.wait)
			sg.announce(core.Announcement{Process: "p", Born: test.born, Service: "s0", Slots: 10, Connections: 100})
			dispatched, refused, _ := tally(sg.work(1, time.Second))
			check.Equal(dispatched == 1, test.want)
			check.True(test.want || refused[0].Kind == fault.NoUpstream)
		})
	}
}

// TestDepartureBeforeRestart ends a process, starts its node again and delivers
// a late announcement of that process, which must not name it again.
func TestDepartureBeforeRestart(t *testing.T) {
	check := is.New(t)
	late := core.Announcement{Process: "p", Born: start.Add(-time.Minute), Service: "s0", Slots: 10, Connections: 100}
	before := newSilent(t, 1, 2)
	before.announce(late)
	before.announce(core.Announcement{Process: "p", Gone: true})
	after := newSilent(t, 1, 2)
	after.now = after.now.Add(2 * time.Second)
	after.announce(late)
	dispatched, _, _ := tally(after.work(1, time.Second))
	check.Equal(dispatched, 0)
}
