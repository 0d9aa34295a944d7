package pipe

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headSlop is how many bytes above Server.MaxHeaderBytes the head of a request may
	// have, as in net/http.
	headSlop = 4 << 10
	// lingerTime is how long a connection is read on after its last answer if the caller
	// has sent more. Otherwise, the caller might lose the answer to a reset.
	lingerTime = 500 * time.Millisecond
	// maxDiscard is the number of bytes of a body left unread by the handler up to which
	// the connection is kept.
	maxDiscard = 256 << 10
	// maxSpare is the number of bytes that are read from a caller while none of its
	// further requests may run.
	maxSpare = 64 << 10
	// holdBytes is the number of bytes of an answer that are kept until its turn comes.
	// The handler of a longer answer waits.
	holdBytes = 16 << 10
)

// Server serves the connections of callers. Its fields must not change after the first
// call of Serve.
type Server struct {
	Handler http.Handler
	// Ahead reports whether a request may be repeated, so that it may run before the
	// answers ahead of it are written. If it is nil, no request may.
	Ahead func(*http.Request) bool
	// Leaving reports whether each answer is to close its connection, after those to the
	// requests that have been read. It may be nil.
	Leaving func() bool
	// Bounds are the bounds of each connection. The zero value selects DefaultBounds.
	Bounds Bounds
	// HeaderTimeout is the maximum duration of reading the head of a request, and
	// IdleTimeout that of waiting for the next request or for the next bytes of a body.
	// Both must be above 0. Reading a body that has stalled fails with
	// os.ErrDeadlineExceeded.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// MaxHeaderBytes is the maximum size of a request's head in bytes.
	MaxHeaderBytes int
	// OnAhead is called for each request that runs before the answers ahead of it are
	// written, and OnHold for each that may not run yet. Both may be nil.
	OnAhead func()
	OnHold  func()
	// OnLate is called for each body on which no byte came within IdleTimeout. It may be
	// nil.
	OnLate func()
	// OnClosed is called when a connection is closed and its handlers have returned. It
	// may be nil.
	OnClosed func()
	// OnPanic is called with the value of a handler's panic, except for
	// http.ErrAbortHandler. It may be nil.
	OnPanic func(value any)

	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// Serve serves a connection in goroutines of its own.
func (sv *Server) Serve(netConn net.Conn) {
	bounds := sv.Bounds
	if bounds == (Bounds{}) {
		bounds = DefaultBounds()
	}
	cn := newConn(sv, netConn, bounds)
	sv.mu.Lock()
	if sv.conns == nil {
		sv.conns = map[*conn]struct{}{}
	}
	sv.conns[cn] = struct{}{}
	sv.mu.Unlock()
	if sv.stopping.Load() {
		cn.stop()
	}
	go cn.serve()
}

// Stop closes the idle connections. Each other connection is closed after the answers to
// the requests read so far, the last of which says so. On a new connection, that is the
// answer to its first request.
func (sv *Server) Stop() {
	sv.stopping.Store(true)
	for _, cn := range sv.open() {
		cn.stop()
	}
}

// Close closes all connections at once.
func (sv *Server) Close() {
	for _, cn := range sv.open() {
		cn.kill()
	}
}

func (sv *Server) open() []*conn {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	open := make([]*conn, 0, len(sv.conns))
	for cn := range sv.conns {
		open = append(open, cn)
	}
	return open
}

func (sv *Server) remove(cn *conn) {
	sv.mu.Lock()
	delete(sv.conns, cn)
	sv.mu.Unlock()
	if sv.OnClosed != nil {
		sv.OnClosed()
	}
}

func (sv *Server) isStopping() bool {
	return sv.stopping.Load() || sv.Leaving != nil && sv.Leaving()
}

func (sv *Server) count(counted func()) {
	if counted != nil {
		counted()
	}
}

func (sv *Server) ahead(request *http.Request) bool {
	return sv.Ahead != nil && sv.Ahead(request)
}

// contextOf returns the context of all requests of a connection.
func contextOf(netConn net.Conn) (context.Context, context.CancelFunc) {
	ctx := context.WithValue(context.Background(), http.LocalAddrContextKey, netConn.LocalAddr())
	return context.WithCancel(ctx)
}

// tlsState returns the state of a connection on which a request has been read, or nil if
// the connection has no TLS.
func tlsState(netConn net.Conn) *tls.ConnectionState {
	switch secured := netConn.(type) {
	case *tls.Conn:
		state := secured.ConnectionState()
		return &state
	case interface{ TLS() *tls.ConnectionState }:
		return secured.TLS()
	default:
		return nil
	}
}
