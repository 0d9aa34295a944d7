package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// usedConn is the connection that an attempt was given. From then on the
// attempt counts as sent.
type usedConn struct {
	mu   sync.Mutex
	conn net.Conn
}

func (uc *usedConn) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		uc.mu.Lock()
		defer uc.mu.Unlock()
		uc.conn = info.Conn
	}})
}

func (uc *usedConn) sent() bool {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	return uc.conn != nil
}

// close keeps the connection from being used again.
func (uc *usedConn) close() {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	if uc.conn != nil {
		_ = uc.conn.Close()
	}
}

// setBodyOnce gives a request a body that the transport cannot replay. An
// empty one is no exception: the transport would send the request again on
// another connection.
func setBodyOnce(request *http.Request, body io.Reader, size int) {
	request.Body = io.NopCloser(body)
	request.ContentLength = int64(size)
	request.GetBody = nil
}
