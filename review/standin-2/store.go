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
}

func newStore() *store {
	st := &store{revision: 1, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	st.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, st) }()
	return st
}

func (ob *object) wire() map[string]any {
	return map[string]any{
		"Metadata": map[string]any{"Name": ob.name, "Revision": ob.revision, "Created": ob.created, "Finalizers": []string{}, "Deleting": false},
		"Spec":     ob.spec, "Status": ob.status,
	}
}

// note records a change. The caller must hold mu.
func (st *store) note(kind string, ob *object, deleted bool) {
	st.history = append(st.history, change{revision: st.revision, kind: kind, deleted: deleted, object: ob.wire()})
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

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
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
	switch {
	case request.Method == http.MethodGet && name == "" && query.Has("Watch"):
		st.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		st.list(writer, kind, query.Get("after"))
	case request.Method == http.MethodGet:
		st.mu.Lock()
		defer st.mu.Unlock()
		if ob := st.kinds[kind][name]; ob != nil {
			answer(writer, http.StatusOK, ob.wire())
			return
		}
		answer(writer, http.StatusNotFound, nil)
	default:
		st.write(writer, request, kind, name, len(parts) > 2, text)
	}
}

func (st *store) list(writer http.ResponseWriter, kind, after string) {
	st.mu.Lock()
	defer st.mu.Unlock()
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
	answer(writer, http.StatusOK, map[string]any{"items": items, "HasMore": false, "AsOf": st.revision})
}

func (st *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	from, _ := strconv.ParseUint(query.Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		st.mu.Lock()
		events := []any{}
		for _, ch := range st.history {
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
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.kinds[kind] == nil {
		st.kinds[kind] = map[string]*object{}
	}
	ob := st.kinds[kind][name]
	switch {
	case request.Method == http.MethodPost && ob != nil, ob != nil && condition != 0 && condition != ob.revision:
		answer(writer, http.StatusConflict, ob.wire())
		return
	case request.Method != http.MethodPost && ob == nil:
		answer(writer, http.StatusNotFound, nil)
		return
	case request.Method == http.MethodDelete:
		st.revision++
		ob.revision = st.revision
		delete(st.kinds[kind], name)
		st.note(kind, ob, true)
		answer(writer, http.StatusOK, ob.wire())
		return
	case request.Method == http.MethodPost:
		ob = &object{name: name, created: st.revision + 1}
		st.kinds[kind][name] = ob
	}
	target, value := &ob.spec, body.Spec
	if statusOnly {
		target, value = &ob.status, body.Status
	}
	if ob.revision == 0 || !bytes.Equal(*target, value) {
		st.revision++
		*target, ob.revision = value, st.revision
		st.note(kind, ob, false)
	}
	answer(writer, http.StatusOK, ob.wire())
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
