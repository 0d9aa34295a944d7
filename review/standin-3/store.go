package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store: objects by kind and name, one revision
// counter, lists and watches.
type Store struct {
	Addr string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{}
	// silent is true while the store answers nobody.
	silent bool
	wake   chan struct{}
	// lag is how old the data is that a call gets if it allows stale data.
	lag time.Duration
	// current counts the waiting watches of the configuration that get current data, by the
	// address of the store that they came to.
	current map[string]int
	// reads are the times of the latest reads of the configuration that got current data, by
	// the same addresses.
	reads map[string]time.Time
}

type object struct {
	name         string
	revision     uint64
	created      uint64
	spec, status json.RawMessage
}

type storeEvent struct {
	kind     string
	name     string
	at       time.Time
	revision uint64
	object   json.RawMessage
	deleted  bool
}

type objectWire struct {
	Metadata struct {
		Name       string
		Revision   uint64
		Created    uint64
		Finalizers []string
		Deleting   bool
	}
	Spec   json.RawMessage
	Status json.RawMessage
}

func (ob *object) encode() json.RawMessage {
	var wire objectWire
	wire.Metadata.Name, wire.Metadata.Revision, wire.Metadata.Created = ob.name, ob.revision, ob.created
	wire.Metadata.Finalizers = []string{}
	wire.Spec, wire.Status = ob.spec, ob.status
	text, _ := json.Marshal(wire)
	return text
}

func startStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	st := &Store{
		Addr: listener.Addr().String(), revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{}), wake: make(chan struct{}),
		current: map[string]int{}, reads: map[string]time.Time{},
	}
	go func() { _ = http.Serve(listener, st) }()
	return st, nil
}

// Listen returns one more address of the store, which tells the machine that calls it.
func (st *Store) Listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, st) }()
	return listener.Addr().String(), nil
}

// HasCurrentWatch reports whether a watch of the configuration that gets current data waits
// at an address.
func (st *Store) HasCurrentWatch(address string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.current[address] > 0
}

// SetSilent makes the store answer nobody, or answer again.
func (st *Store) SetSilent(silent bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.silent && !silent {
		close(st.wake)
		st.wake = make(chan struct{})
	}
	st.silent = silent
}

// Write stores an object as the operator does.
func (st *Store) Write(kind, name string, spec any) {
	text, _ := json.Marshal(spec)
	st.mu.Lock()
	defer st.mu.Unlock()
	known := st.objects[kind][name]
	if known == nil {
		known = &object{name: name, created: st.revision + 1}
	}
	known.spec = text
	st.put(kind, known)
}

// Object returns the spec of an object, or nil.
func (st *Store) Object(kind, name string) json.RawMessage {
	st.mu.Lock()
	defer st.mu.Unlock()
	if known := st.objects[kind][name]; known != nil {
		return known.spec
	}
	return nil
}

// put stores an object under the next revision. The caller must hold mu.
func (st *Store) put(kind string, ob *object) {
	st.revision++
	ob.revision = st.revision
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]*object{}
	}
	st.objects[kind][ob.name] = ob
	st.note(storeEvent{kind: kind, name: ob.name, revision: st.revision, object: ob.encode()})
}

func (st *Store) note(event storeEvent) {
	event.at = time.Now()
	st.events = append(st.events, event)
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (st *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	st.mu.Lock()
	silent, wake := st.silent, st.wake
	st.mu.Unlock()
	if silent {
		// What the store gets while it is silent is lost.
		select {
		case <-wake:
		case <-request.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	parts := strings.Split(strings.TrimPrefix(request.URL.Path, "/sequoiamill/objects/"), "/")
	body, err := io.ReadAll(request.Body)
	if err != nil || parts[0] == "" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if parts[0] == "config" && request.Method == http.MethodGet && !request.URL.Query().Has("Watch") && !st.isStale(request) {
		st.mu.Lock()
		st.reads[addressOf(request)] = time.Now()
		st.mu.Unlock()
	}
	switch {
	case len(parts) == 1 && request.Method == http.MethodGet && request.URL.Query().Has("Watch"):
		st.watch(writer, request, parts[0])
	case len(parts) == 1 && request.Method == http.MethodGet && st.isStale(request):
		st.listStale(writer, parts[0])
	case len(parts) == 1 && request.Method == http.MethodGet:
		st.list(writer, request, parts[0])
	case len(parts) == 2 && request.Method == http.MethodGet:
		st.get(writer, parts[0], parts[1])
	default:
		st.change(writer, request, parts, body)
	}
}

func reply(writer http.ResponseWriter, status int, value any) {
	text, _ := json.Marshal(value)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(text)
}

func (st *Store) get(writer http.ResponseWriter, kind, name string) {
	st.mu.Lock()
	known := st.objects[kind][name]
	var text json.RawMessage
	if known != nil {
		text = known.encode()
	}
	st.mu.Unlock()
	if known == nil {
		reply(writer, http.StatusNotFound, struct{}{})
		return
	}
	reply(writer, http.StatusOK, text)
}

func (st *Store) list(writer http.ResponseWriter, request *http.Request, kind string) {
	after := request.URL.Query().Get("after")
	st.mu.Lock()
	names := []string{}
	for name := range st.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > 500
	names = names[:min(len(names), 500)]
	items := []json.RawMessage{}
	for _, name := range names {
		items = append(items, st.objects[kind][name].encode())
	}
	asOf := st.revision
	st.mu.Unlock()
	reply(writer, http.StatusOK, map[string]any{"items": items, "HasMore": more, "AsOf": asOf})
}

func (st *Store) isStale(request *http.Request) bool {
	return st.lag > 0 && request.URL.Query().Get("AllowStale") == "1"
}

// listStale lists the objects of a kind as they were.
func (st *Store) listStale(writer http.ResponseWriter, kind string) {
	st.mu.Lock()
	asOf := uint64(100)
	known := map[string]json.RawMessage{}
	for _, event := range st.events {
		if time.Since(event.at) < st.lag {
			break
		}
		asOf = event.revision
		switch {
		case event.kind != kind:
		case event.deleted:
			delete(known, event.name)
		default:
			known[event.name] = event.object
		}
	}
	st.mu.Unlock()
	items := []json.RawMessage{}
	for _, name := range slices.Sorted(maps.Keys(known)) {
		items = append(items, known[name])
	}
	reply(writer, http.StatusOK, map[string]any{"items": items, "HasMore": false, "AsOf": asOf})
}

func (st *Store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	stale := st.isStale(request)
	if !stale && kind == "config" {
		address := addressOf(request)
		st.countCurrent(address, 1)
		defer st.countCurrent(address, -1)
	}
	for {
		st.mu.Lock()
		found := []map[string]any{}
		asOf, changed, silent, wake := st.revision, st.changed, st.silent, st.wake
		var next <-chan time.Time
		if stale {
			asOf = from
		}
		for _, event := range st.events {
			if age := time.Since(event.at); stale && age < st.lag {
				next = time.After(st.lag - age)
				break
			}
			if stale {
				asOf = max(asOf, event.revision)
			}
			if event.kind == kind && event.revision > from {
				found = append(found, map[string]any{"Object": event.object, "Deleted": event.deleted})
			}
		}
		st.mu.Unlock()
		if silent {
			<-wake
			panic(http.ErrAbortHandler)
		}
		if len(found) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": found, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-next:
		case <-timer.C:
			reply(writer, http.StatusOK, map[string]any{"events": found, "AsOf": asOf})
			return
		case <-request.Context().Done():
			return
		}
	}
}

// LastRead returns when a read of the configuration that got current data last came to an
// address.
func (st *Store) LastRead(address string) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.reads[address]
}

// addressOf is the address of the store that a request came to.
func addressOf(request *http.Request) string {
	local, _ := request.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return local.String()
}

func (st *Store) countCurrent(address string, by int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.current[address] += by
}

func (st *Store) change(writer http.ResponseWriter, request *http.Request, parts []string, body []byte) {
	var wire objectWire
	if len(body) > 0 && json.Unmarshal(body, &wire) != nil {
		reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	kind, name := parts[0], wire.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	expected := wire.Metadata.Revision
	if text := request.URL.Query().Get("Revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	known := st.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && known != nil:
		reply(writer, http.StatusConflict, known.encode())
		return
	case request.Method != http.MethodPost && known == nil:
		reply(writer, http.StatusNotFound, struct{}{})
		return
	case request.Method != http.MethodPost && expected != 0 && expected != known.revision:
		reply(writer, http.StatusConflict, known.encode())
		return
	}
	switch request.Method {
	case http.MethodPost:
		known = &object{name: name, created: st.revision + 1, spec: wire.Spec}
		st.put(kind, known)
	case http.MethodPut:
		if len(parts) == 3 {
			known.status = wire.Status
		} else {
			known.spec = wire.Spec
		}
		st.put(kind, known)
	case http.MethodDelete:
		st.revision++
		delete(st.objects[kind], name)
		st.note(storeEvent{kind: kind, name: name, revision: st.revision, object: known.encode(), deleted: true})
	}
	reply(writer, http.StatusOK, known.encode())
}
