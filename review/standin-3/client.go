package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Attempt is one request of a client and what came of it.
type Attempt struct {
	ID     string
	Node   *Node
	SentAt time.Time
	Took   time.Duration
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Whole reports whether the answer is a success with the target's signature and whole body.
func (at Attempt) Whole() bool {
	return at.Err == nil && at.Status/100 == 2 && at.Header.Get("Response-Signature") == signatureOf(at.ID, at.Body)
}

func (at Attempt) String() string {
	if at.Err != nil {
		return "error " + at.Err.Error()
	}
	return strconv.Itoa(at.Status)
}

func (lb *Lab) attemptID() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.nextID++
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(lb.nextID))
}

// send sends one request on a new connection to the node of the client's machine.
func (lb *Lab) send(nd *Node, method, uri string, deadline time.Duration, body []byte, header ...string) Attempt {
	at := Attempt{ID: lb.attemptID(), Node: nd, SentAt: time.Now()}
	lb.rec.Line("sent", "attempt", at.ID, "node", nd.Name, "method", method, "uri", uri, "body-bytes", len(body), "header", strings.Join(header, "|"))
	at.Status, at.Header, at.Body, at.Err = exchange(nd.Outbound, at.ID, method, uri, deadline, body, header)
	at.Took = time.Since(at.SentAt)
	lb.rec.Line("answered", "attempt", at.ID, "node", nd.Name, "answer", at.String(), "whole", at.Whole(), "after-ms", at.Took.Milliseconds(), "retry-after", at.Header.Get("Retry-After"))
	return at
}

func exchange(address, id, method, uri string, deadline time.Duration, body []byte, header []string) (int, http.Header, []byte, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, nil, nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, uri, host, id, deadline.Milliseconds())
	for _, line := range header {
		head += line + "\r\n"
	}
	if len(body) > 0 || method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(append([]byte(head+"\r\n"), body...))
		written <- err
	}()
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, nil, nil, err
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return answer.StatusCode, answer.Header, text, err
	}
	return answer.StatusCode, answer.Header, text, nil
}
