package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// target is a stand-in of a server of an application. A request's path says after its
// prefix for how long it is worked on and how large the answer is: /prefix/MS/BYTES.
type target struct {
	mc      *machine
	id      string
	born    int64
	address string
	slots   chan struct{}
	server  *http.Server
	stop    context.CancelFunc

	mu       sync.Mutex
	sequence uint64
	state    string
}

// run is one request at which a target began to work.
type run struct {
	id, service, tenant, caller, path, target string
	at                                        time.Time
}

func (mc *machine) startTarget(id string) error {
	listener, err := net.Listen("tcp", mc.app)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	tg := &target{mc: mc, id: id, born: time.Now().UnixMilli(), address: mc.app, slots: make(chan struct{}, slotCount), stop: cancel, state: "ready"}
	tg.server = &http.Server{Handler: tg, IdleTimeout: 10 * time.Second}
	mc.target = tg
	go func() { _ = tg.server.Serve(listener) }()
	go tg.announce(ctx)
	return nil
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (tg *target) beat(ctx context.Context) bool {
	tg.mu.Lock()
	tg.sequence++
	body := map[string]any{
		"Address": tg.address, "born": tg.born,
		"Info":   map[string]any{"Service": tg.mc.service, "Version": cmp.Or(tg.mc.version, "v1"), "Zone": tg.mc.zone, "Slots": slotCount},
		"Status": map[string]any{"State": tg.state, "Sequence": tg.sequence, "ColdRemainingMs": 0},
	}
	tg.mu.Unlock()
	return tg.call(ctx, http.MethodPut, body)
}

func (tg *target) call(ctx context.Context, method string, body map[string]any) bool {
	text, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+tg.mc.control+"/sequoiamill/instances/"+tg.id, bytes.NewReader(text))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (tg *target) announce(ctx context.Context) {
	for ctx.Err() == nil {
		wait := beatTime
		if !tg.beat(ctx) {
			wait = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// signature is what the target signs an answer with: the request, the status and the body.
func signature(id string, status int, body []byte) string {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d ", id, status)
	_, _ = hash.Write(body)
	return strconv.FormatUint(hash.Sum64(), 16)
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, size int) []byte {
	unit := []byte(id + "\n")
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
}

// ServeHTTP implements http.Handler.
func (tg *target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	writer.Header().Set("Attempt-Id", id)
	if request.URL.Path == "/health" {
		writer.Header().Set("Instance-Id", tg.id)
		return
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != tg.id {
		writer.Header().Set("Instance-Id", tg.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	deadline, _ := strconv.Atoi(request.Header.Get("Deadline-Ms"))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	select {
	case tg.slots <- struct{}{}:
		defer func() { <-tg.slots }()
	case <-ctx.Done():
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	tg.mc.lab.ran(run{
		id: id, service: tg.mc.service, tenant: request.Header.Get("Tenant"), caller: request.Header.Get("Caller-Service"),
		path: request.URL.Path, target: tg.id, at: time.Now(),
	})
	parts := strings.Split(request.URL.Path, "/")
	work, _ := strconv.Atoi(parts[len(parts)-2])
	size, _ := strconv.Atoi(parts[len(parts)-1])
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-ctx.Done():
		tg.mc.lab.record.note("target %s: run of %s is cut", tg.id, id)
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	status, body := http.StatusOK, bodyOf(id, size)
	if tg.mc.bad != nil && tg.mc.bad(request.URL.Path) {
		status, body = http.StatusInternalServerError, []byte("failed")
		tg.mc.lab.failed(id)
	}
	writer.Header().Set("Response-Signature", signature(id, status, body))
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}
