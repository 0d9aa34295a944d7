package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Upstream is a fake upstream of a service. It counts how often it runs each
// idempotency key.
type Upstream struct {
	Name string
	// Work is how long each request runs.
	Work time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP counts a run of the request's idempotency key, waits for the duration
// Work and then returns the request's identifier and body. The header HeaderMode
// selects another answer, such as a truncated one. With the mode "shed" the
// upstream refuses the request and counts no run. The path /runs returns the
// number of runs of each key.
func (up *Upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/runs" {
		writeJSON(writer, up.Runs())
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	mode := request.Header.Get(HeaderMode)
	if mode == "shed" {
		answerShed(writer, request)
		return
	}
	up.countRun(request.Header.Get("Idempotency-Key"))
	time.Sleep(up.Work)
	if answerInMode(writer, request, mode) {
		return
	}
	writer.Header().Set("Sequoiamill-Request-Id", request.Header.Get("Sequoiamill-Request-Id"))
	writer.Header().Set("Upstream", up.Name)
	_, _ = fmt.Fprintf(writer, "%s %s from %s: %s", request.Method, request.URL.Path, up.Name, body)
}

func (up *Upstream) countRun(key string) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.runs == nil {
		up.runs = map[string]int{}
	}
	up.runs[key]++
}

// Runs returns the number of runs by idempotency key.
func (up *Upstream) Runs() map[string]int {
	up.mu.Lock()
	defer up.mu.Unlock()
	runs := make(map[string]int, len(up.runs))
	for key, count := range up.runs {
		runs[key] = count
	}
	return runs
}

// Announcement is the JSON body with which an upstream announces itself to its
// node.
type Announcement struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	WarmUpMillis int64  `json:"warm-up-millis"`
	Leaving      bool   `json:"leaving"`
}

// Announce posts the announcement to a node's admin address immediately and then
// at each interval until the context is canceled. It ignores errors.
func Announce(ctx context.Context, admin string, announcement Announcement, interval time.Duration) {
	for ctx.Err() == nil {
		_ = PostAnnouncement(ctx, admin, announcement)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// PostAnnouncement posts the announcement to a node's admin address once.
func PostAnnouncement(ctx context.Context, admin string, announcement Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+"/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// TotalRuns returns the number of runs of all idempotency keys.
func (up *Upstream) TotalRuns() int {
	total := 0
	for _, count := range up.Runs() {
		total += count
	}
	return total
}
