package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/pipe"
	"sequoiamill.example/sequoiamill/trace"
)

const (
	// defaultHeaderBytes is the maximum size of a request's header in bytes if the
	// configuration sets no limit.
	defaultHeaderBytes = 1 << 20
	// minAcceptPause and maxAcceptPause bound the wait after a connection could not be
	// accepted.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
	// reservedPart is the part of the process's descriptors that callers' connections
	// leave to those to upstreams, peers and the platform.
	reservedPart = 8
)

// callerServer serves HTTP to callers on one listener. The configuration may
// change the limits of a running callerServer: connections accepted afterwards
// are served by a new pipe.Server with the new limits, and earlier connections
// are closed when they become idle.
type callerServer struct {
	listener net.Listener
	// settings are the fields of every pipe.Server, but for the limits.
	settings callerSettings
	// acceptDone is closed when serve has returned: no more connections are
	// accepted, and each accepted one has been passed to a pipe.Server.
	acceptDone chan struct{}
	// closing is closed when no more connections are to be accepted.
	closing chan struct{}

	mu     sync.Mutex
	limits conf.Limits
	server *pipe.Server
	closed bool
	// openConns counts the accepted connections that are not closed yet.
	openConns sync.WaitGroup
	// slots holds one element for each open connection. While it is full, callers wait to
	// be accepted. It is nil if the number of connections is not limited.
	slots chan struct{}
}

// callerSettings are what a callerServer needs to know of its node. All fields but
// handler may be nil.
type callerSettings struct {
	handler http.Handler
	// ahead reports whether a request may be repeated, leaving whether the node stops.
	ahead   func(*http.Request) bool
	leaving func() bool
	count   func(trace.Counter)
	onPanic func(value any)
	// onRefused gets the first of a series of errors for which no connection could be
	// accepted.
	onRefused func(err error)
	// onLate is called for each body that stops before its end.
	onLate func()
	// maxConns is the maximum number of open connections; 0 means no limit.
	maxConns int
}

func newCallerServer(listener net.Listener, settings callerSettings) *callerServer {
	if settings.count == nil {
		settings.count = func(trace.Counter) {}
	}
	if settings.onRefused == nil {
		settings.onRefused = func(error) {}
	}
	cl := &callerServer{listener: listener, settings: settings, acceptDone: make(chan struct{}), closing: make(chan struct{})}
	if settings.maxConns > 0 {
		cl.slots = make(chan struct{}, settings.maxConns)
	}
	cl.start(conf.Limits{})
	return cl
}

// start replaces the pipe.Server for new connections by one with the given
// limits.
func (cl *callerServer) start(limits conf.Limits) {
	server := &pipe.Server{
		Handler:        cl.settings.handler,
		Ahead:          cl.settings.ahead,
		Leaving:        cl.settings.leaving,
		HeaderTimeout:  readHeaderTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: defaultHeaderBytes,
		OnAhead:        func() { cl.settings.count(trace.CallsReadAhead) },
		OnHold:         func() { cl.settings.count(trace.CallsHeldBehind) },
		OnLate:         cl.settings.onLate,
		OnClosed:       cl.connClosed,
		OnPanic:        cl.settings.onPanic,
	}
	if limits.HeaderTimeout > 0 {
		server.HeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout
	}
	if limits.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = int(limits.MaxHeaderBytes)
	}
	cl.limits, cl.server = limits, server
}

// setLimits applies the limits to connections accepted from now on. The
// previous pipe.Server closes each of its connections when it becomes idle.
func (cl *callerServer) setLimits(limits conf.Limits) {
	cl.mu.Lock()
	if cl.closed || limits == cl.limits {
		cl.mu.Unlock()
		return
	}
	old := cl.server
	cl.start(limits)
	cl.mu.Unlock()
	old.Stop()
}

// serve accepts connections until the listener is closed. While the process has no
// descriptor or memory for another connection, callers wait.
func (cl *callerServer) serve() error {
	defer close(cl.acceptDone)
	pause := minAcceptPause
	for cl.takeSlot() {
		conn, err := cl.listener.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			cl.handOff(conn)
		case isShortage(err):
			if pause == minAcceptPause {
				cl.settings.onRefused(err)
			}
			cl.freeSlot()
			cl.await(pause)
			pause = min(2*pause, maxAcceptPause)
		default:
			return err
		}
	}
	return net.ErrClosed
}

// isShortage reports whether a connection can be accepted once others have been closed.
func isShortage(err error) bool {
	for _, number := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, number) {
			return true
		}
	}
	return false
}

// takeSlot waits until another connection may be open. It returns false if no more
// connections are to be accepted.
func (cl *callerServer) takeSlot() bool {
	if cl.slots == nil {
		return true
	}
	select {
	case cl.slots <- struct{}{}:
		return true
	case <-cl.closing:
		return false
	}
}

func (cl *callerServer) freeSlot() {
	if cl.slots != nil {
		<-cl.slots
	}
}

func (cl *callerServer) connClosed() {
	cl.freeSlot()
	cl.openConns.Done()
}

func (cl *callerServer) await(pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-cl.closing:
	}
}

// maxCallerConns returns how many connections of callers a process may hold, by its limit
// of descriptors, or 0 if that is not known.
func maxCallerConns() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	descriptors := min(limit.Cur, math.MaxInt32)
	return int(descriptors - descriptors/reservedPart)
}

// handOff passes a connection to the current pipe.Server. It holds mu, so that
// setLimits cannot replace that server before the server has received the
// connection.
func (cl *callerServer) handOff(conn net.Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.openConns.Add(1)
	cl.server.Serve(conn)
}

// close stops accepting connections and waits until all open connections have
// closed, or until ctx ends. A request that arrives during the wait on a
// connection accepted earlier is still answered.
func (cl *callerServer) close(ctx context.Context) {
	close(cl.closing)
	_ = cl.listener.Close()
	drained := make(chan struct{})
	go func() {
		<-cl.acceptDone
		cl.mu.Lock()
		cl.closed = true
		server := cl.server
		cl.mu.Unlock()
		server.Stop()
		cl.openConns.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	}
	cl.mu.Lock()
	server := cl.server
	cl.mu.Unlock()
	server.Close()
}
