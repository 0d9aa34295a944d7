package peer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/peer"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// BenchmarkExchange measures a membership exchange of a node and its peer with a few
// records, as in a fleet that does not change.
func BenchmarkExchange(b *testing.B) {
	message := fleet.Message{From: "a", Version: 7}
	for number := range 4 {
		message.Members = append(message.Members, fleet.Member{
			ID: types.InstanceID(fmt.Sprintf("sidecar-kolkata-%d", number)), Status: fleet.Alive, Incarnation: 1764850000000,
			Address: types.Address(fmt.Sprintf("10.1.0.%d:8300", number)), Zone: "kolkata", Region: "bengal-west", Service: "statusdesk",
			Upstream: types.Some(fleet.Upstream{Slots: 9, Connections: 130}), StartedAt: time.Unix(1764850000, 0),
		})
	}
	path, handler := peer.NewHandler(peer.Service{
		Clock: trace.NewClock(), Now: time.Now,
		Exchange: func(context.Context, fleet.Message) (fleet.Message, error) { return message, nil },
	})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	client := peer.NewClient(trace.NewClock(), time.Now)
	address := types.Address(strings.TrimPrefix(server.URL, "http://"))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Exchange(b.Context(), address, message); err != nil {
			b.Fatal(err)
		}
	}
}
