package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

func newStoppingNode(t *testing.T, margin time.Duration) *singleNode {
	t.Helper()
	sn := newUnannouncedNode(t, core.WithLinger(2200*time.Millisecond), core.WithStopLimit(5*time.Second), core.WithKeys(flow.KeyLimits{Margin: margin, Retention: time.Minute}))
	sn.announce(core.Announcement{Service: "s0", Slots: 10, Connections: 100})
	sn.step(core.StopRequested{})
	return sn
}

// TestUpstreamServesDuringAStop checks that the upstream of a node which is stopped alone
// stands idle only for the end of the stop: work that ends before the node exits goes on
// for two thirds of the linger time, and the node isn't ready.
func TestUpstreamServesDuringAStop(t *testing.T) {
	check := is.New(t)
	sn := newStoppingNode(t, 0)
	check.True(!sn.state.Ready())
	for range 14 {
		dispatched, _, _ := countOutcomes(sn.work(1, time.Second))
		check.Equal(dispatched, 1)
		sn.finishLast()
		sn.ticks(100 * time.Millisecond)
	}
	checkRefused(check, sn.work(1, 10*time.Second), 1, fault.Stopping) // it might outlive the node
	sn.ticks(200 * time.Millisecond)
	checkRefused(check, sn.work(1, time.Second), 1, fault.Stopping)
	check.True(sn.state.Fleet().Self().Leaving)
}

// TestStopWhereKeysAreInUse checks that a node accepts no work from the start of its stop
// where other entry nodes have to know of the stop before it exits.
func TestStopWhereKeysAreInUse(t *testing.T) {
	checkRefused(is.New(t), newStoppingNode(t, time.Second).work(1, time.Second), 1, fault.Stopping)
}

// TestSupersededNodeServesNoMore checks that a node ceases to accept work at once when a
// later process of its instance runs, also while it stops.
func TestSupersededNodeServesNoMore(t *testing.T) {
	check := is.New(t)
	sn := newStoppingNode(t, 0)
	later := sn.state.Fleet().Self()
	later.Incarnation, later.StartedAt, later.Address = later.Incarnation+100, later.StartedAt.Add(time.Hour), "10.0.0.9:1"
	sn.step(fleet.ExchangeReceived{Token: 1, Message: fleet.Message{From: "i1", Incarnation: 1, Version: 1, Members: []fleet.Member{later}}})
	checkRefused(check, sn.work(1, time.Second), 1, fault.Stopping)
}

// finishLast ends the latest work item with an answer.
func (sn *singleNode) finishLast() {
	sn.step(admit.Ended{ID: types.WorkID(sn.lastID), Outcome: fault.Ran, Complete: true})
}
