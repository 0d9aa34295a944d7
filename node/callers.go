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
	// handed is closed when the last connection that was accepted has its server.
	handed chan struct{}

	mu     sync.Mutex
	limits conf.Limits
	server *http.Server
	feed   *feed
	closed bool
	// open counts the connections that are not closed.
	open sync.WaitGroup
}

func newCallers(listener net.Listener, handler http.Handler) *callers {
	cl := &callers{listener: listener, handler: handler, handed: make(chan struct{})}
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
		ConnState:         cl.count,
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
	old, feed := cl.server, cl.feed
	cl.start(limits)
	_ = feed.Close()
	old.SetKeepAlivesEnabled(false)
}

// count notes that a connection has ended.
func (cl *callers) count(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		cl.open.Done()
	}
}

// serve accepts connections until the listener is closed.
func (cl *callers) serve() error {
	defer close(cl.handed)
	for {
		conn, err := cl.listener.Accept()
		if err != nil {
			return err
		}
		cl.hand(conn)
	}
}

// hand gives a connection to the present server, which ends only after it.
func (cl *callers) hand(conn net.Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.open.Add(1)
	cl.feed.conns <- conn
}

// close ends the service when what is under way is answered, or at the latest
// with the context. A request that comes meanwhile on a connection that was
// accepted before is answered too, which a shutdown by the library would not.
func (cl *callers) close(ctx context.Context) {
	_ = cl.listener.Close()
	quiet := make(chan struct{})
	go func() {
		<-cl.handed
		cl.mu.Lock()
		cl.closed = true
		cl.server.SetKeepAlivesEnabled(false)
		cl.mu.Unlock()
		cl.open.Wait()
		close(quiet)
	}()
	select {
	case <-quiet:
	case <-ctx.Done():
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	_ = cl.server.Close()
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
