package main

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// staleStep is how often the revision of the store is noted, and how often a watch looks
// for events that have become old enough for it.
const staleStep = 50 * time.Millisecond

// staleStore answers the calls that allow stale data as of some time ago.
type staleStore struct {
	*store
	behind time.Duration

	mu sync.Mutex
	// past are the revisions that the store had, in order.
	past []pastRevision
}

type pastRevision struct {
	at       time.Time
	revision uint64
}

// letBeStale makes a store's answers to calls that allow stale data late.
func letBeStale(lb *lab, behind time.Duration) {
	stale := &staleStore{store: lb.store, behind: behind}
	lb.store.server.Handler = stale
	go func() {
		for lb.running() {
			lb.store.mu.Lock()
			revision := lb.store.revision
			lb.store.mu.Unlock()
			stale.mu.Lock()
			stale.past = append(stale.past, pastRevision{time.Now(), revision})
			stale.mu.Unlock()
			time.Sleep(staleStep)
		}
	}()
}

func (ss *staleStore) asOf() uint64 {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	until := time.Now().Add(-ss.behind)
	count := sort.Search(len(ss.past), func(i int) bool { return ss.past[i].at.After(until) })
	if count == 0 {
		return ss.past[0].revision
	}
	return ss.past[count-1].revision
}

// between returns the events of a kind after a revision, up to another.
func (ss *staleStore) between(kind string, from, to uint64) []event {
	ss.store.mu.Lock()
	defer ss.store.mu.Unlock()
	var events []event
	for _, ev := range ss.events {
		if ev.kind == kind && ev.revision > from && ev.revision <= to {
			events = append(events, ev)
		}
	}
	return events
}

// ServeHTTP implements http.Handler.
func (ss *staleStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/sequoiamill/objects/"), "/")
	switch {
	case request.Method != http.MethodGet || query.Get("AllowStale") != "1":
		ss.store.ServeHTTP(writer, request)
	case query.Has("Watch"):
		ss.watchLate(writer, request, kind)
	default:
		ss.readLate(writer, kind, name)
	}
}

func (ss *staleStore) readLate(writer http.ResponseWriter, kind, name string) {
	asOf := ss.asOf()
	objects := map[string]object{}
	for _, ev := range ss.between(kind, 0, asOf) {
		objects[ev.Object.Metadata.Name] = ev.Object
		if ev.Deleted {
			delete(objects, ev.Object.Metadata.Name)
		}
	}
	if name != "" {
		if found, ok := objects[name]; ok {
			answer(writer, http.StatusOK, found)
			return
		}
		answer(writer, http.StatusNotFound, nil)
		return
	}
	items := []object{}
	for _, found := range objects {
		items = append(items, found)
	}
	answer(writer, http.StatusOK, map[string]any{"items": items, "HasMore": false, "AsOf": asOf})
}

func (ss *staleStore) watchLate(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("WaitMs"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(staleStep) {
		asOf := max(from, ss.asOf())
		events := ss.between(kind, from, asOf)
		if len(events) > 0 || time.Now().After(end) {
			answer(writer, http.StatusOK, map[string]any{"events": append([]event{}, events...), "AsOf": asOf})
			return
		}
		if request.Context().Err() != nil {
			return
		}
	}
}
