package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/types"
)

// uploadSize is the size of a request body that no socket buffers as a whole.
const uploadSize = 8 << 20

// closeDelimitedAnswers are answers without a length, by what they look like.
var closeDelimitedAnswers = map[string]string{
	"http-1.1":                  "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: %s\r\n\r\nthe answer",
	"http-1.1-connection-close": "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: %s\r\nConnection: close\r\n\r\nthe answer",
	"http-1.0":                  "HTTP/1.0 200 OK\r\nSequoiamill-Request-Id: %s\r\n\r\nthe answer",
}

func startRaw(t *testing.T, server *fakes.RawServer) types.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go server.Listen(listener)
	return types.Address(listener.Addr().String())
}

// rawResult returns the result of one request with a body of the given size to an owner
// whose upstream is server.
func rawResult(t *testing.T, server *fakes.RawServer, size int) proxy.Result {
	fx := newFixture(t, proxy.WithCloseDelimited())
	fx.owner.SetUpstream("raw", startRaw(t, server))
	return fx.owner.Do(context.Background(), proxy.Job{
		Request: "r", Method: http.MethodPost, URI: "/", Header: http.Header{}, Body: make([]byte, size),
		Route: conf.Route{Service: "intake"}, Deadline: time.Now().Add(time.Minute),
	})
}

// TestResetBesideAnUploadIsNoEndOfAnAnswer guards against owners that take a part of an
// answer without a length for the whole one, when the upstream resets the connection.
func TestResetBesideAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	const tries = 10
	for name, answer := range closeDelimitedAnswers {
		for _, size := range []int{12 << 10, 64 << 10, uploadSize} {
			for _, wait := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprint(name, "/", size, "/", wait), func(t *testing.T) {
					is := is.New(t)
					for range tries {
						server := &fakes.RawServer{Answer: answer, Ending: fakes.ResetAtOnce, Wait: wait}
						result := rawResult(t, server, size)
						is.Equal(result.Verdict, flow.Lost)
						is.Equal(result.Err.Kind, fault.BrokenAnswer)
						is.Equal(result.Err.Outcome, fault.Unknown)
					}
				})
			}
		}
	}
}

// TestEarlyWholeAnswerWithoutALengthIsDelivered checks that an answer which ends in order
// is delivered, whatever becomes of the rest of the request.
func TestEarlyWholeAnswerWithoutALengthIsDelivered(t *testing.T) {
	for name, answer := range closeDelimitedAnswers {
		for _, size := range []int{0, 12 << 10, uploadSize} {
			for _, ending := range []fakes.Ending{fakes.FinishAndReadOn, fakes.FinishAndReset} {
				t.Run(fmt.Sprint(name, "/", size, "/", ending), func(t *testing.T) {
					is := is.New(t)
					server := &fakes.RawServer{Answer: answer, Ending: ending}
					result := rawResult(t, server, size)
					is.Equal(result.Verdict, flow.Answered)
					is.Equal(string(result.Response.Body), "the answer")
					waitUntil(func() bool { return server.Closed() == 1 })
				})
			}
		}
	}
}
