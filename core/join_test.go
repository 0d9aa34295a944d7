package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/types"
)

var joinStart = time.Date(2026, 1, 2, 9, 0, 0, 0, time.UTC)

// noMargin sets the key margin to zero, so that a node is ready once it has
// joined the fleet.
var noMargin = WithKeys(flow.KeyLimits{Retention: time.Minute})

func offerVersion(is *is.I, version types.Version) conf.VersionOffered {
	is.Helper()
	bundle, err := codec.EncodeBundle(conf.Root{Version: version}, conf.Config{Services: []conf.Service{{Name: "intake"}}})
	is.NoErr(err)
	snap, err := codec.DecodeBundle(bundle)
	is.NoErr(err)
	return conf.VersionOffered{Snapshot: snap, Version: version}
}

func joinMember(id types.InstanceID, held types.Version) fleet.Member {
	return fleet.Member{ID: id, Incarnation: 1, Status: fleet.Alive, Address: types.Address(id + ":1"), Zone: "kolkata", HeldVersion: held, StartedAt: joinStart}
}

// peerAnswer returns the answer of a peer to an exchange. The first member is the
// peer's own record.
func peerAnswer(epoch uint64, version types.Version, members ...fleet.Member) fleet.ExchangeAnswered {
	message := fleet.Message{From: members[0].ID, Version: version, Members: members, Full: true}
	return fleet.ExchangeAnswered{Peer: message.From, Address: members[0].Address, Epoch: epoch, Message: message}
}

func TestRestartedNodeInAnOutageServesNothingBelowItsFloor(t *testing.T) {
	is := is.New(t)
	now := joinStart.Add(time.Minute)
	st := New(fleet.Member{ID: "a", Incarnation: 1, Address: "a:1", Zone: "kolkata", StartedAt: joinStart.Add(time.Second)}, noMargin)
	st.Step(Tick{}, now)
	is.True(!st.Ready()) // no peer has answered and the platform's root was not read
	st.Step(peerAnswer(1, 4, joinMember("b", 4), joinMember("a", 6).WithStatus(fleet.Dead)), now)
	st.Step(offerVersion(is, 4), now)
	is.Equal(st.Config().Floor(), types.Version(6))
	// Version 4 is below the floor, the lowest version that the node may serve: the
	// peer's record of the node says that the node had version 6.
	is.True(!st.Ready())
	st.Step(offerVersion(is, 6), now)
	st.Step(peerAnswer(1, 4, joinMember("b", 4)), now)
	st.Step(Tick{}, now)
	is.True(st.Ready())
}

func TestNodeWithThePlatformWaitsForItsCurrentVersion(t *testing.T) {
	is := is.New(t)
	st := New(fleet.Member{ID: "a", Incarnation: 1, Address: "a:1", Zone: "kolkata", StartedAt: joinStart}, noMargin)
	now := joinStart.Add(time.Minute)
	st.Step(Tick{}, now)
	st.Step(offerVersion(is, 4), now)
	st.Step(RootRead{Epoch: 1, Version: 5}, now)
	st.Step(Tick{}, now)
	is.True(!st.Ready())
	bad := conf.VersionOffered{Version: 5, FromPlatform: true, Err: fault.New(fault.ConfigRefused, "bad")}
	st.Step(bad, now)
	st.Step(Tick{}, now)
	is.True(st.Ready()) // the last good version stays in force
}

func TestPausedNodeRefusesWorkUntilItHasJoinedAgain(t *testing.T) {
	is := is.New(t)
	now := joinStart.Add(time.Minute)
	st := New(fleet.Member{ID: "a", Incarnation: 1, Address: "a:1", Zone: "kolkata", StartedAt: joinStart.Add(time.Second)}, noMargin)
	work := func(id types.WorkID) admit.WorkItem {
		return admit.WorkItem{ID: id, Service: "intake", Deadline: now.Add(time.Hour)}
	}
	refused := func(effects []types.Effect) bool {
		for _, effect := range effects {
			if ef, ok := effect.(admit.Refuse); ok {
				return ef.Err.Kind == fault.NotReady
			}
		}
		return false
	}
	st.Step(RootRead{Epoch: 1}, now)
	st.Step(peerAnswer(1, 1, joinMember("b", 1)), now)
	st.Step(offerVersion(is, 1), now)
	st.Step(UpstreamAnnounced{Announcement: Announcement{Service: "intake", Slots: 10, Connections: 10}}, now)
	st.Step(Tick{}, now)
	is.True(!refused(st.Step(admit.Arrived{Work: work(1)}, now)))

	now = now.Add(maxPause + time.Second)
	effects := st.Step(admit.Arrived{Work: work(2)}, now)
	is.True(refused(effects)) // refused before the first tick after the pause
	is.True(!st.Ready())
	st.Step(UpstreamAnnounced{Announcement: Announcement{Service: "intake", Slots: 10, Connections: 10}}, now)
	st.Step(RootRead{Epoch: 2, Version: 1}, now)
	st.Step(peerAnswer(1, 1, joinMember("b", 1)), now) // sent before the pause
	is.True(refused(st.Step(admit.Arrived{Work: work(3)}, now)))
	is.True(st.Fleet().Self().Incarnation > 1)
	st.Step(peerAnswer(2, 1, joinMember("b", 1)), now)
	is.True(st.Ready())
	is.True(!refused(st.Step(admit.Arrived{Work: work(4)}, now)))
}

// TestSuspendedMachineJoinsAgain checks that a node rejoins after its machine was
// suspended for a long time, although the time passed to Step does not include it.
func TestSuspendedMachineJoinsAgain(t *testing.T) {
	is := is.New(t)
	now := joinStart
	state := New(fleet.Member{ID: "a", Zone: "kolkata", Address: "10.0.0.1:1", StartedAt: now}, noMargin)
	epochOf := func() uint64 { return state.Fleet().Epoch() }
	state.Step(Tick{}, now)
	first := epochOf()
	now = now.Add(100 * time.Millisecond)
	state.Step(Tick{Suspended: time.Second}, now)
	is.Equal(epochOf(), first)
	now = now.Add(100 * time.Millisecond)
	state.Step(Tick{Suspended: 10 * time.Second}, now)
	is.Equal(epochOf(), first+1)
}
