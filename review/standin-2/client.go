package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// reply is what a client got for one attempt.
type reply struct {
	id     string
	status int
	// cut is true if the connection ended without a complete answer.
	cut    bool
	signed bool
	body   string
	took   time.Duration
}

// client sends one request after the other to its node, on a kept connection.
type client struct {
	http *http.Client
	node string
	host string
}

func newClient(nd *nodeProcess, host string) *client {
	return &client{node: nd.outbound, host: host, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

func newID() string {
	var text [8]byte
	_, _ = rand.Read(text[:])
	return hex.EncodeToString(text[:])
}

func (cl *client) send(method, path string, body []byte, deadline time.Duration, header map[string]string) reply {
	got := reply{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+cl.node+path, io.NopCloser(bytes.NewReader(body)))
	must(err)
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = nil
	}
	request.Host = cl.host
	request.Header.Set("Attempt-Id", got.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	start := time.Now()
	response, err := cl.http.Do(request)
	got.took = time.Since(start)
	if err != nil {
		got.cut = ctx.Err() == nil
		return got
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	got.took = time.Since(start)
	if err != nil && ctx.Err() != nil {
		return got
	}
	got.status, got.cut, got.body = response.StatusCode, err != nil, string(text)
	got.signed = response.Header.Get("Response-Signature") == signature(got.id, text)
	return got
}

func (re reply) String() string {
	switch {
	case re.cut:
		return fmt.Sprintf("%s cut after %s", re.id, re.took.Round(time.Millisecond))
	case re.status == 0:
		return fmt.Sprintf("%s no answer in time", re.id)
	default:
		return fmt.Sprintf("%s %d signed %t after %s", re.id, re.status, re.signed, re.took.Round(time.Millisecond))
	}
}
