package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/fleet"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// byteCounter adds up the bytes that its meter receives.
type byteCounter struct{ in, out atomic.Int64 }

func (bc *byteCounter) meter(in, out int) {
	bc.in.Add(int64(in))
	bc.out.Add(int64(out))
}

// TestBothEndsCountTheSameBytes checks that the number of bytes that the server
// computes differs by less than 10% from the number that the client counts on its
// connections.
func TestBothEndsCountTheSameBytes(t *testing.T) {
	is := is.New(t)
	var server, client byteCounter
	mux := http.NewServeMux()
	mux.Handle(NewHandler(Service{
		Clock: trace.NewClock(),
		Now:   time.Now,
		Meter: server.meter,
		Exchange: func(_ context.Context, message fleet.Message) (fleet.Message, error) {
			return message, nil
		},
	}))
	listener := httptest.NewServer(mux)
	defer listener.Close()
	address := types.Address(strings.TrimPrefix(listener.URL, "http://"))
	cl := NewClient(trace.NewClock(), time.Now, WithMeter(client.meter), WithInstance("a"))
	const exchanges = 20
	for range exchanges {
		answer, err := cl.Exchange(t.Context(), address, fleet.Message{From: "a", Version: 7})
		is.NoErr(err)
		is.Equal(answer.Version, types.Version(7))
	}
	sent, served := client.out.Load(), server.in.Load()
	is.True(sent > 0 && served > sent*9/10 && served < sent*11/10) // bytes of the requests
	received, answered := client.in.Load(), server.out.Load()
	is.True(received > 0 && answered > received*9/10 && answered < received*11/10) // bytes of the answers
	t.Logf("an exchange sent %d bytes and received %d bytes", sent/exchanges, received/exchanges)
}

func TestPullReturnsOnlyMissingBodies(t *testing.T) {
	is := is.New(t)
	seal := func(names ...types.ServiceName) conf.Bundle {
		var config conf.Config
		for _, name := range names {
			config.Services = append(config.Services, conf.Service{Name: name})
		}
		bundle, err := codec.EncodeBundle(conf.Root{Version: types.Version(len(names))}, config)
		is.NoErr(err)
		return bundle
	}
	offered, held := seal("dispatch", "intake", "manuals"), seal("dispatch", "intake")
	mux := http.NewServeMux()
	mux.Handle(NewHandler(Service{Pull: func() (conf.Bundle, error) { return offered, nil }}))
	listener := httptest.NewServer(mux)
	defer listener.Close()
	address := types.Address(strings.TrimPrefix(listener.URL, "http://"))
	cl := NewClient(trace.NewClock(), time.Now)

	pulled, err := cl.Pull(t.Context(), address, held)
	is.NoErr(err)
	snap, err := codec.DecodeBundle(pulled)
	is.NoErr(err)
	is.Equal(snap.Version(), types.Version(3))
	known := make([]uint64, 0, len(held.Bodies))
	for hash := range held.Bodies {
		known = append(known, codec.HashPrefix(hash))
	}
	bodies := len(codec.BundleToProto(offered, types.NewSet(known...)).GetBodies())
	is.Equal(bodies, 1)
}

// TestReadRootTellsWhetherThePlatformAnswers checks both ends of a hedged read.
func TestReadRootTellsWhetherThePlatformAnswers(t *testing.T) {
	is := is.New(t)
	var platformErr error
	mux := http.NewServeMux()
	mux.Handle(NewHandler(Service{ReadRoot: func(context.Context) error { return platformErr }}))
	listener := httptest.NewServer(mux)
	defer listener.Close()
	address := types.Address(strings.TrimPrefix(listener.URL, "http://"))
	cl := NewClient(trace.NewClock(), time.Now)
	is.NoErr(cl.ReadRoot(t.Context(), address))
	platformErr = fault.New(fault.PlatformUnavailable, "503")
	is.True(fault.Is(cl.ReadRoot(t.Context(), address), fault.PlatformUnavailable))
}
