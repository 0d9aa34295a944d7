package proxy_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// TestLargeAnswersOverSlowLink sends answers of different sizes from an owner
// with a limited link to another node, and checks that each arrives complete.
func TestLargeAnswersOverSlowLink(t *testing.T) {
	is := is.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(proxy.HeaderRequestID, request.Header.Get(proxy.HeaderRequestID))
		_, _ = writer.Write([]byte(strings.Repeat("x", int(request.ContentLength)*1000)))
	}))
	defer upstream.Close()
	var owner *proxy.Owner
	post := func(event types.Event) {
		if arrived, ok := event.(admit.Arrived); ok {
			owner.Apply(admit.Dispatch(arrived))
		}
	}
	owner = proxy.NewOwner(post, func() route.Load { return route.Load{} }, time.Now, proxy.WithPacer(proxy.NewPacer(9e6)))
	owner.SetUpstream("up", types.Address(upstream.Listener.Addr().String()))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: owner}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	forwarder := proxy.NewForwarder(time.Now, 1<<20)
	for _, size := range []int{0, 1, 8, 9, 100, 700} {
		result := forwarder.Do(context.Background(), types.Address(listener.Addr().String()), proxy.Job{
			Request: "r", Method: http.MethodPost, URI: "/", Host: "x", Header: http.Header{}, Body: make([]byte, size),
			Deadline: time.Now().Add(time.Minute), Route: conf.Route{Name: "chart", Service: "manuals", Idempotent: true, Importance: conf.Normal},
		})
		is.Equal(result.Verdict, flow.Answered)
		is.Equal(len(result.Response.Body), size*1000)
	}
}
