package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	name     string
	revision uint64
	created  uint64
	spec     json.RawMessage
	status   json.RawMessage
}

type change struct {
	at       time.Time
	revision uint64
	kind     string
	deleted  bool
	object   map[string]any
}

// store is a stand-in for the platform's store: objects by kind and name with one revision
// counter, conditional writes, lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
	history  []change
	changed  chan struct{}
	address  string
	// lag is how old the data is that a call gets if it allows stale data.
	lag time.Duration
	// cut says until when the machine with an address gets no answers, and watches counts
	// its watches that wait and get current data. Both are guarded by linkMu.
	linkMu  sync.Mutex
	cut     map[string]time.Time
	watches map[string]int
}

func newStore() *store {
	st := &store{revision: 1, kinds: map[string]map[string]*object{}, changed: make(chan struct{}), cut: map[string]time.Time{}, watches: map[string]int{}}
	st.address = st.listen()
	return st
}

// listen opens a further address of the store, for one machine.
func (st *store) listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	address := listener.Addr().String()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			st.serve(&cutWriter{ResponseWriter: writer, st: st, machine: address}, request, address)
		}))
	}()
	return address
}

// cutWriter writes nothing while its machine is cut off. What would have been written then is
// lost with the connection.
type cutWriter struct {
	http.ResponseWriter
	st      *store
	machine string
}

// WriteHeader implements http.ResponseWriter.
func (cw *cutWriter) WriteHeader(status int) {
	cw.st.linkMu.Lock()
	until := cw.st.cut[cw.machine]
	cw.st.linkMu.Unlock()
	if wait := time.Until(until); wait > 0 {
		time.Sleep(wait)
		panic(http.ErrAbortHandler)
	}
	cw.ResponseWriter.WriteHeader(status)
}

func (ob *object) wire() map[string]any {
	return map[string]any{
		"Metadata": map[string]any{"Name": ob.name, "Revision": ob.revision, "Created": ob.created, "Finalizers": []string{}, "Deleting": false},
		"Spec":     ob.spec, "Status": ob.status,
	}
}

// note records a change. The caller must hold mu.
func (st *store) note(kind string, ob *object, deleted bool) {
	st.history = append(st.history, change{at: time.Now(), revision: st.revision, kind: kind, deleted: deleted, object: ob.wire()})
	close(st.changed)
	st.changed = make(chan struct{})
}

// put writes an object as the operator does.
func (st *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	must(err)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	if st.kinds[kind] == nil {
		st.kinds[kind] = map[string]*object{}
	}
	ob := st.kinds[kind][name]
	if ob == nil {
		ob = &object{name: name, created: st.revision}
		st.kinds[kind][name] = ob
	}
	ob.spec, ob.revision = text, st.revision
	st.note(kind, ob, false)
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (st *store) serve(writer http.ResponseWriter, request *http.Request, machine string) {
	text, _ := io.ReadAll(request.Body)
	time.Sleep(4 * time.Millisecond)
	rest, ok := strings.CutPrefix(request.URL.Path, "/sequoiamill/objects/")
	if !ok {
		answer(writer, http.StatusNotFound, nil)
		return
	}
	parts := strings.Split(rest, "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	query := request.URL.Query()
	stale := query.Get("AllowStale") == "1" && st.lag > 0
	switch {
	case request.Method == http.MethodGet && name == "" && query.Has("Watch"):
		st.watch(writer, request, kind, machine, stale)
	case request.Method == http.MethodGet && name == "" && stale:
		st.listStale(writer, kind)
	case request.Method == http.MethodGet && name == "":
		st.list(writer, kind, query.Get("after"))
	case request.Method == http.MethodGet:
		st.mu.Lock()
		ob, body := st.kinds[kind][name], map[string]any(nil)
		if ob != nil {
			body = ob.wire()
		}
		st.mu.Unlock()
		if ob == nil {
			answer(writer, http.StatusNotFound, nil)
			return
		}
		answer(writer, http.StatusOK, body)
	default:
		st.write(writer, request, kind, name, len(parts) > 2, text)
	}
}

// listStale lists the objects of a kind as they were.
func (st *store) listStale(writer http.ResponseWriter, kind string) {
	objects, asOf := map[string]any{}, uint64(1)
	st.mu.Lock()
	for _, ch := range st.history {
		if time.Since(ch.at) < st.lag {
			break
		}
		asOf = ch.revision
		if name, ok := ch.object["Metadata"].(map[string]any)["Name"].(string); ok && ch.kind == kind {
			objects[name] = ch.object
			if ch.deleted {
				delete(objects, name)
			}
		}
	}
	st.mu.Unlock()
	items := []any{}
	for _, ob := range objects {
		items = append(items, ob)
	}
	answer(writer, http.StatusOK, map[string]any{"items": items, "HasMore": false, "AsOf": asOf})
}

func (st *store) list(writer http.ResponseWriter, kind, after string) {
	st.mu.Lock()
	var names []string
	for name := range st.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []any{}
	for _, name := range names {
		items = append(items, st.kinds[kind][name].wire())
	}
	asOf := st.revision
	st.mu.Unlock()
	answer(writer, http.StatusOK, map[string]any{"items": items, "HasMore": false, "AsOf": asOf})
}

// count adds to the watches of a machine that wait.
func (st *store) count(machine string, change int) {
	st.linkMu.Lock()
	defer st.linkMu.Unlock()
	st.watches[machine] += change
}

func (st *store) watch(writer http.ResponseWriter, request *http.Request, kind, machine string, stale bool) {
	if !stale && kind == "config" {
		st.count(machine, 1)
		defer st.count(machine, -1)
	}
	query := request.URL.Query()
	from, _ := strconv.ParseUint(query.Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		st.mu.Lock()
		events, wake := []any{}, time.Hour
		for _, ch := range st.history {
			if age := time.Since(ch.at); stale && age < st.lag {
				wake = min(wake, st.lag-age)
				continue
			}
			if ch.kind == kind && ch.revision > from {
				events = append(events, map[string]any{"Object": ch.object, "Deleted": ch.deleted})
			}
		}
		asOf, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(events) > 0 {
			answer(writer, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-time.After(wake):
		case <-deadline:
			answer(writer, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (st *store) write(writer http.ResponseWriter, request *http.Request, kind, name string, statusOnly bool, text []byte) {
	var body struct {
		Metadata struct {
			Name     string
			Revision uint64
		}
		Spec, Status json.RawMessage
	}
	if len(text) > 0 && json.Unmarshal(text, &body) != nil {
		answer(writer, http.StatusBadRequest, nil)
		return
	}
	condition := body.Metadata.Revision
	if given := request.URL.Query().Get("Revision"); given != "" {
		condition, _ = strconv.ParseUint(given, 10, 64)
	}
	if name == "" {
		name = body.Metadata.Name
	}
	status, reply := st.apply(request.Method, kind, name, condition, statusOnly, body.Spec, body.Status)
	answer(writer, status, reply)
}

// apply carries out a write under its condition.
func (st *store) apply(method, kind, name string, condition uint64, statusOnly bool, spec, status json.RawMessage) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.kinds[kind] == nil {
		st.kinds[kind] = map[string]*object{}
	}
	ob := st.kinds[kind][name]
	switch {
	case method == http.MethodPost && ob != nil, ob != nil && condition != 0 && condition != ob.revision:
		return http.StatusConflict, ob.wire()
	case method != http.MethodPost && ob == nil:
		return http.StatusNotFound, nil
	case method == http.MethodDelete:
		st.revision++
		ob.revision = st.revision
		delete(st.kinds[kind], name)
		st.note(kind, ob, true)
		return http.StatusOK, ob.wire()
	case method == http.MethodPost:
		ob = &object{name: name, created: st.revision + 1}
		st.kinds[kind][name] = ob
	}
	target, value := &ob.spec, spec
	if statusOnly {
		target, value = &ob.status, status
	}
	if ob.revision == 0 || !bytes.Equal(*target, value) {
		st.revision++
		*target, ob.revision = value, st.revision
		st.note(kind, ob, false)
	}
	return http.StatusOK, ob.wire()
}

// route is a row of the operator's table of routes.
type route struct {
	name, host, prefix, kind string
	timeoutMs, aimMs         int
	service                  string
	attempts                 int
}

// config returns a configuration as the operator writes it.
func config(version int, routes []route) map[string]any {
	rows, services, seen := []any{}, []any{}, map[string]bool{}
	for _, ro := range routes {
		rows = append(rows, []any{ro.name, ro.host, ro.prefix, ro.kind, ro.timeoutMs, ro.aimMs, 1, ro.service, ro.attempts, nil})
		if !seen[ro.service] {
			seen[ro.service] = true
			services = append(services, []any{ro.service, "/health", 130, "h1", false})
		}
	}
	return map[string]any{
		"Version":  fmt.Sprintf("%08x", version),
		"Routes":   map[string]any{"Columns": []string{"Name", "Host", "PathPrefix", "Kind", "TimeoutMs", "AimMs", "Priority", "Service", "MaxAttempts", "TrafficSplit"}, "Rows": rows},
		"Services": map[string]any{"Columns": []string{"Name", "HealthPath", "MaxConnections", "Protocol", "Tls"}, "Rows": services},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
