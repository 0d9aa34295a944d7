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

// bench is an entry with its own owner and an upstream. Its reducer admits all
// work and gives each call one attempt.
type bench struct {
	entry      *proxy.Entry
	owner      *proxy.Owner
	upstream   *fakes.Upstream
	server     *httptest.Server
	idempotent bool
	echo       bool
	keyed      atomic.Bool

	mu      sync.Mutex
	accepts int
}

func newBench(t *testing.T) *bench {
	bn := &bench{upstream: &fakes.Upstream{Name: "up"}}
	bn.owner = proxy.NewOwner(bn.post, func() route.Load { return route.Load{} }, time.Now, proxy.WithMaxBody(bodyLimit))
	bn.entry = proxy.NewEntry("a", bn.post, bn.owner, proxy.NewForwarder(time.Now, bodyLimit), time.Now)
	bn.server = httptest.NewUnstartedServer(bn.upstream)
	bn.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			bn.mu.Lock()
			defer bn.mu.Unlock()
			bn.accepts++
		}
	}
	bn.server.Start()
	t.Cleanup(bn.server.Close)
	bn.owner.SetUpstream("up", types.Address(bn.server.Listener.Addr().String()))
	return bn
}

func (bn *bench) post(event types.Event) {
	switch ev := event.(type) {
	case flow.CallArrived:
		bn.entry.Run(flow.StartAttempt{
			Call: ev.Call, Attempt: 1, Request: ev.Request, Key: ev.Key, Target: route.Candidate{ID: "a", Local: true},
			Route:    conf.Route{Service: "intake", Idempotent: bn.idempotent, Importance: conf.Normal},
			Deadline: time.Now().Add(time.Minute),
		})
	case flow.AttemptEnded:
		if ev.Verdict == flow.Answered {
			bn.entry.Run(flow.Deliver{Call: ev.Call, Attempt: ev.Attempt})
			return
		}
		bn.entry.Run(flow.Fail{Call: ev.Call, Err: ev.Err})
	case admit.Arrived:
		work := ev.Work
		work.RequireEcho = bn.echo
		bn.keyed.Store(work.Keyed())
		bn.owner.Run(admit.Dispatch{Work: work})
	case admit.Ended:
		if bn.keyed.Load() && ev.Whole {
			bn.owner.Run(flow.Replay{Work: ev.ID, Of: ev.ID})
		} else if bn.keyed.Load() {
			bn.owner.Run(flow.Settle{Work: ev.ID, Verdict: flow.Lost, Err: ev.Err})
		}
	}
}

// do sends a request and describes its answer.
func (bn *bench) do(method, mode, body string, header ...string) string {
	request := httptest.NewRequest(method, "/booking?x=1", strings.NewReader(body))
	request.RemoteAddr = "127.0.0.9:1000"
	request.Header.Set(fakes.HeaderMode, mode)
	for _, line := range header {
		name, value, _ := strings.Cut(line, "=")
		request.Header.Add(name, value)
	}
	recorder := httptest.NewRecorder()
	bn.entry.ServeHTTP(recorder, request)
	result := recorder.Result()
	text := fmt.Sprintf("%d %s %s", result.StatusCode, result.Header.Get("Sequoiamill-Outcome"), result.Header.Get("Sequoiamill-Error-Kind"))
	for _, name := range []string{"Content-Length", "Retry-After", "X-Hop", "X-End", "Connection"} {
		if value := result.Header.Get(name); value != "" {
			text += fmt.Sprintf(" %s=%s", name, value)
		}
	}
	hide := strings.NewReplacer(result.Header.Get(proxy.HeaderRequestID), "ID", bn.server.Listener.Addr().String(), "UPSTREAM")
	answer := hide.Replace(recorder.Body.String())
	return text + "\n" + answer[:min(len(answer), 160)]
}

// TestAnswers runs the requests of testdata, a method, a mode of the upstream
// and the headers on each line.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, data *datadriven.TestData) string {
		bn := newBench(t)
		bn.idempotent = !data.HasArg("once")
		bn.echo = data.HasArg("echo")
		var method, mode string
		data.ScanArgs(t, "method", &method)
		data.ScanArgs(t, "mode", &mode)
		body := "ask"
		if data.HasArg("big") {
			body = strings.Repeat("x", bodyLimit+1)
		}
		first := bn.do(method, mode, body, strings.Fields(data.Input)...)
		accepts := bn.connections()
		if accepts > 0 {
			bn.do(http.MethodPost, "", "again")
		}
		return fmt.Sprintf("%s\nruns=%d again-on-new-connection=%v", strings.TrimSpace(first), bn.upstream.Total(), bn.connections() > accepts)
	})
}

func (bn *bench) connections() int {
	bn.mu.Lock()
	defer bn.mu.Unlock()
	return bn.accepts
}

// TestNeverResent has the upstream close a reused connection after it read a
// request. The transport must not send the request again.
func TestNeverResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "ask"} {
			t.Run(method+body, func(t *testing.T) {
				is := is.New(t)
				bn := newBench(t)
				bn.do(http.MethodPost, "", "warm")
				answer := bn.do(method, "closed", body, "Idempotency-Key=k")
				is.True(strings.HasPrefix(answer, "502 unknown broken-answer"))
				is.Equal(bn.upstream.Total(), 2)
			})
		}
	}
}

// TestHeadersOfCaller looks at what the upstream is told.
func TestHeadersOfCaller(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	bn := newBench(t)
	bn.server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { seen = request.Header })
	bn.do(http.MethodPost, "", "ask", "X-Forwarded-For=10.0.0.1", "Connection=X-Private", "X-Private=1", "Sequoiamill-Outcome=ran")
	is.Equal(seen.Get("X-Forwarded-For"), "10.0.0.1, 127.0.0.9")
	is.Equal(seen.Get("X-Private"), "")
	is.Equal(seen.Get("Sequoiamill-Outcome"), "")
	is.True(seen.Get("Sequoiamill-Request-Id") != "")
	is.True(seen.Get("Sequoiamill-Time-Left-Micros") != "")
}

// TestKeyedWorkOutlivesItsCaller cancels a call whose keyed work runs.
func TestKeyedWorkOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	ended := make(chan admit.Ended, 1)
	started := make(chan struct{})
	var owner *proxy.Owner
	post := func(event types.Event) {
		switch ev := event.(type) {
		case admit.Arrived:
			owner.Run(admit.Dispatch(ev))
			close(started)
		case admit.Canceled:
			owner.Run(flow.Settle{Work: ev.ID, Verdict: flow.Lost, Err: fault.New(fault.Canceled, "gone")})
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
	reply := owner.Do(ctx, proxy.Job{
		Request: "r", Method: http.MethodPost, URI: "/", Header: http.Header{}, Deadline: time.Now().Add(time.Minute),
		Key: types.Some(types.Key("k")), Route: conf.Route{Service: "intake"},
	})
	is.Equal(reply.Err.Kind, fault.Canceled)
	end := <-ended
	is.Equal(end.Ran, fault.Ran)
}
