package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

const bodyLimit = 1 << 20

// fixture is an entry with its own owner and a fake upstream. Its post method
// stands in for the node's event loop: it admits all work and gives each call one
// attempt.
type fixture struct {
	entry      *proxy.Entry
	owner      *proxy.Owner
	upstream   *fakes.Upstream
	server     *httptest.Server
	idempotent bool
	echo       bool
	keyed      atomic.Bool
	// offset is how far the clock of the entry and the owner is ahead.
	offset atomic.Int64

	mu sync.Mutex
	// accepted is the number of connections to the upstream so far.
	accepted int
}

func newFixture(t *testing.T, opts ...proxy.OwnerOption) *fixture {
	fx := &fixture{upstream: &fakes.Upstream{Name: "up"}}
	fx.owner = proxy.NewOwner(fx.post, func() route.Load { return route.Load{} }, fx.now, append(opts, proxy.WithMaxBody(bodyLimit))...)
	fx.entry = proxy.NewEntry("a", fx.post, fx.owner, proxy.NewForwarder(time.Now, bodyLimit), fx.now)
	fx.server = httptest.NewUnstartedServer(fx.upstream)
	fx.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			fx.accepted++
		}
	}
	fx.server.Start()
	t.Cleanup(fx.server.Close)
	fx.owner.SetUpstream("up", types.Address(fx.server.Listener.Addr().String()))
	return fx
}

func (fx *fixture) now() time.Time { return time.Now().Add(time.Duration(fx.offset.Load())) }

func (fx *fixture) post(event types.Event) {
	switch ev := event.(type) {
	case flow.CallArrived:
		fx.entry.Apply(flow.StartAttempt{
			Call: ev.Call, Attempt: 1, Request: ev.Request, Key: ev.Key, Target: route.Candidate{ID: "a", Local: true},
			Route:    conf.Route{Service: "intake", Idempotent: fx.idempotent, Importance: conf.Normal},
			Deadline: time.Now().Add(time.Minute),
		})
	case flow.AttemptEnded:
		if ev.Verdict == flow.Answered {
			fx.entry.Apply(flow.Deliver{Call: ev.Call, Attempt: ev.Attempt})
			return
		}
		fx.entry.Apply(flow.Fail{Call: ev.Call, Err: ev.Err})
	case admit.Arrived:
		work := ev.Work
		work.RequireEcho = fx.echo
		fx.keyed.Store(work.Keyed())
		fx.owner.Apply(admit.Dispatch{Work: work})
	case admit.Ended:
		if fx.keyed.Load() && ev.Complete {
			fx.owner.Apply(flow.Replay{Work: ev.ID, Of: ev.ID})
		} else if fx.keyed.Load() {
			fx.owner.Apply(flow.Settle{Work: ev.ID, Verdict: flow.Lost, Err: ev.Err})
		}
	}
}

// do sends a request to the entry and returns a description of the response.
func (fx *fixture) do(method, mode, body string, header ...string) string {
	request := httptest.NewRequest(method, "/booking?x=1", strings.NewReader(body))
	request.RemoteAddr = "127.0.0.9:1000"
	request.Header.Set(fakes.HeaderMode, mode)
	for _, line := range header {
		name, value, _ := strings.Cut(line, "=")
		request.Header.Add(name, value)
	}
	recorder := httptest.NewRecorder()
	fx.entry.ServeHTTP(recorder, request)
	result := recorder.Result()
	text := fmt.Sprintf("%d %s %s", result.StatusCode, result.Header.Get("Sequoiamill-Outcome"), result.Header.Get("Sequoiamill-Error-Kind"))
	for _, name := range []string{"Content-Length", "Retry-After", "X-Hop", "X-End", "Connection"} {
		if value := result.Header.Get(name); value != "" {
			text += fmt.Sprintf(" %s=%s", name, value)
		}
	}
	hide := strings.NewReplacer(result.Header.Get(proxy.HeaderRequestID), "ID", fx.server.Listener.Addr().String(), "UPSTREAM")
	answer := hide.Replace(recorder.Body.String())
	return text + "\n" + answer[:min(len(answer), 160)]
}

// TestAnswers runs the cases in testdata/answers. Each case gives the method of a
// request and the mode of the fake upstream; "once" makes the route
// non-idempotent, "echo" requires the request identifier in the response, and
// "big" sends a body above the limit. The input lines are request headers. If the
// owner connects to the upstream, the test sends a second request, which the
// upstream answers without a fault. The output gives the response to the first
// request, the number of requests that the upstream ran, and whether the second
// request needed a new connection to the upstream.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, data *datadriven.TestData) string {
		fx := newFixture(t)
		fx.idempotent = !data.HasArg("once")
		fx.echo = data.HasArg("echo")
		var method, mode string
		data.ScanArgs(t, "method", &method)
		data.ScanArgs(t, "mode", &mode)
		body := "ask"
		if data.HasArg("big") {
			body = strings.Repeat("x", bodyLimit+1)
		}
		first := fx.do(method, mode, body, strings.Fields(data.Input)...)
		accepted := fx.acceptedConns()
		if accepted > 0 {
			fx.do(http.MethodPost, "", "again")
		}
		return fmt.Sprintf("%s\nruns=%d again-on-new-connection=%v", strings.TrimSpace(first), fx.upstream.TotalRuns(), fx.acceptedConns() > accepted)
	})
}

func (fx *fixture) acceptedConns() int {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.accepted
}

// TestNoResendAfterClose sends a request on a reused connection. The upstream reads
// the request and closes the connection without an answer. The request may have
// run, so the owner must not send it again.
func TestNoResendAfterClose(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "ask"} {
			t.Run(method+body, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(t)
				fx.do(http.MethodPost, "", "warm")
				answer := fx.do(method, "closed", body, "Idempotency-Key=k")
				is.True(strings.HasPrefix(answer, "502 unknown broken-answer"))
				is.Equal(fx.upstream.TotalRuns(), 2)
			})
		}
	}
}

// TestUpstreamRequestHeaders checks which headers of a caller's request reach the
// upstream and which are added.
func TestUpstreamRequestHeaders(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	fx := newFixture(t)
	fx.server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { seen = request.Header })
	fx.do(http.MethodPost, "", "ask", "X-Forwarded-For=10.0.0.1", "Connection=X-Private", "X-Private=1", "Sequoiamill-Outcome=ran")
	is.Equal(seen.Get("X-Forwarded-For"), "10.0.0.1, 127.0.0.9")
	is.Equal(seen.Get("X-Private"), "")
	is.Equal(seen.Get("Sequoiamill-Outcome"), "")
	is.True(seen.Get("Sequoiamill-Request-Id") != "")
	is.True(seen.Get("Sequoiamill-Time-Left-Micros") != "")
}

// TestKeyedWorkSurvivesCallerCancel cancels a call after its job, which has an
// idempotency key, was sent to the upstream. The job must still complete.
func TestKeyedWorkSurvivesCallerCancel(t *testing.T) {
	is := is.New(t)
	ended := make(chan admit.Ended, 1)
	started := make(chan struct{})
	var owner *proxy.Owner
	post := func(event types.Event) {
		switch ev := event.(type) {
		case admit.Arrived:
			owner.Apply(admit.Dispatch(ev))
			close(started)
		case admit.Canceled:
			owner.Apply(flow.Settle{Work: ev.ID, Verdict: flow.Lost, Err: fault.New(fault.Canceled, "gone")})
		case admit.Ended:
			ended <- ev
		}
	}
	owner = proxy.NewOwner(post, func() route.Load { return route.Load{} }, time.Now)
	server := httptest.NewServer(&fakes.Upstream{Name: "up", Work: 100 * time.Millisecond})
	defer server.Close()
	owner.SetUpstream("up", types.Address(server.Listener.Addr().String()))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	result := owner.Do(ctx, proxy.Job{
		Request: "r", Method: http.MethodPost, URI: "/", Header: http.Header{}, Deadline: time.Now().Add(time.Minute),
		Key: types.Some(types.Key("k")), Route: conf.Route{Service: "intake"},
	})
	is.Equal(result.Err.Kind, fault.Canceled)
	end := <-ended
	is.Equal(end.Outcome, fault.Ran)
}
