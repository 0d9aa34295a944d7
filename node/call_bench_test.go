package node_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sequoiamill.example/sequoiamill/admin"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/core"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/node"
	"sequoiamill.example/sequoiamill/plat"
	"sequoiamill.example/sequoiamill/types"
)

const anyPort = "127.0.0.1:0"

func startNode(b *testing.B, store *plat.Store, name types.InstanceID) *node.Node {
	nd, err := node.New(node.Settings{
		Instance: name, Zone: "kolkata", Region: "bengal-west",
		Listen: anyPort, PeerListen: anyPort, AdminListen: anyPort,
		MaxBody: 1 << 20, StopLimit: time.Second,
		KeyLimits: flow.KeyLimits{Margin: time.Millisecond, Retention: time.Minute},
		Policies:  core.DefaultPolicies(),
		PlainText: node.AllPlainText(),
	}, store)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- nd.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	return nd
}

// BenchmarkCall measures calls to an entry node that forwards them to the owner
// node of the upstream.
func BenchmarkCall(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "calibrated")
	}))
	b.Cleanup(upstream.Close)
	store := plat.NewMemory().Store()
	owner, entry := startNode(b, store, "owner"), startNode(b, store, "entry")
	_, err := admin.NewPublisher(store).Publish(b.Context(), admin.Change{ID: "c", Replace: true, Config: conf.Config{
		Services: []conf.Service{{Name: "intake"}},
		Routes:   []conf.Route{{Name: "intake", Service: "intake", Importance: conf.Normal, Deadline: time.Second, Idempotent: true}},
	}})
	if err != nil {
		b.Fatal(err)
	}
	address := types.Address(strings.TrimPrefix(upstream.URL, "http://"))
	go announce(b.Context(), owner, address)
	url := "http://" + string(entry.CallerAddress()) + "/intake"
	for call(b, url) != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		if status := call(b, url); status != http.StatusOK {
			b.Fatal(status)
		}
	}
}

func announce(ctx context.Context, owner *node.Node, address types.Address) {
	for ctx.Err() == nil {
		owner.Announce(core.Announcement{Address: address, Service: "intake", Slots: 10, Connections: 100})
		time.Sleep(time.Second)
	}
}

func call(b *testing.B, url string) int {
	response, err := http.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
