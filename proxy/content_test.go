package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// TestContentOfARequest checks what makes a request the same one when it comes again, at
// any node and with another identifier.
func TestContentOfARequest(t *testing.T) {
	check := is.New(t)
	contents := make(chan types.ContentHash, 1)
	var entry *proxy.Entry
	post := func(event types.Event) {
		if arrived, ok := event.(flow.CallArrived); ok {
			contents <- arrived.Content
			entry.Apply(flow.Fail{Call: arrived.Call, Err: fault.New(fault.NoUpstream, "none")})
		}
	}
	owner := proxy.NewOwner(post, func() route.Load { return route.Load{} }, time.Now)
	entry = proxy.NewEntry("a", post, owner, proxy.NewForwarder(time.Now, bodyLimit), time.Now)
	content := func(method, uri, body string, header ...string) types.ContentHash {
		request := httptest.NewRequest(method, uri, strings.NewReader(body))
		for i := 0; i+1 < len(header); i += 2 {
			request.Header.Set(header[i], header[i+1])
		}
		entry.ServeHTTP(httptest.NewRecorder(), request)
		return <-contents
	}
	first := content(http.MethodPost, "/a?x=1", "body")
	check.Equal(content(http.MethodPost, "http://10.0.0.2:8080/a?x=1", "body"), first)
	check.Equal(content(http.MethodPost, "/a?x=1", "body", "X-Request-Id", "7", "Idempotency-Key", "k", "Sequoiamill-Time-Left-Micros", "9000000"), first)
	for _, other := range []types.ContentHash{
		content(http.MethodPut, "/a?x=1", "body"), content(http.MethodPost, "/a?x=2", "body"), content(http.MethodPost, "/a?x=1", "other"),
		content(http.MethodPost, "/a?x=1", "body", "Authorization", "caller"), content(http.MethodPost, "/a?x=1", "body", "X-Tenant", "t"),
	} {
		check.True(other != first)
	}
	check.True(first.WithRoute("r") != first.WithRoute("q"))
}
