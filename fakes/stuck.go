package fakes

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// endlessChunk is the size in bytes of the writes of a StuckServer that sends without
// end.
const endlessChunk = 32 << 10

// Answers of a StuckServer. All but Silent are followed by bytes without end.
const (
	// EndlessHead begins an answer whose head never ends.
	EndlessHead = "HTTP/1.1 200 OK\r\nX-Text: "
	// EndlessStatus begins an answer whose status line never ends.
	EndlessStatus = "HTTP/1.1 200 "
	// EndlessBody begins an answer without a length, whose body never ends.
	EndlessBody = "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: %s\r\n\r\n"
	// EndlessNoise is the beginning of no answer at all.
	EndlessNoise = "\x00"
	// Silent means that nothing is ever sent.
	Silent = ""
)

// StuckServer is an upstream or a platform in trouble. It reads each request and then
// sends Answer and bytes without end, or nothing at all, until the client closes the
// connection. It is safe for concurrent use.
type StuckServer struct {
	// Answer is one of EndlessHead, EndlessStatus, EndlessBody, EndlessNoise and
	// Silent.
	Answer string
	// Slots is the number of requests that a server with the answer Silent serves
	// at a time. It answers these whole; it never answers the ones above, nor any
	// later request on the same connection.
	Slots int
	// Release lets one of the requests in the slots end.
	Release chan struct{}

	sent     atomic.Int64
	closed   atomic.Int64
	unserved atomic.Int64
	mu       sync.Mutex
	running  int
}

// Listen serves the connections of a listener until it is closed.
func (ss *StuckServer) Listen(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go ss.serve(conn)
	}
}

// Sent returns the number of bytes that the clients have accepted.
func (ss *StuckServer) Sent() int64 { return ss.sent.Load() }

// Closed returns the number of connections that the clients have closed.
func (ss *StuckServer) Closed() int64 { return ss.closed.Load() }

// Unserved returns the number of requests that were never answered.
func (ss *StuckServer) Unserved() int64 { return ss.unserved.Load() }

func (ss *StuckServer) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		ss.closed.Add(1)
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Sequoiamill-Request-Id")
		if ss.Answer != Silent {
			ss.sendEndless(conn, id)
			return
		}
		if !ss.take() {
			ss.unserved.Add(1)
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		<-ss.Release
		ss.mu.Lock()
		ss.running--
		ss.mu.Unlock()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: "+id+"\r\nContent-Length: 5\r\n\r\nwhole")
	}
}

// take takes a slot, if one is free.
func (ss *StuckServer) take() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.running >= ss.Slots {
		return false
	}
	ss.running++
	return true
}

func (ss *StuckServer) sendEndless(conn net.Conn, id string) {
	_, err := conn.Write(bytes.Replace([]byte(ss.Answer), []byte("%s"), []byte(id), 1))
	chunk := bytes.Repeat([]byte("x"), endlessChunk)
	for err == nil {
		var count int
		count, err = conn.Write(chunk)
		ss.sent.Add(int64(count))
	}
}
