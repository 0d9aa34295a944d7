package node

import (
	"context"
	"net"
	"net/http"
	"sync"

	"sequoiamill.example/sequoiamill/conf"
)

// defaultHeaderBytes bounds the head of a request if the configuration does not.
const defaultHeaderBytes = 1 << 20

// callers serves one listener. The limits on callers may change: connections
// that are accepted later are served under the new ones, those before end when
// they fall idle.
type callers struct {
	listener net.Listener
	handler  http.Handler

	mu     sync.Mutex
	limits conf.Limits
	server *http.Server
	feed   *feed
	closed bool
}

func newCallers(listener net.Listener, handler http.Handler) *callers {
	cl := &callers{listener: listener, handler: handler}
	cl.start(conf.Limits{})
	return cl
}

// start serves new connections under limits.
func (cl *callers) start(limits conf.Limits) {
	server := &http.Server{
		Handler:           cl.handler,
		ReadHeaderTimeout: readHeaderLimit,
		IdleTimeout:       callerIdleLimit,
		MaxHeaderBytes:    defaultHeaderBytes,
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout
	}
	if limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = int(limits.HeaderBytes)
	}
	cl.limits, cl.server, cl.feed = limits, server, newFeed(cl.listener.Addr())
	go func() { _ = server.Serve(cl.feed) }()
}

// setLimits changes the limits of the connections to come.
func (cl *callers) setLimits(limits conf.Limits) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed || limits == cl.limits {
		return
	}
	old := cl.server
	cl.start(limits)
	go func() { _ = old.Shutdown(context.Background()) }()
}

// serve accepts connections until the listener is closed.
func (cl *callers) serve() error {
	for {
		conn, err := cl.listener.Accept()
		if err != nil {
			return err
		}
		cl.mu.Lock()
		feed := cl.feed
		cl.mu.Unlock()
		feed.put(conn)
	}
}

// close ends the service when what is under way is answered, or at the latest
// with the context.
func (cl *callers) close(ctx context.Context) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.closed = true
	_ = cl.listener.Close()
	if cl.server.Shutdown(ctx) != nil {
		_ = cl.server.Close()
	}
}

// feed is a listener whose connections are put into it.
type feed struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newFeed(address net.Addr) *feed {
	return &feed{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (fd *feed) put(conn net.Conn) {
	select {
	case fd.conns <- conn:
	case <-fd.done:
		_ = conn.Close()
	}
}

// Accept returns the next connection that was put.
func (fd *feed) Accept() (net.Conn, error) {
	select {
	case conn := <-fd.conns:
		return conn, nil
	case <-fd.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (fd *feed) Close() error {
	fd.once.Do(func() { close(fd.done) })
	return nil
}

// Addr returns the address of the listener that the connections come from.
func (fd *feed) Addr() net.Addr { return fd.address }
