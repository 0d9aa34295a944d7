package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
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
			sn := newUnannouncedNode(t)
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
// upstream process that has departed. The process departs, and then its owner node
// restarts. The restarted node learns of the departure from its record on the
// platform or from a peer, before or after an announcement arrives. A late
// announcement must be ignored. One of a later process, or one in which the process
// accepts work again, must be accepted.
func TestDepartureBeforeRestart(t *testing.T) {
	first := core.Announcement{Process: "p", StartedAt: start.Add(-time.Minute), Sequence: 7, Service: "s0", Slots: 10, Connections: 100}
	drains := first
	drains.Sequence, drains.Leaving = 8, true
	stays := first
	stays.Sequence = 9
	replaced := first
	replaced.StartedAt, replaced.Sequence = start, 1
	ends := core.Announcement{Process: "p", Ending: true}
	for _, test := range []struct {
		name           string
		departs, after core.Announcement
		want           bool
	}{
		{"ended, late announcement", ends, first, false},
		{"draining, late announcement", drains, first, false},
		{"draining, then stays", drains, stays, true},
		{"ended, new process of the same name", ends, replaced, true},
		{"draining, new process of the same name", drains, replaced, true},
	} {
		for _, way := range []string{"record", "peer"} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, by %s, learned after it %t", test.name, way, late), func(t *testing.T) {
					check := is.New(t)
					before := newUnannouncedNode(t)
					before.announce(first)
					learned := departureEvent(t, way, before.announce(test.departs), before.state.Fleet().Self())
					after := newUnannouncedNode(t)
					after.now = after.now.Add(2 * time.Second)
					if late {
						after.announce(test.after)
					}
					after.step(learned)
					if !late {
						after.announce(test.after)
					}
					dispatched, _, _ := countOutcomes(after.work(1, time.Second))
					check.Equal(dispatched == 1, test.want)
				})
			}
		}
	}
}

// departureEvent returns the event by which a restarted node learns of a departure
// that led to the given effects and to the given record of the node.
func departureEvent(t *testing.T, way string, effects []types.Effect, self fleet.Member) types.Event {
	t.Helper()
	if way == "peer" {
		reported := self.WithStartedAt(self.StartedAt.Add(-time.Second)).WithStatus(fleet.Dead)
		return fleet.ExchangeReceived{Message: fleet.Message{From: "i1", Incarnation: 1, Members: []fleet.Member{reported}}}
	}
	for _, effect := range effects {
		if recorded, ok := effect.(core.RecordDeparture); ok {
			return core.RecordRead{Departure: types.Some(recorded.Departure)}
		}
	}
	t.Fatal("the departure was not recorded")
	return nil
}

// TestNoWorkBeforeRecordIsRead checks that a started node gives its upstream no
// work until its record on the platform was read, or until the limit has passed and the
// upstream goes on announcing itself.
func TestNoWorkBeforeRecordIsRead(t *testing.T) {
	announcement := core.Announcement{Process: "p", Service: "s0", Slots: 10, Connections: 100}
	for _, test := range []struct {
		name string
		wait time.Duration
		read bool
		want bool
	}{
		{"not read", 900 * time.Millisecond, false, false},
		{"not read within the limit", time.Second, false, false},
		{"not read, and the upstream goes on", 2 * time.Second, false, true},
		{"read", 100 * time.Millisecond, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			sn := newUnannouncedNode(t, core.WithRecordRead(time.Second))
			sn.step(core.Tick{})
			sn.announce(announcement)
			for end := sn.now.Add(test.wait); sn.now.Before(end); {
				sn.now = sn.now.Add(tickInterval)
				sn.step(core.Tick{})
				if sn.now.Sub(start)%time.Second == 0 {
					sn.announce(announcement)
				}
			}
			if test.read {
				sn.step(core.RecordRead{})
			}
			dispatched, _, _ := countOutcomes(sn.work(1, time.Second))
			check.Equal(dispatched == 1, test.want)
			check.Equal(sn.state.Fleet().Self().AcceptsWork(), test.want)
		})
	}
}

// TestDepartureThatNobodyRemembers guards against work for an upstream process that has
// departed: the platform did not take the departure, all nodes restart, and announcements
// of before arrive late. A process that goes on must get work again.
func TestDepartureThatNobodyRemembers(t *testing.T) {
	type arrival struct {
		after    time.Duration
		sequence uint64
	}
	const old = -time.Hour
	for _, test := range []struct {
		name     string
		born     time.Duration // the start of the process, from the start of the node
		arrivals []arrival
		elder    bool // a peer that ran before has answered
		wait     time.Duration
		want     bool
	}{
		{"one late", old, []arrival{{2700 * time.Millisecond, 6}}, false, 3 * time.Second, false},
		{"two late, close together", old, []arrival{{2 * time.Second, 6}, {2600 * time.Millisecond, 7}}, false, 3 * time.Second, false},
		{"two late, a period apart by chance", old, []arrival{{2 * time.Second, 6}, {3 * time.Second, 7}}, false, 4 * time.Second, false},
		{"four late at once", old, []arrival{{2 * time.Second, 4}, {2 * time.Second, 5}, {2 * time.Second, 6}, {2 * time.Second, 7}}, false, 3 * time.Second, false},
		{"goes on", old, []arrival{{500 * time.Millisecond, 6}, {1400 * time.Millisecond, 7}, {2500 * time.Millisecond, 8}}, false, 2500 * time.Millisecond, true},
		{"goes on, one is lost", old, []arrival{{500 * time.Millisecond, 6}, {2500 * time.Millisecond, 8}}, false, 2500 * time.Millisecond, true},
		{"late, then goes on", old, []arrival{{100 * time.Millisecond, 4}, {300 * time.Millisecond, 7}, {1300 * time.Millisecond, 8}, {2300 * time.Millisecond, 9}}, false, 2500 * time.Millisecond, true},
		{"started after the node", time.Second, []arrival{{1200 * time.Millisecond, 1}}, false, 1500 * time.Millisecond, true},
		{"started with the node", -time.Second, []arrival{{500 * time.Millisecond, 1}}, false, 1100 * time.Millisecond, true},
		{"a peer remembers", old, []arrival{{500 * time.Millisecond, 6}}, true, 1100 * time.Millisecond, true},
		{"long after", old, []arrival{{10500 * time.Millisecond, 6}}, false, 11 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			sn := newUnannouncedNode(t, core.WithRecordRead(time.Second))
			born := sn.state.Fleet().Self().StartedAt
			if test.elder {
				elder := fleet.Member{ID: "i9", Incarnation: 1, Address: "10.0.1.9:1", Zone: "howrah", StartedAt: born.Add(-time.Minute)}
				sn.step(fleet.ExchangeAnswered{Peer: "i9", Epoch: sn.state.Fleet().Epoch(), Message: fleet.Message{From: "i9", Incarnation: 1, Version: 1, Members: []fleet.Member{elder}}})
			}
			sn.step(core.Tick{})
			began := sn.now
			for sn.now.Sub(began) < test.wait {
				sn.now = sn.now.Add(tickInterval)
				sn.step(core.Tick{})
				for _, arrival := range test.arrivals {
					if arrival.after == sn.now.Sub(began) {
						sn.announce(core.Announcement{Process: "p", StartedAt: born.Add(test.born), Sequence: arrival.sequence, Service: "s0", Slots: 10, Connections: 100})
					}
				}
			}
			dispatched, _, _ := countOutcomes(sn.work(1, time.Second))
			check.Equal(dispatched == 1, test.want)
			check.Equal(sn.state.Fleet().Self().AcceptsWork(), test.want)
		})
	}
}

// TestDepartureOfAProvenProcessIsApplied guards against a departure that has no effect, as it
// is announced between two periods while the node still doubts what it has not seen.
func TestDepartureOfAProvenProcessIsApplied(t *testing.T) {
	check := is.New(t)
	sn := newUnannouncedNode(t, core.WithRecordRead(time.Second))
	announcement := core.Announcement{Process: "p", StartedAt: start.Add(-2 * time.Hour), Service: "s0", Slots: 10, Connections: 100}
	send := func(after time.Duration, leaving bool) {
		for end := sn.now.Add(after); sn.now.Before(end); {
			sn.now = sn.now.Add(tickInterval)
			sn.step(core.Tick{})
		}
		announcement.Sequence++
		announcement.Leaving = leaving
		sn.announce(announcement)
	}
	sn.step(core.Tick{})
	for range 3 {
		send(time.Second, false)
	}
	check.True(sn.state.Fleet().Self().AcceptsWork())
	send(300*time.Millisecond, true)
	check.True(!sn.state.Fleet().Self().AcceptsWork())
	send(200*time.Millisecond, false)
	check.True(sn.state.Fleet().Self().AcceptsWork())
}
