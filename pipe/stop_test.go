package pipe_test

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/pipe"
)

// hookedConn calls afterRead once bytes have been read, before the reader gets them,
// afterWrite once bytes have been written, before the writer goes on, and atDeadline before
// the deadline of reading changes. Each may be nil.
type hookedConn struct {
	net.Conn
	afterRead, afterWrite func()
	atDeadline            func(at time.Time)
}

// Read implements io.Reader.
func (hc hookedConn) Read(buffer []byte) (int, error) {
	count, err := hc.Conn.Read(buffer)
	if count > 0 && hc.afterRead != nil {
		hc.afterRead()
	}
	return count, err
}

// Write implements io.Writer.
func (hc hookedConn) Write(part []byte) (int, error) {
	count, err := hc.Conn.Write(part)
	if hc.afterWrite != nil {
		hc.afterWrite()
	}
	return count, err
}

// SetReadDeadline implements net.Conn.
func (hc hookedConn) SetReadDeadline(at time.Time) error {
	if hc.atDeadline != nil {
		hc.atDeadline(at)
	}
	return hc.Conn.SetReadDeadline(at)
}

// shortRequest is a request without a body.
const shortRequest = "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"

func newStoppable() *pipe.Server {
	return &pipe.Server{
		Handler:       http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("whole")) }),
		HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 4096,
	}
}

// wantAnswer reads an answer and checks whether it says that the connection closes.
func wantAnswer(check *is.I, reader *bufio.Reader, closes bool) {
	response, err := http.ReadResponse(reader, nil)
	check.NoErr(err)
	check.Equal(response.StatusCode, http.StatusOK)
	check.Equal(response.Close, closes)
	var body strings.Builder
	_, err = bufio.NewReader(response.Body).WriteTo(&body)
	check.NoErr(err)
	check.Equal(body.String(), "whole")
}

// newConns returns both ends of a TCP connection.
func newConns(t *testing.T) (client, end net.Conn) {
	check := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", listener.Addr().String())
	check.NoErr(err)
	end, err = listener.Accept()
	check.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	return client, end
}

// TestStopAnswersRequestThatIsBeingRead guards against a stop that takes a connection for
// idle while a request has been read from it, and closes it without an answer.
func TestStopAnswersRequestThatIsBeingRead(t *testing.T) {
	check := is.New(t)
	client, end := newConns(t)
	server := newStoppable()
	var reads atomic.Int64
	server.Serve(hookedConn{Conn: end, afterRead: func() {
		if reads.Add(1) == 2 {
			server.Stop()
		}
	}})
	reader := bufio.NewReader(client)
	for number := range 2 {
		_, err := client.Write([]byte(shortRequest))
		check.NoErr(err)
		wantAnswer(check, reader, number == 1)
	}
	_, err := reader.ReadByte()
	check.True(err != nil) // the server closes the connection
}

// TestStopAnswersRequestReadBehindAWrittenAnswer guards against a stop that drops a request
// which was read before the writer of the answer ahead of it went on.
func TestStopAnswersRequestReadBehindAWrittenAnswer(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		check := is.New(t)
		client, end := newConns(t)
		var writes atomic.Int64
		var leaves atomic.Bool
		written, held, release := make(chan struct{}), make(chan struct{}, 2), make(chan struct{})
		server := newStoppable()
		server.Leaving, server.OnHold = leaves.Load, func() { held <- struct{}{} }
		server.Serve(hookedConn{Conn: end, afterWrite: func() {
			if writes.Add(1) == 1 {
				close(written)
				<-release
			}
		}})
		reader := bufio.NewReader(client)
		_, err := client.Write([]byte(shortRequest))
		check.NoErr(err)
		wantAnswer(check, reader, false)
		<-written
		leaves.Store(leaving)
		_, err = client.Write([]byte(shortRequest))
		check.NoErr(err)
		<-held
		if !leaving {
			server.Stop()
		}
		close(release)
		wantAnswer(check, reader, true)
		_, err = reader.ReadByte()
		check.True(err != nil) // the server closes the connection
	}
}

// TestStopReadsWhatLiesInTheSocket guards against a reader that is held up while it reads an
// idle connection for the last time, and misses a request that has come.
func TestStopReadsWhatLiesInTheSocket(t *testing.T) {
	check := is.New(t)
	client, end := newConns(t)
	server := newStoppable()
	var sent atomic.Bool
	server.Serve(hookedConn{Conn: end, atDeadline: func(at time.Time) {
		if left := time.Until(at); left > 0 && left < time.Second && sent.CompareAndSwap(false, true) {
			_, _ = client.Write([]byte(shortRequest))
			time.Sleep(2 * left)
		}
	}})
	reader := bufio.NewReader(client)
	_, err := client.Write([]byte(shortRequest))
	check.NoErr(err)
	wantAnswer(check, reader, false)
	time.Sleep(20 * time.Millisecond)
	server.Stop()
	wantAnswer(check, reader, true)
	check.True(sent.Load())
}

// TestStopClosesIdleConnection checks that a stop closes a connection that waits for its
// next request, also if the stop comes as its last answer is written.
func TestStopClosesIdleConnection(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		check := is.New(t)
		client, end := newConns(t)
		closed := make(chan struct{})
		server := newStoppable()
		server.OnClosed = func() { close(closed) }
		server.Serve(end)
		reader := bufio.NewReader(client)
		_, err := client.Write([]byte(shortRequest))
		check.NoErr(err)
		wantAnswer(check, reader, false)
		time.Sleep(pause)
		server.Stop()
		<-closed
		_, err = reader.ReadByte()
		check.True(err != nil)
	}
}

// restlessCaller sends a request after each answer, until its connection is closed.
type restlessCaller struct {
	check  *is.I
	client net.Conn
	// read counts the requests that the server has read, answered those that got an answer.
	read, answered atomic.Int64
}

func (rc *restlessCaller) call() {
	defer func() { _ = rc.client.Close() }()
	reader := bufio.NewReader(rc.client)
	for {
		_, _ = rc.client.Write([]byte(shortRequest))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		rc.check.NoErr(err)
		rc.answered.Add(1)
		if response.Close {
			return
		}
	}
}

// TestStopEndsEveryConnection guards against connections that stay open after a stop, and
// requests that are read but not answered, whatever callers do meanwhile. A request that
// comes after the last read of an idle connection crosses its close.
func TestStopEndsEveryConnection(t *testing.T) {
	const rounds, count = 20, 24
	check := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range rounds {
		var open, active sync.WaitGroup
		server := newStoppable()
		server.OnClosed = open.Done
		callers := make([]*restlessCaller, count)
		for i := range callers {
			client, end := newConns(t)
			caller := &restlessCaller{check: check, client: client}
			callers[i] = caller
			open.Add(1)
			server.Serve(hookedConn{Conn: end, afterRead: func() { caller.read.Add(1) }})
			active.Go(caller.call)
		}
		time.Sleep(time.Duration(rng.IntN(10_000)) * time.Microsecond)
		server.Stop()
		active.Wait()
		ended := make(chan struct{})
		go func() {
			open.Wait()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("a connection stays open")
		}
		for _, caller := range callers {
			check.Equal(caller.answered.Load(), caller.read.Load())
		}
	}
}
