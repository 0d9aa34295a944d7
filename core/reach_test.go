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
	self := fleet.Member{ID: "a", Incarnation: 1, Address: "a:1", Zone: "kolkata", StartedAt: joinStart}
	rn := &reachNode{state: New(self, WithPolling(interval), WithFleet(fleet.WithDelegates(2))), now: joinStart}
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
