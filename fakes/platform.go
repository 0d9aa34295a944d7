// Package fakes holds small stand-ins for tests: the platform's object API, an
// upstream and a caller that checks its answers.
//
// # Usage
//
//	platform := fakes.NewPlatform()
//	server := httptest.NewServer(platform)
package fakes

import (
	"encoding/json"
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
	// MuteWatches keeps watches open without sending anything.
	MuteWatches bool `json:"mute-watches"`
}

// Counts are the calls that a platform stand-in took.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Platform is a stand-in for the object API over HTTP.
type Platform struct {
	memory  *plat.Memory
	faults  atomic.Pointer[Faults]
	lose    atomic.Int64
	reads   atomic.Int64
	writes  atomic.Int64
	watches atomic.Int64
}

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	pf := &Platform{memory: plat.NewMemory()}
	pf.SetFaults(Faults{})
	return pf
}

// SetFaults changes the failures from now on.
func (pf *Platform) SetFaults(faults Faults) {
	pf.faults.Store(&faults)
	pf.lose.Store(int64(faults.LoseAnswers))
}

// Counts returns the calls so far.
func (pf *Platform) Counts() Counts {
	return Counts{Reads: pf.reads.Load(), Writes: pf.writes.Load(), Watches: pf.watches.Load()}
}

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
	default:
		pf.serveObjects(writer, request)
	}
}

func (pf *Platform) serveObjects(writer http.ResponseWriter, request *http.Request) {
	faults := pf.faults.Load()
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
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
	pf.serve(writer, request, name)
}

func (pf *Platform) serve(writer http.ResponseWriter, request *http.Request, name plat.Name) {
	switch request.Method {
	case http.MethodGet:
		pf.reads.Add(1)
		pf.read(writer, request, name)
	case http.MethodPost, http.MethodPut:
		pf.writes.Add(1)
		pf.put(writer, request, name)
	case http.MethodDelete:
		pf.writes.Add(1)
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
	if pf.lose.Add(-1) >= 0 {
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

func (pf *Platform) watch(writer http.ResponseWriter, request *http.Request, name plat.Name) {
	pf.watches.Add(1)
	since, _ := strconv.ParseUint(request.URL.Query().Get("resourceVersion"), 10, 64)
	flusher := http.NewResponseController(writer)
	writer.WriteHeader(http.StatusOK)
	_ = flusher.Flush()
	_ = pf.memory.Watch(request.Context(), name, func(object plat.Object) {
		revision, _ := strconv.ParseUint(string(object.Revision), 10, 64)
		if revision <= since || pf.faults.Load().MuteWatches {
			return
		}
		_ = json.NewEncoder(writer).Encode(plat.WatchWire{Type: "MODIFIED", Object: wireOf(object)})
		_ = flusher.Flush()
	})
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
