// Package fakes holds small fakes for tests: the platform's object API, an
// upstream and a network link that can fail.
//
// # Usage
//
//	platform := fakes.NewPlatform()
//	server := httptest.NewServer(platform)
package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/plat"
)

// Faults selects the failures that a fake Platform simulates.
type Faults struct {
	// Down makes every call of the object API fail with the status 503.
	Down bool `json:"down"`
	// DelayMillis is the delay of every call of the object API in milliseconds.
	DelayMillis int `json:"delay-millis"`
	// LoseAnswers is the number of next creations and updates that the platform
	// stores without answering: it closes the connection instead.
	LoseAnswers int `json:"lose-answers"`
	// LoseKind limits LoseAnswers to one kind of object; empty means all kinds.
	LoseKind plat.Kind `json:"lose-kind"`
	// MuteWatches mutes all watches that are open when the faults are set. A muted
	// watch sends no more events and ignores its timeout. It stays muted when the
	// faults change.
	MuteWatches bool `json:"mute-watches"`
	// ExpireWatches is the number of next watches that the platform refuses as if
	// the revision that they start from had expired.
	ExpireWatches int `json:"expire-watches"`
	// ReadLimit and WriteLimit are the numbers of calls allowed in one second; 0
	// means unlimited, and a negative number refuses every call.
	ReadLimit  int64 `json:"read-limit"`
	WriteLimit int64 `json:"write-limit"`
}

// Platform is a fake of the platform's object API over HTTP. It keeps the
// objects in memory.
type Platform struct {
	memory atomic.Pointer[plat.Memory]
	// era counts the restores from a copy.
	era    atomic.Uint64
	now    func() time.Time
	faults atomic.Pointer[Faults]
	// answersToLose is how many of Faults.LoseAnswers are left. It may be negative.
	answersToLose atomic.Int64
	// watchesToExpire is how many of Faults.ExpireWatches are left. It may be
	// negative.
	watchesToExpire atomic.Int64
	// lastMuted is the number of the newest muted watch. Watches are numbered from
	// 1 as they arrive, and all watches up to lastMuted are muted.
	lastMuted atomic.Int64
	calls     callCounter
}

// NewPlatform returns a platform without objects and faults.
func NewPlatform() *Platform {
	pf := &Platform{now: time.Now}
	pf.memory.Store(plat.NewMemory())
	pf.SetFaults(Faults{})
	return pf
}

// WithNow sets the function that returns the current time and returns the
// platform.
func (pf *Platform) WithNow(now func() time.Time) *Platform {
	pf.now = now
	return pf
}

// Store returns a store that accesses the objects directly, without faults and
// without counting calls.
func (pf *Platform) Store() *plat.Store { return pf.memory.Load().Store() }

// SetFaults replaces the simulated faults.
func (pf *Platform) SetFaults(faults Faults) {
	pf.faults.Store(&faults)
	pf.answersToLose.Store(int64(faults.LoseAnswers))
	pf.watchesToExpire.Store(int64(faults.ExpireWatches))
	if faults.MuteWatches {
		pf.lastMuted.Store(pf.Counts().Watches)
	}
}

// Copy returns the current state.
func (pf *Platform) Copy() *plat.Memory { return pf.memory.Load().Copy() }

// Restore brings the platform back from a copy, in a new era. Open watches go on without
// an event.
func (pf *Platform) Restore(state *plat.Memory) {
	pf.memory.Store(state.Copy())
	pf.era.Add(1)
}

// Counts returns the numbers of calls since the platform was created.
func (pf *Platform) Counts() CallCounts { return pf.calls.snapshot() }

// ServeHTTP serves the object API and three paths for tests: /faults sets the
// faults, /counts returns the call counts, and /raw stores an object directly.
func (pf *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/faults":
		var faults Faults
		if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		pf.SetFaults(faults)
	case "/counts":
		writeJSON(writer, pf.Counts())
	case "/raw":
		pf.serveRaw(writer, request)
	default:
		pf.serveObjects(writer, request)
	}
}

// serveRaw stores the request's body as an object without checking its revision.
func (pf *Platform) serveRaw(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	query := request.URL.Query()
	name := plat.Name{Kind: plat.Kind(query.Get("kind")), Name: query.Get("name")}
	pf.PutRaw(name, body)
}

// PutRaw stores an object without checking its revision; a nil body deletes it.
func (pf *Platform) PutRaw(name plat.Name, body []byte) {
	ctx := context.Background()
	object, err := pf.memory.Load().Get(ctx, name)
	if err != nil {
		object = plat.Object{Name: name}
	}
	if body == nil {
		_ = pf.memory.Load().Delete(ctx, object)
		return
	}
	_, _ = pf.memory.Load().Put(ctx, object.WithBody(body))
}

// serveObjects applies the delay, the outage and the rate limits, and then serves
// a call of the object API.
func (pf *Platform) serveObjects(writer http.ResponseWriter, request *http.Request) {
	faults := pf.faults.Load()
	writer.Header().Set(plat.EraHeader, strconv.FormatUint(pf.era.Load(), 10))
	select {
	case <-request.Context().Done():
		return
	case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
	}
	if faults.Down {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	parts := strings.Split(strings.Trim(request.URL.Path, "/"), "/")
	// The path is /apis/GROUP/VERSION/namespaces/NAMESPACE/KIND[/NAME].
	const kindIndex = 5
	if len(parts) <= kindIndex || parts[0] != "apis" {
		http.NotFound(writer, request)
		return
	}
	name := plat.Name{Kind: plat.Kind(parts[kindIndex])}
	if len(parts) > kindIndex+1 {
		name.Name = parts[kindIndex+1]
	}
	write := request.Method != http.MethodGet
	if pf.calls.add(write, pf.now(), faults) {
		writer.Header().Set("Retry-After", "2")
		http.Error(writer, "too many calls", http.StatusTooManyRequests)
		return
	}
	pf.serve(writer, request, name)
}

func (pf *Platform) serve(writer http.ResponseWriter, request *http.Request, name plat.Name) {
	switch request.Method {
	case http.MethodGet:
		pf.read(writer, request, name)
	case http.MethodPost, http.MethodPut:
		pf.put(writer, request, name)
	case http.MethodDelete:
		pf.delete(writer, request, name)
	default:
		http.Error(writer, "method", http.StatusMethodNotAllowed)
	}
}

func (pf *Platform) read(writer http.ResponseWriter, request *http.Request, name plat.Name) {
	switch {
	case request.URL.Query().Get("watch") == "true":
		name.Name = strings.TrimPrefix(request.URL.Query().Get("fieldSelector"), "metadata.name=")
		pf.watch(writer, request, name)
	case name.Name == "":
		objects, _ := pf.memory.Load().List(request.Context(), name.Kind)
		list := plat.ListWire{}
		for _, object := range objects {
			list.Items = append(list.Items, mustMarshal(toWire(object)))
		}
		writeJSON(writer, list)
	default:
		object, err := pf.memory.Load().Get(request.Context(), name)
		if err != nil {
			writeError(writer, err)
			return
		}
		writeJSON(writer, toWire(object))
	}
}

func (pf *Platform) put(writer http.ResponseWriter, request *http.Request, name plat.Name) {
	var wire plat.ObjectWire
	if err := json.NewDecoder(request.Body).Decode(&wire); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if len(wire.Data) > 1<<20 {
		http.Error(writer, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	name.Name = wire.Metadata.Name
	object := plat.Object{Name: name, Revision: plat.Revision(wire.Metadata.ResourceVersion), Body: wire.Data}
	object, err := pf.memory.Load().Put(request.Context(), object)
	if err != nil {
		writeError(writer, err)
		return
	}
	loseKind := pf.faults.Load().LoseKind
	if (loseKind == "" || loseKind == name.Kind) && pf.answersToLose.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, toWire(object))
}

func (pf *Platform) delete(writer http.ResponseWriter, request *http.Request, name plat.Name) {
	var options struct {
		Preconditions plat.MetadataWire `json:"preconditions"`
	}
	if err := json.NewDecoder(request.Body).Decode(&options); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	object := plat.Object{Name: name, Revision: plat.Revision(options.Preconditions.ResourceVersion)}
	if err := pf.memory.Load().Delete(request.Context(), object); err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, struct{}{})
}

// watch serves one watch until the timeout that the request gives. A muted watch
// sends no events and ignores the timeout.
func (pf *Platform) watch(writer http.ResponseWriter, request *http.Request, name plat.Name) {
	if pf.failExpired(writer) {
		return
	}
	number := pf.calls.addWatch()
	query := request.URL.Query()
	since, _ := strconv.ParseUint(query.Get("resourceVersion"), 10, 64)
	seconds, _ := strconv.Atoi(query.Get("timeoutSeconds"))
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	if seconds > 0 {
		timer := time.AfterFunc(time.Duration(seconds)*time.Second, func() {
			if number > pf.lastMuted.Load() {
				cancel()
			}
		})
		defer timer.Stop()
	}
	controller := http.NewResponseController(writer)
	bookmark := plat.ObjectWire{Metadata: plat.MetadataWire{ResourceVersion: query.Get("resourceVersion")}}
	writeJSON(writer, plat.WatchWire{Type: "BOOKMARK", Object: bookmark})
	_ = controller.Flush()
	_ = pf.memory.Load().Watch(ctx, name, func(object plat.Object) {
		revision, _ := strconv.ParseUint(string(object.Revision), 10, 64)
		if revision <= since || number <= pf.lastMuted.Load() {
			return
		}
		_ = json.NewEncoder(writer).Encode(plat.WatchWire{Type: "MODIFIED", Object: toWire(object)})
		_ = controller.Flush()
	})
}

// failExpired refuses a new watch as expired while Faults.ExpireWatches has not
// been used up, and reports whether it did. It alternates between the two forms
// of the refusal: the status 410, and an ERROR event with the code 410.
func (pf *Platform) failExpired(writer http.ResponseWriter) bool {
	left := pf.watchesToExpire.Add(-1)
	switch {
	case left < 0:
		return false
	case left%2 == 1:
		http.Error(writer, "too old resource version", http.StatusGone)
	default:
		writeJSON(writer, plat.WatchWire{Type: "ERROR", Object: plat.ObjectWire{Code: http.StatusGone}})
	}
	return true
}

func toWire(object plat.Object) plat.ObjectWire {
	return plat.ObjectWire{
		Kind:     string(object.Name.Kind),
		Metadata: plat.MetadataWire{Name: object.Name.Name, ResourceVersion: string(object.Revision)},
		Data:     object.Body,
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

func writeError(writer http.ResponseWriter, err error) {
	flt := fault.From(err)
	http.Error(writer, flt.Message, fault.StatusOf(flt.Kind).HTTPStatus)
}

func mustMarshal(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
