package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
)

// ask sends a request with a header of a size on a connection and returns the
// status of the answer.
func ask(is *is.I, conn net.Conn, size int) string {
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
	cl := newCallers(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	done := make(chan error, 1)
	go func() { done <- cl.serve() }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	const long = 20_000
	is.Equal(ask(is, dial(), long), "200")
	cl.setLimits(conf.Limits{HeaderBytes: 8192, IdleTimeout: 50 * time.Millisecond})
	conn := dial()
	is.Equal(ask(is, conn, 10), "200")
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed when idle for too long
	is.Equal(ask(is, dial(), long), "431")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	cl.close(ctx)
	is.True(<-done != nil)
}

// heldListener accepts its one connection only once it is closed, as an accept
// that crosses the close does.
type heldListener struct {
	net.Listener
	closing  chan struct{}
	accepted bool
}

func (hl *heldListener) Accept() (net.Conn, error) {
	<-hl.closing
	if hl.accepted {
		return nil, net.ErrClosed
	}
	hl.accepted = true
	return hl.Listener.Accept()
}

func (hl *heldListener) Close() error {
	close(hl.closing)
	return nil
}

// TestAcceptCrossesClose answers a request on a connection that was accepted
// while the service was being closed.
func TestAcceptCrossesClose(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = inner.Close() }()
	cl := newCallers(&heldListener{Listener: inner, closing: make(chan struct{})}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	conn, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	answered := make(chan string, 1)
	go func() { answered <- ask(is, conn, 10) }()
	served := make(chan error, 1)
	go func() { served <- cl.serve() }()
	cl.close(context.Background())
	is.True(<-served != nil)
	is.Equal(<-answered, "200")
}
