package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// attemptConn records the connection that the HTTP transport uses for an attempt.
// Once a connection is recorded, the attempt counts as sent, because the
// transport may have written the request to it.
type attemptConn struct {
	mu   sync.Mutex
	conn net.Conn
}

// trace returns a context in which the transport's connection is recorded.
func (ac *attemptConn) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		ac.mu.Lock()
		defer ac.mu.Unlock()
		ac.conn = info.Conn
	}})
}

func (ac *attemptConn) sent() bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.conn != nil
}

// close closes the connection, so that the transport does not reuse it.
func (ac *attemptConn) close() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.conn != nil {
		_ = ac.conn.Close()
	}
}

// setNonReplayableBody gives a request a body that the HTTP transport cannot
// replay, so that it never sends the request again on another connection. This
// applies to an empty body too, which the transport would otherwise replay.
func setNonReplayableBody(request *http.Request, body io.Reader, size int) {
	request.Body = io.NopCloser(body)
	request.ContentLength = int64(size)
	request.GetBody = nil
}
