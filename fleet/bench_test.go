package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/types"
)

var epoch = time.Date(2026, 1, 2, 9, 0, 0, 0, time.UTC)

func benchMember(number int) fleet.Member {
	upstream := fleet.Upstream{Slots: 10, Connections: 130, ReadyAt: epoch}
	return fleet.Member{
		ID:          types.InstanceID(fmt.Sprintf("instance-%03d", number)),
		Incarnation: 7,
		Status:      fleet.Alive,
		Address:     types.Address(fmt.Sprintf("10.0.%d.%d:8081", number/250, number%250)),
		Zone:        types.Zone(fmt.Sprintf("zone-%d", number%7)),
		Region:      "bengal-west",
		Service:     types.ServiceName(fmt.Sprintf("service-%03d", number%140)),
		Upstream:    types.Some(upstream),
		StartedAt:   epoch,
		HeldVersion: 3,
	}
}

// benchTable returns a table with size members, including the node itself,
// after ten minutes without changes, so that no gossip is queued.
func benchTable(size int) *fleet.Table {
	tb := fleet.NewTable(benchMember(0), rand.New(rand.NewPCG(1, 2)))
	var members []fleet.Member
	for number := 1; number < size; number++ {
		members = append(members, benchMember(number))
	}
	answer := fleet.Message{From: members[0].ID, Members: members, Full: true}
	tb.HandleExchangeAnswered(fleet.ExchangeAnswered{Peer: answer.From, Address: members[0].Address, Message: answer}, epoch)
	for second := range 600 {
		tb.Tick(epoch.Add(time.Duration(second) * time.Second))
	}
	return tb
}

func runSizes(b *testing.B, run func(b *testing.B, tb *fleet.Table, size int)) {
	for _, size := range []int{17, 200, 910} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			tb := benchTable(size)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, tb, size)
		})
	}
}

func BenchmarkTick(b *testing.B) {
	runSizes(b, func(b *testing.B, tb *fleet.Table, _ int) {
		now := epoch.Add(time.Hour)
		for b.Loop() {
			now = now.Add(100 * time.Millisecond)
			tb.Tick(now)
			tb.IsDelegate()
		}
	})
}

func BenchmarkReceivedQuiet(b *testing.B) {
	runSizes(b, func(b *testing.B, tb *fleet.Table, _ int) {
		message := fleet.Message{From: "instance-001", Members: []fleet.Member{benchMember(1)}, Version: 3}
		for b.Loop() {
			tb.HandleExchangeReceived(fleet.ExchangeReceived{Message: message}, epoch)
		}
	})
}

func BenchmarkReceivedNews(b *testing.B) {
	runSizes(b, func(b *testing.B, tb *fleet.Table, size int) {
		round := 0
		for b.Loop() {
			round++
			message := fleet.Message{From: "instance-001", Version: 3}
			for number := range 16 {
				member := benchMember(1 + (round*16+number)%(size-1))
				message.Members = append(message.Members, member.WithIncarnation(uint64(10+round)))
			}
			tb.HandleExchangeReceived(fleet.ExchangeReceived{Message: message}, epoch)
		}
	})
}
