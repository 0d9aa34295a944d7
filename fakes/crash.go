package fakes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	crashHeaderTimeout = 5 * time.Second
	relistenInterval   = 10 * time.Millisecond
)

// CrashLog records the runs of one request that ends the processes which run it. It is
// safe for concurrent use.
type CrashLog struct {
	mu   sync.Mutex
	runs []time.Time
	ends []time.Time
}

// Runs returns when the request began to run.
func (cl *CrashLog) Runs() []time.Time {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]time.Time(nil), cl.runs...)
}

// Ends returns when processes ended.
func (cl *CrashLog) Ends() []time.Time {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]time.Time(nil), cl.ends...)
}

// RunsAfter returns the number of runs that began later than a time after the given
// number of processes had ended. It returns 0 if fewer have ended.
func (cl *CrashLog) RunsAfter(ended int, wait time.Duration) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.ends) < ended {
		return 0
	}
	late, from := 0, cl.ends[ended-1].Add(wait)
	for _, run := range cl.runs {
		if run.After(from) {
			late++
		}
	}
	return late
}

// CrashingUpstream is an upstream whose process ends whenever it runs one certain
// request, and is back at the same address after DownFor. Its address takes no
// connections meanwhile, and what else it ran gets no answer.
type CrashingUpstream struct {
	// Path and Bodies are those of the requests that end the process, unless their
	// callers send credentials.
	Path   string
	Bodies []string
	// Work is how long other requests run, SlowWork how long those whose path ends with
	// "/slow" do, and EndsAfter how long the process runs a request that ends it.
	Work, SlowWork, EndsAfter time.Duration
	DownFor                   time.Duration
	Log                       *CrashLog
	// OnRun is called with the path of each request that runs. It may be nil.
	OnRun func(path string)

	address string
	mu      sync.Mutex
	server  *http.Server
	closed  bool
}

// Start listens on a port of the loopback interface and returns the address.
func (cu *CrashingUpstream) Start() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	cu.address = listener.Addr().String()
	cu.serve(listener)
	return cu.address, nil
}

// Close ends the upstream for good.
func (cu *CrashingUpstream) Close() {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.closed = true
	if cu.server != nil {
		_ = cu.server.Close()
	}
}

// End ends the process, as the request does.
func (cu *CrashingUpstream) End() {
	cu.mu.Lock()
	process := cu.server
	cu.mu.Unlock()
	if process != nil {
		cu.end(process)
	}
}

// Up reports whether the upstream takes connections.
func (cu *CrashingUpstream) Up() bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	return cu.server != nil && !cu.closed
}

func (cu *CrashingUpstream) serve(listener net.Listener) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if cu.closed {
		_ = listener.Close()
		return
	}
	server := &http.Server{ReadHeaderTimeout: crashHeaderTimeout}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { cu.run(server, writer, request) })
	cu.server = server
	go func() { _ = server.Serve(listener) }()
}

func (cu *CrashingUpstream) run(process *http.Server, writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if request.URL.Path == cu.Path && slices.Contains(cu.Bodies, string(body)) && request.Header.Get("Authorization") == "" {
		cu.Log.mu.Lock()
		cu.Log.runs = append(cu.Log.runs, time.Now())
		cu.Log.mu.Unlock()
		time.Sleep(cu.EndsAfter)
		cu.end(process)
		panic(http.ErrAbortHandler)
	}
	if cu.OnRun != nil {
		cu.OnRun(request.URL.Path)
	}
	if strings.HasSuffix(request.URL.Path, "/slow") {
		time.Sleep(cu.SlowWork)
	}
	time.Sleep(cu.Work)
	writer.Header().Set("Sequoiamill-Request-Id", request.Header.Get("Sequoiamill-Request-Id"))
	_, _ = fmt.Fprintf(writer, "%s %s: %s", request.Method, request.URL.Path, body)
}

// end ends a process unless it has ended before, and starts another one after DownFor.
func (cu *CrashingUpstream) end(process *http.Server) {
	cu.mu.Lock()
	if cu.server != process || cu.closed {
		cu.mu.Unlock()
		return
	}
	cu.server = nil
	cu.mu.Unlock()
	cu.Log.mu.Lock()
	cu.Log.ends = append(cu.Log.ends, time.Now())
	cu.Log.mu.Unlock()
	_ = process.Close()
	time.AfterFunc(cu.DownFor, cu.restart)
}

func (cu *CrashingUpstream) restart() {
	listener, err := net.Listen("tcp", cu.address)
	if err != nil {
		time.AfterFunc(relistenInterval, cu.restart)
		return
	}
	cu.serve(listener)
}
