package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
)

// noAnswer is a handler that writes nothing.
var noAnswer = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})

// sendRequest sends a request with a header of the given size on conn and
// returns the response's status code.
func sendRequest(is *is.I, conn net.Conn, size int) string {
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", size))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Status[:3]
}

func TestLimitsChangeForNewConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	cl := newCallerServer(listener, callerSettings{handler: noAnswer})
	done := make(chan error, 1)
	go func() { done <- cl.serve() }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	const long = 20_000
	is.Equal(sendRequest(is, dial(), long), "200")
	cl.setLimits(conf.Limits{MaxHeaderBytes: 8192, IdleTimeout: 50 * time.Millisecond})
	conn := dial()
	is.Equal(sendRequest(is, conn, 10), "200")
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the server closes the connection after the idle timeout
	is.Equal(sendRequest(is, dial(), long), "431")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	cl.close(ctx)
	is.True(<-done != nil)
}

// delayedListener returns its only connection from Accept just after Close is
// called. This simulates an Accept that races with Close.
type delayedListener struct {
	net.Listener
	closing  chan struct{}
	accepted bool
}

func (dl *delayedListener) Accept() (net.Conn, error) {
	<-dl.closing
	if dl.accepted {
		return nil, net.ErrClosed
	}
	dl.accepted = true
	return dl.Listener.Accept()
}

func (dl *delayedListener) Close() error {
	close(dl.closing)
	return nil
}

// TestAcceptDuringClose checks that a request is answered if its connection is
// accepted while the server is being closed.
func TestAcceptDuringClose(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = inner.Close() }()
	cl := newCallerServer(&delayedListener{Listener: inner, closing: make(chan struct{})}, callerSettings{handler: noAnswer})
	conn, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	answered := make(chan string, 1)
	go func() { answered <- sendRequest(is, conn, 10) }()
	served := make(chan error, 1)
	go func() { served <- cl.serve() }()
	cl.close(context.Background())
	is.True(<-served != nil)
	is.Equal(<-answered, "200")
}

// scarceListener fails some times for want of descriptors before it accepts connections.
type scarceListener struct {
	net.Listener
	failures int
}

func (sl *scarceListener) Accept() (net.Conn, error) {
	if sl.failures > 0 {
		sl.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return sl.Listener.Accept()
}

// TestAcceptGoesOnAfterShortage guards against a node that ends when it has no descriptor
// for another connection.
func TestAcceptGoesOnAfterShortage(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refused := 0
	cl := newCallerServer(&scarceListener{Listener: inner, failures: 3}, callerSettings{handler: noAnswer, onRefused: func(error) { refused++ }})
	served := make(chan error, 1)
	go func() { served <- cl.serve() }()
	conn, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.Equal(sendRequest(is, conn, 10), "200")
	_ = conn.Close()
	cl.close(context.Background())
	is.True(<-served != nil)
	is.Equal(refused, 1) // a series is reported once
}

// TestCallersWaitForAFreeConnection guards against callers who take all descriptors, so that
// none is left for connections to upstreams and peers.
func TestCallersWaitForAFreeConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	cl := newCallerServer(listener, callerSettings{handler: noAnswer, maxConns: 2})
	served := make(chan error, 1)
	go func() { served <- cl.serve() }()
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	is.Equal(sendRequest(is, conns[0], 10), "200")
	is.Equal(sendRequest(is, conns[1], 10), "200")
	third := make(chan string, 1)
	go func() { third <- sendRequest(is, conns[2], 10) }()
	is.Equal(len(cl.slots), 2)
	_ = conns[0].Close()
	is.Equal(<-third, "200")
	_, _ = conns[1].Close(), conns[2].Close()
	cl.close(context.Background())
	is.True(<-served != nil)
}
