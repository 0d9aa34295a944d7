package proxy

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// compactShare is the share of the bytes of a refused attempt that its compact form may
// have: bytes between zones are to be halved.
const compactShare = 0.5

func forwardedJob(now time.Time) Job {
	return Job{
		Request: "4f1c09aa73de5b21", EntryNode: "sidecar-kalabagh-3", Method: http.MethodGet, URI: "/noba920/536fa", Host: "depu3.example",
		Route:    conf.Route{Name: "r-4dfdwhk", Service: "culo38a", Idempotent: true, Importance: conf.Normal},
		Deadline: now.Add(2 * time.Second), SoftDeadline: now.Add(600 * time.Millisecond), CostFactor: 1.25, Content: 1 << 60,
		Header: http.Header{},
	}
}

// headBytes returns the size of a header on the wire.
func headBytes(header http.Header) int {
	var written bytes.Buffer
	_ = header.Write(&written)
	return written.Len()
}

// TestRefusedAttemptIsHalfAsLong checks the headers of a job and of its refusal.
func TestRefusedAttemptIsHalfAsLong(t *testing.T) {
	now := time.Unix(1000, 0)
	job := http.Header{}
	writeJobHeaders(job, forwardedJob(now), now)
	reply := http.Header{headerVerdict: {"not-run"}, headerAtOwner: {"15"}, HeaderErrorKind: {"overloaded"}, HeaderOutcome: {"not-run"}, headerRetryAfter: {"120"}, headerStatus: {"0"}, headerDigest: {"ef46db3751d8e999"}, HeaderRequestID: {"4f1c09aa73de5b21"}}
	writeLoad(reply, route.Load{Outstanding: 6, Queued: 9, Left: types.Some(route.WorkLeft{SlotWait: time.Second, Drain: time.Second})})
	before := headBytes(job) + headBytes(reply)
	compact(job)
	compact(reply)
	is.New(t).True(float64(headBytes(job)+headBytes(reply)) <= compactShare*float64(before))
}

// TestCompactHeadersAreRestored checks that expand restores what compact has changed,
// whatever the values are.
func TestCompactHeadersAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := http.Header{"X-Other": {"a", "b"}}
		for _, name := range append(compactNames, headerKeyDeclinedBy) {
			if rapid.Bool().Draw(t, name) {
				header[name] = rapid.SliceOfN(rapid.StringMatching(`[ -~\t]*`), 1, 2).Draw(t, "values")
			}
		}
		sent := header.Clone()
		compact(sent)
		expand(sent)
		is.New(t).Equal(sent, header)
	})
}

// TestCompactJobsBetweenBuilds checks that an owner of this build gets plain jobs until it
// has said that it takes compact ones, that an owner of an earlier build always does, and
// that one which replaces an owner of this build doesn't run a job that it can't read.
func TestCompactJobsBetweenBuilds(t *testing.T) {
	check := is.New(t)
	var paths []string
	var owner *Owner
	owner = NewOwner(func(event types.Event) {
		if arrived, ok := event.(admit.Arrived); ok {
			owner.Apply(admit.Refuse{Work: arrived.Work, Err: fault.New(fault.Overloaded, "the queue is full")})
		}
	}, func() route.Load { return route.Load{Queued: 3} }, time.Now)
	earlier := false
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		paths = append(paths, request.URL.Path)
		if !earlier {
			owner.ServeHTTP(writer, request)
			return
		}
		if request.URL.Path != ForwardPath {
			http.NotFound(writer, request)
			return
		}
		owner.ServeHTTP(withoutMark{writer}, request)
	}))
	defer server.Close()
	forwarder := NewForwarder(time.Now, 1<<20)
	do := func() Result {
		return forwarder.Do(context.Background(), types.Address(strings.TrimPrefix(server.URL, "http://")), forwardedJob(time.Now()))
	}
	for range 2 {
		result := do()
		check.Equal(result.Verdict, flow.NotRun)
		check.Equal(result.Load.Queued, 3)
	}
	earlier = true
	check.Equal(do().Verdict, flow.Lost)
	check.Equal(do().Verdict, flow.NotRun)
	check.Equal(do().Verdict, flow.NotRun)
	check.Equal(paths, []string{ForwardPath, CompactForwardPath, CompactForwardPath, ForwardPath, ForwardPath})
}

// withoutMark leaves out what an owner of an earlier build doesn't send.
type withoutMark struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (wm withoutMark) WriteHeader(status int) {
	wm.Header().Del(headerTakesCompact)
	wm.ResponseWriter.WriteHeader(status)
}
