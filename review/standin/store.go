package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps objects by kind and name,
// answers linearizably and keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
	address  string
	server   *http.Server
}

type metadata struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage `json:",omitempty"`
	Status   json.RawMessage `json:",omitempty"`
}

type event struct {
	kind     string
	revision uint64
	Deleted  bool
	Object   object
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	st := &store{revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{}), address: listener.Addr().String()}
	st.server = &http.Server{Handler: st}
	go func() { _ = st.server.Serve(listener) }()
	return st, nil
}

// put writes an object as the operator does. The return is the acknowledgement.
func (st *store) put(kind, name string, spec any) time.Time {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	found := st.objects[kind][name]
	if found == nil {
		found = &object{Metadata: metadata{Name: name, Created: st.revision + 1}}
	}
	written := *found
	written.Spec = text
	st.write(kind, written)
	return time.Now()
}

// write stores an object under the next revision. The caller must hold mu.
func (st *store) write(kind string, written object) object {
	st.revision++
	written.Metadata.Revision = st.revision
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]*object{}
	}
	st.objects[kind][written.Metadata.Name] = &written
	st.note(event{kind: kind, revision: st.revision, Object: written})
	return written
}

func (st *store) note(ev event) {
	st.events = append(st.events, ev)
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path, ok := strings.CutPrefix(request.URL.Path, "/sequoiamill/objects/")
	if !ok {
		answer(writer, http.StatusNotFound, nil)
		return
	}
	parts := strings.Split(path, "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case request.Method == http.MethodGet && name != "":
		st.get(writer, kind, name)
	case request.Method == http.MethodGet && request.URL.Query().Has("Watch"):
		st.watch(writer, request, kind)
	case request.Method == http.MethodGet:
		st.list(writer, request, kind)
	case request.Method == http.MethodPost, request.Method == http.MethodPut:
		st.replace(writer, request, kind, name, len(parts) > 2 && parts[2] == "status")
	case request.Method == http.MethodDelete:
		st.remove(writer, request, kind, name)
	default:
		answer(writer, http.StatusMethodNotAllowed, nil)
	}
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(writer).Encode(body)
	}
}

func (st *store) get(writer http.ResponseWriter, kind, name string) {
	st.mu.Lock()
	found := st.objects[kind][name]
	st.mu.Unlock()
	if found == nil {
		answer(writer, http.StatusNotFound, nil)
		return
	}
	answer(writer, http.StatusOK, found)
}

func (st *store) list(writer http.ResponseWriter, request *http.Request, kind string) {
	st.mu.Lock()
	after := request.URL.Query().Get("after")
	var items []object
	for name, found := range st.objects[kind] {
		if name > after {
			items = append(items, *found)
		}
	}
	asOf := st.revision
	st.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	answer(writer, http.StatusOK, map[string]any{"items": items, "HasMore": more, "AsOf": asOf})
}

func (st *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		st.mu.Lock()
		var events []event
		for _, ev := range st.events {
			if ev.kind == kind && ev.revision > from {
				events = append(events, ev)
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
		case <-end:
			answer(writer, http.StatusOK, map[string]any{"events": []event{}, "AsOf": asOf})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (st *store) replace(writer http.ResponseWriter, request *http.Request, kind, name string, status bool) {
	var wire object
	if json.NewDecoder(request.Body).Decode(&wire) != nil {
		answer(writer, http.StatusBadRequest, nil)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if name == "" {
		name = wire.Metadata.Name
	}
	found := st.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && found != nil:
		answer(writer, http.StatusConflict, found)
		return
	case request.Method == http.MethodPut && found == nil:
		answer(writer, http.StatusNotFound, nil)
		return
	case wire.Metadata.Revision != 0 && found != nil && wire.Metadata.Revision != found.Metadata.Revision:
		answer(writer, http.StatusConflict, found)
		return
	}
	written := object{Metadata: metadata{Name: name, Created: st.revision + 1}}
	if found != nil {
		written = *found
	}
	if status {
		written.Status = wire.Status
	} else {
		written.Spec, written.Metadata.Finalizers = wire.Spec, wire.Metadata.Finalizers
	}
	if found != nil && string(found.Spec) == string(written.Spec) && string(found.Status) == string(written.Status) {
		answer(writer, http.StatusOK, found)
		return
	}
	answer(writer, http.StatusOK, st.write(kind, written))
}

func (st *store) remove(writer http.ResponseWriter, request *http.Request, kind, name string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	found := st.objects[kind][name]
	if found == nil {
		answer(writer, http.StatusNotFound, nil)
		return
	}
	if revision := request.URL.Query().Get("Revision"); revision != "" && revision != strconv.FormatUint(found.Metadata.Revision, 10) {
		answer(writer, http.StatusConflict, found)
		return
	}
	delete(st.objects[kind], name)
	st.revision++
	gone := *found
	gone.Metadata.Revision = st.revision
	st.note(event{kind: kind, revision: st.revision, Deleted: true, Object: gone})
	answer(writer, http.StatusOK, gone)
}
