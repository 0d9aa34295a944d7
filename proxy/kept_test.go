package proxy_test

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/types"
)

// TestBodyOfKeyedWorkIsNotKept guards against owners that keep the bodies of requests with
// an idempotency key as long as their answers.
func TestBodyOfKeyedWorkIsNotKept(t *testing.T) {
	check := is.New(t)
	fx := newFixture(t)
	body := make([]byte, bodyLimit/2)
	kept := weak.Make(&body[0])
	result := fx.owner.Do(context.Background(), proxy.Job{
		Request: "r", Method: http.MethodPost, URI: "/", Header: http.Header{}, Body: body, Deadline: time.Now().Add(time.Minute),
		Key: types.Some(types.Key("k")), Route: conf.Route{Service: "intake"},
	})
	check.Equal(result.Verdict, flow.Answered)
	for range 10 {
		runtime.GC()
		if kept.Value() == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the body is still kept")
}
