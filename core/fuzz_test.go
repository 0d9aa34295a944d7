package core_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiamill.example/sequoiamill/api/peerv1"
	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// FuzzPeerMessage checks that a node goes on whatever a peer sends it, and that its own
// messages can be read by its peers after that.
func FuzzPeerMessage(f *testing.F) {
	for _, message := range []fleet.Message{
		{From: "i1", Incarnation: 1, Version: 3, Full: true, Members: []fleet.Member{{ID: "i0", Status: fleet.Dead, Incarnation: 9, StartedAt: start}}},
		{From: "i1", Repair: true, Reports: []fleet.VersionReport{{ID: "i2", HeldVersion: 1 << 63}}, Blame: evidence(7)},
	} {
		text, err := proto.Marshal(codec.MessageToProto(message, trace.Stamp{}))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var wire peerv1.Message
		if proto.Unmarshal(text, &wire) != nil {
			return
		}
		message, _, err := codec.MessageFromProto(&wire)
		if err != nil {
			return
		}
		sn := newNode(t, 1, 3)
		var effects []types.Effect
		for range 3 {
			effects = append(effects, sn.step(fleet.ExchangeReceived{Token: 1, Message: message})...)
			sn.now = sn.now.Add(time.Second)
			effects = append(effects, sn.step(core.Tick{})...)
		}
		for _, effect := range effects {
			sent, ok := effect.(fleet.SendExchange)
			if !ok {
				continue
			}
			if _, _, err := codec.MessageFromProto(codec.MessageToProto(sent.Message, trace.Stamp{})); err != nil {
				t.Fatalf("a message of the node can't be read: %v", err)
			}
		}
	})
}
