package fleet_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

// TestPeersRememberDeparture checks that a restarted node learns from its first
// exchange with a peer which process departed before the restart, and that the
// node then holds the departure in its own record.
func TestPeersRememberDeparture(t *testing.T) {
	check := is.New(t)
	departure := fleet.Departure{Process: "p", StartedAt: epoch.Add(-time.Hour), Sequence: 4, Ended: true}
	newTable := func(id types.InstanceID, startedAt time.Time) *fleet.Table {
		self := fleet.Member{ID: id, Address: types.Address(id), StartedAt: startedAt, Incarnation: uint64(startedAt.UnixMilli())}
		return fleet.NewTable(self, rand.New(rand.NewPCG(1, 1)))
	}
	peer, before, after := newTable("peer", epoch), newTable("n", epoch), newTable("n", epoch.Add(time.Minute))
	before.SetDeparture(departure)
	message := func(table *fleet.Table) fleet.Message {
		return fleet.Message{From: table.Self().ID, Incarnation: table.Self().Incarnation, Members: []fleet.Member{table.Self()}, Full: true}
	}
	peer.HandleExchangeReceived(fleet.ExchangeReceived{Message: message(before)}, epoch)
	var reply fleet.Message
	for _, effect := range peer.HandleExchangeReceived(fleet.ExchangeReceived{Message: message(after)}, epoch) {
		if replied, ok := effect.(fleet.ReplyExchange); ok {
			reply = replied.Message
		}
	}
	effects := after.HandleExchangeAnswered(fleet.ExchangeAnswered{Peer: "peer", Epoch: 1, Message: reply}, epoch)
	check.True(slices.Contains(effects, types.Effect(fleet.DepartureLearned{Departure: departure})))
	check.Equal(after.Self().Departure, types.Some(departure))
	known, _ := peer.Member("n")
	check.Equal(known.StartedAt, epoch.Add(time.Minute))
}
