package fakes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Ending is how a RawServer ends a connection.
type Ending int

const (
	// ReadOn means that the server keeps the connection and reads what comes, until
	// the client closes it.
	ReadOn Ending = iota
	// ResetAtOnce means that the server resets the connection and discards what the
	// client still sends.
	ResetAtOnce
	// FinishAndReadOn means that the server ends its side in order and then reads what
	// comes, until the client closes the connection.
	FinishAndReadOn
	// FinishAndReset means that the server ends its side in order and then resets the
	// connection.
	FinishAndReset
)

// RawServer is a server that answers with raw bytes. It reads the head of a request, and
// not its body, before it answers. It is safe for concurrent use.
type RawServer struct {
	// Answer is what the server sends. The request identifier replaces %s.
	Answer string
	// First is sent in place of Answer to the first request, unless it is empty.
	First string
	// Ending says how the server ends the connection, and Wait how long after the answer.
	Ending Ending
	Wait   time.Duration

	requests, closed atomic.Int64
}

// Listen serves the connections of a listener until it is closed.
func (rs *RawServer) Listen(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go rs.serve(conn.(*net.TCPConn))
	}
}

// Requests returns the number of requests that were answered.
func (rs *RawServer) Requests() int64 { return rs.requests.Load() }

// Closed returns the number of connections that have ended after an answer.
func (rs *RawServer) Closed() int64 { return rs.closed.Load() }

func (rs *RawServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	answer := rs.Answer
	if rs.requests.Add(1) == 1 && rs.First != "" {
		answer = rs.First
	}
	defer rs.closed.Add(1)
	_, _ = io.WriteString(conn, strings.Replace(answer, "%s", request.Header.Get("Sequoiamill-Request-Id"), 1))
	time.Sleep(rs.Wait)
	switch rs.Ending {
	case ResetAtOnce:
		_ = conn.SetLinger(0)
		return
	case FinishAndReset:
		_ = conn.CloseWrite()
		_ = conn.SetLinger(0)
		return
	case FinishAndReadOn:
		_ = conn.CloseWrite()
	default:
	}
	_, _ = io.Copy(io.Discard, reader)
}
