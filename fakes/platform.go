// Package fakes holds small stand-ins for tests: the platform's object API, an
// upstream and a caller that checks its answers.
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

// Faults are the failures that a platform stand-in shows.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMillis is added to every call.
	DelayMillis int `json:"delay-millis"`
	// LoseAnswers is the number of writes that take effect without an answer.
	LoseAnswers int `json:"lose-answers"`
	// LoseKind limits the lost answers to writes of one kind of object.
	LoseKind plat.Kind `json:"lose-kind"`
	// MuteWatches keeps the watches that are open now from sending anything.
	MuteWatches bool `json:"mute-watches"`
	// ExpireWatches is the number of watches whose revision is called expired.
	ExpireWatches int `json:"expire-watches"`
	// ReadLimit and WriteLimit are the calls allowed in one second; 0 means
	// no limit and a negative number none.
	ReadLimit  int64 `json:"read-limit"`
	WriteLimit int64 `json:"write-limit"`
}

// Platform is a stand-in for the object API over HTTP.
type Platform struct {
	memory *plat.Memory
	now    func() time.Time
	faults atomic.Pointer[Faults]
	lose   atomic.Int64
	expire atomic.Int64
	muted  atomic.Int64
	calls  callMeter
}

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	pf := &Platform{memory: plat.NewMemory(), now: time.Now}
	pf.SetFaults(Faults{})
	return pf
}

// WithNow returns the platform with another source of the present time.
func (pf *Platform) WithNow(now func() time.Time) *Platform {
	pf.now = now
	return pf
}

// Store returns direct access to the objects, without faults and counts.
func (pf *Platform) Store() *plat.Store { return pf.memory.Store() }

// SetFaults changes the failures from now on.
func (pf *Platform) SetFaults(faults Faults) {
	pf.faults.Store(&faults)
	pf.lose.Store(int64(faults.LoseAnswers))
	pf.expire.Store(int64(faults.ExpireWatches))
	if faults.MuteWatches {
		pf.muted.Store(pf.Counts().Watches)
	}
}

// Counts returns the calls so far.
func (pf *Platform) Counts() Counts { return pf.calls.read() }

// ServeHTTP serves the object API, and /faults and /counts for tests.
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

// serveRaw writes an object whatever its revision.
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

// PutRaw writes an object whatever its revision; a nil body deletes it.
func (pf *Platform) PutRaw(name plat.Name, body []byte) {
	ctx := context.Background()
	object, err := pf.memory.Get(ctx, name)
	if err != nil {
		object = plat.Object{Name: name}
	}
	if body == nil {
		_ = pf.memory.Delete(ctx, object)
		return
	}
	_, _ = pf.memory.Put(ctx, object.WithBody(body))
}

func (pf *Platform) serveObjects(writer http.ResponseWriter, request *http.Request) {
	faults := pf.faults.Load()
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
	const prefix = 5
	if len(parts) <= prefix || parts[0] != "apis" {
		http.NotFound(writer, request)
		return
	}
	name := plat.Name{Kind: plat.Kind(parts[prefix])}
	if len(parts) > prefix+1 {
		name.Name = parts[prefix+1]
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
		objects, _ := pf.memory.List(request.Context(), name.Kind)
		list := plat.ListWire{}
		for _, object := range objects {
			list.Items = append(list.Items, wireOf(object))
		}
		writeJSON(writer, list)
	default:
		object, err := pf.memory.Get(request.Context(), name)
		if err != nil {
			writeError(writer, err)
			return
		}
		writeJSON(writer, wireOf(object))
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
	object, err := pf.memory.Put(request.Context(), object)
	if err != nil {
		writeError(writer, err)
		return
	}
	kind := pf.faults.Load().LoseKind
	if (kind == "" || kind == name.Kind) && pf.lose.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, wireOf(object))
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
	if err := pf.memory.Delete(request.Context(), object); err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, struct{}{})
}

// watch serves one watch until the time that the request names. A muted watch sends nothing and never ends by itself.
func (pf *Platform) watch(writer http.ResponseWriter, request *http.Request, name plat.Name) {
	if pf.expired(writer) {
		return
	}
	number := pf.calls.watch()
	query := request.URL.Query()
	since, _ := strconv.ParseUint(query.Get("resourceVersion"), 10, 64)
	seconds, _ := strconv.Atoi(query.Get("timeoutSeconds"))
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	if seconds > 0 {
		end := time.AfterFunc(time.Duration(seconds)*time.Second, func() {
			if number > pf.muted.Load() {
				cancel()
			}
		})
		defer end.Stop()
	}
	controller := http.NewResponseController(writer)
	bookmark := plat.ObjectWire{Metadata: plat.MetadataWire{ResourceVersion: query.Get("resourceVersion")}}
	writeJSON(writer, plat.WatchWire{Type: "BOOKMARK", Object: bookmark})
	_ = controller.Flush()
	_ = pf.memory.Watch(ctx, name, func(object plat.Object) {
		revision, _ := strconv.ParseUint(string(object.Revision), 10, 64)
		if revision <= since || number <= pf.muted.Load() {
			return
		}
		_ = json.NewEncoder(writer).Encode(plat.WatchWire{Type: "MODIFIED", Object: wireOf(object)})
		_ = controller.Flush()
	})
}

// expired calls the revision of a watch expired, in turn by the status of the
// answer and by an event.
func (pf *Platform) expired(writer http.ResponseWriter) bool {
	left := pf.expire.Add(-1)
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

func wireOf(object plat.Object) plat.ObjectWire {
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
	known := fault.From(err)
	http.Error(writer, known.Message, fault.AnswerOf(known.Kind).HTTPStatus)
}
