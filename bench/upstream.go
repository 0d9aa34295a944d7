package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sequoiamill.example/sequoiamill/fakes"
)

// The headers with which callers tell the fake upstreams the call's identifier, the
// processing time, the answer size and the idempotency key.
const (
	headerCall = "Call-Id"
	headerWork = "Work-Micros"
	headerSize = "Answer-Bytes"
	headerKey  = "Idempotency-Key"
)

const (
	// connectionDelay is the simulated cost of a new connection.
	connectionDelay  = time.Millisecond
	announceInterval = 5 * time.Second
	// leavingGrace is how long calls may still begin at an upstream that leaves.
	leavingGrace = 2 * time.Second
)

// upstreamSpec describes one fake upstream.
type upstreamSpec struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Admin       string `json:"admin"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// upstreamSetSpec describes the fake upstreams of one process and the address at
// which it accepts changes.
type upstreamSetSpec struct {
	Control   string         `json:"control"`
	Upstreams []upstreamSpec `json:"upstreams"`
}

// upstreamCounts holds the counters of the fake upstreams of one process.
type upstreamCounts struct {
	Runs       int64 `json:"runs"`
	Whole      int64 `json:"whole"`
	Duplicates int64 `json:"duplicates"`
	// Late counts the calls that began at a leaving upstream more than
	// leavingGrace after it began to leave.
	Late int64 `json:"late"`
}

func (gc upstreamCounts) sub(earlier upstreamCounts) upstreamCounts {
	return upstreamCounts{
		Runs:       gc.Runs - earlier.Runs,
		Whole:      gc.Whole - earlier.Whole,
		Duplicates: gc.Duplicates - earlier.Duplicates,
		Late:       gc.Late - earlier.Late,
	}
}

// upstreamChange is a request to set the slowdown and the leaving state of the
// upstream with the index Upstream.
type upstreamChange struct {
	Upstream int     `json:"upstream"`
	Slowdown float64 `json:"slowdown"`
	Leaving  bool    `json:"leaving"`
	// Announce is true if the upstream must announce the change to its node
	// immediately.
	Announce bool `json:"announce"`
}

type upstreamSet struct {
	upstreams  []*upstream
	runs       atomic.Int64
	whole      atomic.Int64
	duplicates atomic.Int64
	late       atomic.Int64
	mu         sync.Mutex
	keys       map[string]struct{}
}

type upstream struct {
	spec     upstreamSpec
	set      *upstreamSet
	slots    chan struct{}
	slowdown atomic.Int64
	leaving  atomic.Bool
	leftAt   atomic.Int64
}

// serveUpstreams reads an upstreamSetSpec in JSON and runs its upstreams until
// the process receives SIGTERM or SIGINT.
func serveUpstreams(input io.Reader) error {
	var spec upstreamSetSpec
	if err := json.NewDecoder(input).Decode(&spec); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	set := &upstreamSet{keys: map[string]struct{}{}}
	for _, item := range spec.Upstreams {
		up := &upstream{spec: item, set: set, slots: make(chan struct{}, item.Slots)}
		up.slowdown.Store(1)
		set.upstreams = append(set.upstreams, up)
		if err := serveSlowConnections(item.Address, up); err != nil {
			return err
		}
		go up.announceLoop(ctx)
	}
	if err := serveSlowConnections(spec.Control, set); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func serveSlowConnections(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(slowListener{listener}) }()
	return nil
}

// slowListener simulates the cost of a new connection: it delays the first read
// of each connection by connectionDelay.
type slowListener struct{ net.Listener }

// Accept implements net.Listener.
func (ls slowListener) Accept() (net.Conn, error) {
	conn, err := ls.Listener.Accept()
	return &slowConn{Conn: conn}, err
}

type slowConn struct {
	net.Conn
	once sync.Once
}

// Read implements net.Conn.
func (cn *slowConn) Read(buffer []byte) (int, error) {
	cn.once.Do(func() { time.Sleep(connectionDelay) })
	return cn.Conn.Read(buffer)
}

// ServeHTTP implements http.Handler. It applies an upstreamChange if the request
// is a POST, and answers with the counters of all upstreams.
func (us *upstreamSet) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost {
		var change upstreamChange
		err := json.NewDecoder(request.Body).Decode(&change)
		if err != nil || change.Upstream < 0 || change.Upstream >= len(us.upstreams) {
			http.Error(writer, "bad change", http.StatusBadRequest)
			return
		}
		up := us.upstreams[change.Upstream]
		up.slowdown.Store(int64(max(1, change.Slowdown)))
		up.leaving.Store(change.Leaving)
		if change.Leaving {
			up.leftAt.Store(time.Now().UnixNano())
		}
		if change.Announce {
			_ = fakes.PostAnnouncement(request.Context(), up.spec.Admin, up.announcement())
		}
	}
	counts := upstreamCounts{Runs: us.runs.Load(), Whole: us.whole.Load(), Duplicates: us.duplicates.Load(), Late: us.late.Load()}
	_ = json.NewEncoder(writer).Encode(counts)
}

func (up *upstream) announcement() fakes.Announcement {
	return fakes.Announcement{
		Service:     up.spec.Service,
		Address:     up.spec.Address,
		Slots:       up.spec.Slots,
		Connections: up.spec.Connections,
		Leaving:     up.leaving.Load(),
	}
}

// announceLoop announces the upstream to its node every announceInterval until
// the context ends. After a failed announcement it tries again sooner.
func (up *upstream) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := announceInterval
		if fakes.PostAnnouncement(ctx, up.spec.Admin, up.announcement()) != nil {
			wait = announceInterval / 20
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// ServeHTTP implements http.Handler. It waits for a free slot, occupies it for
// the processing time that the request asks for, multiplied by the slowdown, and
// answers with a body that the caller can verify.
func (up *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	select {
	case up.slots <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-up.slots }()
	up.set.recordRun(request.Header.Get(headerKey))
	if up.leaving.Load() && time.Since(time.Unix(0, up.leftAt.Load())) > leavingGrace {
		up.set.late.Add(1)
	}
	micros, _ := strconv.ParseInt(request.Header.Get(headerWork), 10, 64)
	size, _ := strconv.Atoi(request.Header.Get(headerSize))
	select {
	case <-time.After(time.Duration(micros*up.slowdown.Load()) * time.Microsecond):
	case <-request.Context().Done():
		return
	}
	up.set.whole.Add(1)
	id := request.Header.Get(headerCall)
	body := answerBody(id, size)
	writer.Header().Set(headerCall, id)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(writer, body)
}

// recordRun counts a call that began. If the call's idempotency key was seen
// before, recordRun also counts a duplicate.
func (us *upstreamSet) recordRun(key string) {
	us.runs.Add(1)
	if key == "" {
		return
	}
	us.mu.Lock()
	defer us.mu.Unlock()
	if _, ran := us.keys[key]; ran {
		us.duplicates.Add(1)
	}
	us.keys[key] = struct{}{}
}

// answerBody returns the expected body of the answer to the call with this
// identifier.
func answerBody(id string, size int) string {
	return fmt.Sprintf("%s:%0*d", id, size, len(id))
}
