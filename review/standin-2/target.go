package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runs notes what ran at the targets, by the id of the client's attempt.
type runs struct {
	mu    sync.Mutex
	began map[string]time.Time
	count map[string]int
}

func newRuns() *runs { return &runs{began: map[string]time.Time{}, count: map[string]int{}} }

func (ru *runs) note(id string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.began[id] = time.Now()
	ru.count[id]++
}

func (ru *runs) of(id string) int {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.count[id]
}

// target is a stand-in for an application target.
type target struct {
	id, service, address, control string
	born                          int64
	slots                         chan struct{}
	work                          time.Duration
	runs                          *runs
	mu                            sync.Mutex
	state                         string
	sequence                      int
	stop                          chan struct{}
}

// signature is what a target puts on its answers.
func signature(id string, body []byte) string {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id))
	_, _ = sum.Write(body)
	return strconv.FormatUint(sum.Sum64(), 16)
}

func newTarget(id, service string, slots int, work time.Duration, ru *runs) *target {
	tg := &target{id: id, service: service, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), work: work, runs: ru, state: "ready", stop: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	tg.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, tg) }()
	return tg
}

// beatAt sends a heartbeat to a node's control address every 1.5 s.
func (tg *target) beatAt(control string) {
	tg.control = control
	go func() {
		for {
			tg.beat()
			select {
			case <-tg.stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
}

func (tg *target) beat() bool {
	tg.mu.Lock()
	tg.sequence++
	body, _ := json.Marshal(map[string]any{
		"Address": tg.address, "born": tg.born,
		"Info":   map[string]any{"Service": tg.service, "Version": "v1", "Zone": "kolkata", "Slots": cap(tg.slots)},
		"Status": map[string]any{"State": tg.state, "Sequence": tg.sequence, "ColdRemainingMs": 0},
	})
	tg.mu.Unlock()
	request, _ := http.NewRequest(http.MethodPut, "http://"+tg.control+"/sequoiamill/instances/"+tg.id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// drain makes the target say that it leaves, until that is acknowledged.
func (tg *target) drain() {
	tg.mu.Lock()
	tg.state = "draining"
	tg.mu.Unlock()
	for !tg.beat() {
		time.Sleep(100 * time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (tg *target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	writer.Header().Set("Attempt-Id", id)
	if want := request.Header.Get("Expect-Instance"); want != "" && want != tg.id {
		writer.Header().Set("Instance-Id", tg.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/health" {
		writer.Header().Set("Instance-Id", tg.id)
		return
	}
	size, err := io.Copy(io.Discard, request.Body)
	if err != nil || id == "" {
		return
	}
	left, _ := strconv.Atoi(request.Header.Get("Deadline-Ms"))
	select {
	case tg.slots <- struct{}{}:
		defer func() { <-tg.slots }()
	case <-time.After(time.Duration(left) * time.Millisecond):
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		return
	}
	tg.runs.note(id)
	select {
	case <-time.After(tg.work):
	case <-request.Context().Done():
		return
	}
	body := []byte(fmt.Sprintf("answer of %s to %s, %d bytes\n", tg.id, id, size))
	writer.Header().Set("Response-Signature", signature(id, body))
	_, _ = writer.Write(body)
}
