package codec

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sequoiamill.example/sequoiamill/api/peerv1"
	"sequoiamill.example/sequoiamill/blame"
	"sequoiamill.example/sequoiamill/canary"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/quota"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

func peerMessage() fleet.Message {
	started := time.UnixMilli(1767344400000)
	upstream := fleet.Upstream{Slots: 10, Connections: 130, WarmUp: 3 * time.Second, ReadyAt: started.Add(time.Second), Leaving: true}
	return fleet.Message{
		From: "a", Incarnation: 3, Version: 7, Digest: "digest", ViewHash: 11, HeldHash: 12, Full: true, Repair: true,
		Members: []fleet.Member{
			{
				ID: "a", Incarnation: 3, Status: fleet.Alive, Address: "10.0.0.1:8081", Zone: "kolkata", Region: "bengal-west",
				Service: "intake", Upstream: types.Some(upstream), StartedAt: started, HeldVersion: 7, Leaving: true,
			},
			{ID: "b", Incarnation: 1, Status: fleet.Dead, HeldVersion: 6, GoneFor: time.Hour},
		},
		Reports:          []fleet.VersionReport{{ID: "b", HeldVersion: 6}},
		RootRead:         types.Some(fleet.RootReport{Reader: "b", Age: 1200 * time.Millisecond}),
		BucketHashes:     []uint64{1, 2},
		HeldBucketHashes: []uint64{3, 4},
		Rollouts: []canary.Report{{
			ID: 9, Service: "intake", To: "v2", Sequence: 4, Age: time.Second, Left: -time.Second, Phase: canary.Back, Reason: "bad",
			Tallies: []canary.Tally{{Instance: "a", Epoch: 3, Version: "v2", Routes: []canary.RouteTally{{Route: "booking", Answers: 3, Failures: 1, Durations: []uint64{0, 2}}}}},
			Crossed: []types.InstanceID{"a"}, Found: "slow",
		}},
		Blame: blame.Report{
			Hash:    13,
			Crashes: []blame.CrashReport{{Source: "b", Number: 5, Age: time.Second, Runs: []blame.Run{{Content: 7, Elapsed: 50 * time.Millisecond}}}},
			Clears:  []blame.ClearReport{{Content: 8, Source: "c", Number: 6, Age: time.Minute}},
		},
	}
}

// TestLongNamesOfAConfigurationPassBetweenNodes guards against a name that the platform has
// accepted and for which nodes refuse all that the message says.
func TestLongNamesOfAConfigurationPassBetweenNodes(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("n", 300)
	message := peerMessage()
	message.Rollouts[0].Service = types.ServiceName(long)
	message.Rollouts[0].Tallies[0].Routes[0].Route = types.RouteName(long)
	_, _, err := MessageFromProto(MessageToProto(message, trace.Stamp{}))
	is.NoErr(err)
	team := types.TeamName(long)
	_, err = TradeFromProto(TradeToProto(quota.Trade{From: "a", Items: []quota.Item{{Team: team, Want: 1}}}))
	is.NoErr(err)
	_, err = AnswerFromProto(AnswerToProto(quota.Answer{Grants: []quota.Grant{{Team: team, Tokens: 1}}}))
	is.NoErr(err)
}

func TestPeerMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	stamp := trace.Stamp{Wall: time.UnixMicro(1767344400000001), Logical: 5}
	body, err := proto.Marshal(MessageToProto(peerMessage(), stamp))
	is.NoErr(err)
	wire := &peerv1.Message{}
	is.NoErr(proto.Unmarshal(body, wire))
	message, gotStamp, err := MessageFromProto(wire)
	is.NoErr(err)
	is.Equal(message, peerMessage())
	is.Equal(gotStamp, stamp)
}

func TestInvalidPeerMessagesAreRefused(t *testing.T) {
	cases := map[string]func(*peerv1.Message){
		"no sender":         func(wire *peerv1.Message) { wire.From = "" },
		"no member name":    func(wire *peerv1.Message) { wire.Members[1].Instance = "" },
		"unknown state":     func(wire *peerv1.Message) { wire.Members[1].State = 9 },
		"too many reports":  func(wire *peerv1.Message) { wire.Reports = make([]*peerv1.Report, maxMembers+1) },
		"too many crashes":  func(wire *peerv1.Message) { wire.Blame.Crashes = make([]*peerv1.Crash, blame.MaxReported+1) },
		"too many runs":     func(wire *peerv1.Message) { wire.Blame.Crashes[0].Runs = make([]*peerv1.Run, blame.MaxRuns+1) },
		"crash of nobody":   func(wire *peerv1.Message) { wire.Blame.Crashes[0].Instance = "" },
		"no service":        func(wire *peerv1.Message) { wire.Rollouts[0].Service = "" },
		"no phase":          func(wire *peerv1.Message) { wire.Rollouts[0].Phase = 0 },
		"too many rollouts": func(wire *peerv1.Message) { wire.Rollouts = make([]*peerv1.Rollout, canary.MaxReports+1) },
		"too many tallies":  func(wire *peerv1.Message) { wire.Rollouts[0].Tallies = make([]*peerv1.Tally, canary.MaxTallies+1) },
		"too many failures": func(wire *peerv1.Message) { wire.Rollouts[0].Tallies[0].Routes[0].Failures = 4 },
		"tally of nobody":   func(wire *peerv1.Message) { wire.Rollouts[0].Tallies[0].Instance = "" },
		"nobody crossed":    func(wire *peerv1.Message) { wire.Rollouts[0].Crossed[0] = "" },
		"read by nobody":    func(wire *peerv1.Message) { wire.RootRead.Reader = "" },
		"clear of nobody":   func(wire *peerv1.Message) { wire.Blame.Clears[0].Instance = "" },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wire := MessageToProto(peerMessage(), trace.Stamp{})
			invalidate(wire)
			_, _, err := MessageFromProto(wire)
			is.True(err != nil)
		})
	}
}
