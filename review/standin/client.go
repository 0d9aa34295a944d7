package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// attempt is one client attempt and what the client got.
type attempt struct {
	id, path, key string
	via           *machine
	sent, ended   time.Time
	// status is 0 if the connection ended without a complete answer, or none was made.
	status     int
	connected  bool
	whole      bool
	stamped    bool
	retryAfter string
	received   int
	failure    string
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// call is a request of a client.
type call struct {
	method, host, path, key string
	deadline                time.Duration
	body                    []byte
	header                  map[string]string
}

// send sends a request to a machine's node on a new connection and waits for the answer
// until its deadline.
func (lb *lab) send(mc *machine, cl call) attempt {
	at := attempt{id: newID(), path: cl.path, key: cl.key, via: mc, sent: time.Now()}
	defer func() {
		lb.record.note("client at %s sent %s %s %s, got %s after %d ms", mc.name, at.id, cl.method, cl.path, at.describe(), at.ended.Sub(at.sent).Milliseconds())
	}()
	ctx, cancel := context.WithTimeout(context.Background(), cl.deadline)
	defer cancel()
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		at.connected = err == nil
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, cl.method, "http://"+mc.outbound+cl.path, bytes.NewReader(cl.body))
	if err != nil {
		panic(err)
	}
	request.Host = cl.host
	request.Header.Set("Attempt-Id", at.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(cl.deadline.Milliseconds()))
	if cl.key != "" {
		request.Header.Set("Authorization", "Bearer "+cl.key)
	}
	for name, value := range cl.header {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		at.ended, at.failure = time.Now(), err.Error()
		return at
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	at.ended, at.received = time.Now(), len(body)
	at.retryAfter = response.Header.Get("Retry-After")
	if err != nil {
		at.failure = err.Error()
		return at
	}
	at.status, at.whole = response.StatusCode, true
	at.stamped = response.Header.Get("Response-Signature") != "" && response.Header.Get("Response-Signature") == signature(at.id, at.status, body)
	return at
}

func (at attempt) describe() string {
	switch {
	case at.status != 0 && at.stamped:
		return fmt.Sprintf("%d with the target's signature", at.status)
	case at.status != 0:
		return fmt.Sprintf("%d of the system", at.status)
	case !at.connected:
		return "no connection"
	default:
		return fmt.Sprintf("no complete answer (%d bytes of the body, %s)", at.received, at.failure)
	}
}
