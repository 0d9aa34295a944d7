package node

import (
	"context"
	"net"
	"net/http"
	"sync"

	"sequoiamill.example/sequoiamill/conf"
)

// defaultHeaderBytes is the maximum size of a request's header in bytes if the
// configuration sets no limit.
const defaultHeaderBytes = 1 << 20

// callerServer serves HTTP to callers on one listener. The configuration may
// change the limits of a running callerServer: connections accepted afterwards
// are served by a new http.Server with the new limits, and earlier connections
// are closed when they become idle.
type callerServer struct {
	listener net.Listener
	handler  http.Handler
	// acceptDone is closed when serve has returned: no more connections are
	// accepted, and each accepted one has been passed to an http.Server.
	acceptDone chan struct{}

	mu           sync.Mutex
	limits       conf.Limits
	server       *http.Server
	connListener *chanListener
	closed       bool
	// openConns counts the accepted connections that are not closed yet.
	openConns sync.WaitGroup
}

func newCallerServer(listener net.Listener, handler http.Handler) *callerServer {
	cl := &callerServer{listener: listener, handler: handler, acceptDone: make(chan struct{})}
	cl.start(conf.Limits{})
	return cl
}

// start replaces the http.Server for new connections by one with the given
// limits.
func (cl *callerServer) start(limits conf.Limits) {
	server := &http.Server{
		Handler:           cl.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    defaultHeaderBytes,
		ConnState:         cl.trackConn,
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout
	}
	if limits.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = int(limits.MaxHeaderBytes)
	}
	cl.limits, cl.server, cl.connListener = limits, server, newChanListener(cl.listener.Addr())
	go func() { _ = server.Serve(cl.connListener) }()
}

// setLimits applies the limits to connections accepted from now on. The
// previous http.Server closes each of its connections when it becomes idle.
func (cl *callerServer) setLimits(limits conf.Limits) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed || limits == cl.limits {
		return
	}
	old, oldListener := cl.server, cl.connListener
	cl.start(limits)
	_ = oldListener.Close()
	old.SetKeepAlivesEnabled(false)
}

// trackConn is the ConnState callback of every http.Server. It removes a
// connection from openConns when the connection is closed or hijacked.
func (cl *callerServer) trackConn(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		cl.openConns.Done()
	}
}

// serve accepts connections until the listener is closed.
func (cl *callerServer) serve() error {
	defer close(cl.acceptDone)
	for {
		conn, err := cl.listener.Accept()
		if err != nil {
			return err
		}
		cl.handOff(conn)
	}
}

// handOff passes a connection to the current http.Server. It holds mu, so that
// setLimits cannot replace that server before the server has received the
// connection.
func (cl *callerServer) handOff(conn net.Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.openConns.Add(1)
	cl.connListener.conns <- conn
}

// close stops accepting connections and waits until all open connections have
// closed, or until ctx ends. A request that arrives during the wait on a
// connection accepted earlier is still answered; http.Server.Shutdown might close
// that connection without an answer.
func (cl *callerServer) close(ctx context.Context) {
	_ = cl.listener.Close()
	drained := make(chan struct{})
	go func() {
		<-cl.acceptDone
		cl.mu.Lock()
		cl.closed = true
		cl.server.SetKeepAlivesEnabled(false)
		cl.mu.Unlock()
		cl.openConns.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	_ = cl.server.Close()
}

// chanListener is a net.Listener that accepts the connections sent on conns.
type chanListener struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newChanListener(address net.Addr) *chanListener {
	return &chanListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept returns the next connection sent on conns, or net.ErrClosed after
// Close.
func (ln *chanListener) Accept() (net.Conn, error) {
	select {
	case conn := <-ln.conns:
		return conn, nil
	case <-ln.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (ln *chanListener) Close() error {
	ln.once.Do(func() { close(ln.done) })
	return nil
}

// Addr returns the address of the network listener that accepted the
// connections.
func (ln *chanListener) Addr() net.Addr { return ln.address }
