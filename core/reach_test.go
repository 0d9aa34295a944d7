package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

// reachNode is a node that has joined a zone of two and polls the platform.
type reachNode struct {
	state *State
	now   time.Time
}

func newReachNode(is *is.I, interval time.Duration) *reachNode {
	is.Helper()
	return newReachNodeOf(is, interval, 2)
}

// newReachNodeOf returns a node of a zone with the given number of delegates.
func newReachNodeOf(is *is.I, interval time.Duration, delegates int) *reachNode {
	is.Helper()
	self := fleet.Member{ID: "a", Incarnation: 1, Address: "a:1", Zone: "kolkata", StartedAt: joinStart}
	rn := &reachNode{state: New(self, WithPolling(interval), WithFleet(fleet.WithDelegates(delegates))), now: joinStart}
	rn.state.Step(offerVersion(is, 4), rn.now)
	rn.state.Step(RootRead{Epoch: 1, Version: 4}, rn.now)
	rn.state.Step(peerAnswer(1, 4, joinMember("b", 4)), rn.now)
	return rn
}

// ticks lets time pass and returns the number of reads that were started.
func (rn *reachNode) ticks(limit time.Duration) int {
	reads := 0
	for end := rn.now.Add(limit); rn.now.Before(end); {
		rn.now = rn.now.Add(100 * time.Millisecond)
		for _, effect := range rn.state.Step(Tick{}, rn.now) {
			if _, ok := effect.(PollRoot); ok {
				reads++
			}
		}
	}
	return reads
}

func TestDelegateStepsDownWithoutAnswer(t *testing.T) {
	is := is.New(t)
	rn := newReachNode(is, time.Second)
	is.Equal(rn.ticks(3*time.Second), 1) // no second read while the first is not answered
	is.True(rn.state.Fleet().Self().Detached)
	is.True(!rn.state.Fleet().IsDelegate())

	rn.state.Step(RootPolled{Err: fault.New(fault.PlatformUnavailable, "timeout")}, rn.now)
	is.Equal(rn.ticks(2*time.Second), 1) // a detached node checks whether the platform answers again
	rn.state.Step(RootPolled{}, rn.now)
	is.True(rn.state.Fleet().IsDelegate())
}

func TestRefusedDelegateTellsItsSuccessorAtOnce(t *testing.T) {
	is := is.New(t)
	rn := newReachNode(is, time.Second)
	is.Equal(rn.ticks(2200*time.Millisecond), 1)
	told := false
	for _, effect := range rn.state.Step(RootPolled{Err: fault.New(fault.PlatformUnavailable, "429")}, rn.now) {
		exchange, ok := effect.(fleet.SendExchange)
		told = told || ok && exchange.Peer == "b" && exchange.Message.Members[0].Detached
	}
	is.True(told)
}

// TestDelegateWithoutPollingStepsDownWithItsWatch covers the product's own dialect, in
// which only delegates watch the platform.
func TestDelegateWithoutPollingStepsDownWithItsWatch(t *testing.T) {
	is := is.New(t)
	rn := newReachNode(is, 0)
	is.Equal(rn.ticks(3*time.Second), 0)
	is.True(rn.state.Fleet().IsDelegate())
	rn.state.Step(WatchFailed{}, rn.now)
	stopped := false
	for _, effect := range rn.state.Step(Tick{}, rn.now) {
		watch, ok := effect.(WatchPlatform)
		stopped = stopped || ok && !watch.On
	}
	is.True(stopped)
	rn.state.Step(RootPolled{}, rn.now)
	is.Equal(rn.state.Step(Tick{}, rn.now.Add(time.Millisecond))[0], types.Effect(WatchPlatform{On: true}))
}

// TestUnansweredReadIsHedged guards against a zone that waits until its delegate steps down:
// peers that may reach the platform are asked first, each once and until one is answered.
func TestUnansweredReadIsHedged(t *testing.T) {
	is := is.New(t)
	rn := newReachNodeOf(is, time.Second, 6)
	for _, name := range []types.InstanceID{"c", "d", "e", "f"} {
		rn.state.Step(peerAnswer(1, 4, joinMember(name, 4)), rn.now)
	}
	is.Equal(rn.ticks(2200*time.Millisecond), 1)
	asked := map[types.InstanceID]int{}
	for rn.now = rn.now.Add(100 * time.Millisecond); !rn.state.Fleet().Self().Detached; rn.now = rn.now.Add(100 * time.Millisecond) {
		for _, effect := range rn.state.Step(Tick{}, rn.now) {
			if hedge, ok := effect.(HedgeRoot); ok {
				asked[hedge.Peer]++
			}
		}
	}
	is.Equal(asked, map[types.InstanceID]int{"b": 1, "c": 1, "d": 1, "e": 1, "f": 1})
}

func TestAnsweredHedgeAsksNoFurtherPeer(t *testing.T) {
	is := is.New(t)
	rn := newReachNode(is, time.Second)
	is.Equal(rn.ticks(2200*time.Millisecond), 1)
	asked := 0
	for range 3 {
		rn.now = rn.now.Add(100 * time.Millisecond)
		for _, effect := range rn.state.Step(Tick{}, rn.now) {
			if hedge, ok := effect.(HedgeRoot); ok {
				asked++
				rn.state.Step(RootHedged{Peer: hedge.Peer}, rn.now)
			}
		}
		rn.state.Step(peerAnswer(1, 4, joinMember("late", 4)), rn.now)
	}
	is.Equal(asked, 1)
}
