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

// The headers between the caller and the stand-in upstreams.
const (
	headerCall = "Call-Id"
	headerWork = "Work-Micros"
	headerSize = "Answer-Bytes"
	headerKey  = "Idempotency-Key"
)

const (
	connectionCost   = time.Millisecond
	announceInterval = 5 * time.Second
	leavingGrace     = 2 * time.Second
)

// upstreamSpec describes one stand-in upstream.
type upstreamSpec struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Admin       string `json:"admin"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// groupSpec describes the upstreams of one process.
type groupSpec struct {
	Control   string         `json:"control"`
	Upstreams []upstreamSpec `json:"upstreams"`
}

// groupCounts is what the upstreams of one process have done.
type groupCounts struct {
	Runs       int64 `json:"runs"`
	Whole      int64 `json:"whole"`
	Duplicates int64 `json:"duplicates"`
	// Late counts the calls that reached a leaving upstream after the grace.
	Late int64 `json:"late"`
}

func (gc groupCounts) sub(earlier groupCounts) groupCounts {
	return groupCounts{
		Runs:       gc.Runs - earlier.Runs,
		Whole:      gc.Whole - earlier.Whole,
		Duplicates: gc.Duplicates - earlier.Duplicates,
		Late:       gc.Late - earlier.Late,
	}
}

// groupChange changes one upstream.
type groupChange struct {
	Upstream int     `json:"upstream"`
	Slowdown float64 `json:"slowdown"`
	Leaving  bool    `json:"leaving"`
	// Announce tells the node at once.
	Announce bool `json:"announce"`
}

type upstreamGroup struct {
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
	group    *upstreamGroup
	slots    chan struct{}
	slowdown atomic.Int64
	leaving  atomic.Bool
	left     atomic.Int64
}

// serveUpstreams runs the upstreams that a description lists until it is told
// to stop.
func serveUpstreams(input io.Reader) error {
	var spec groupSpec
	if err := json.NewDecoder(input).Decode(&spec); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group := &upstreamGroup{keys: map[string]struct{}{}}
	for _, item := range spec.Upstreams {
		up := &upstream{spec: item, group: group, slots: make(chan struct{}, item.Slots)}
		up.slowdown.Store(1)
		group.upstreams = append(group.upstreams, up)
		if err := serveSlowAccept(item.Address, up); err != nil {
			return err
		}
		go up.announce(ctx)
	}
	if err := serveSlowAccept(spec.Control, group); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func serveSlowAccept(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(costlyListener{listener}) }()
	return nil
}

// costlyListener delays the first read of each connection.
type costlyListener struct{ net.Listener }

// Accept returns the next connection.
func (ls costlyListener) Accept() (net.Conn, error) {
	conn, err := ls.Listener.Accept()
	return &costlyConn{Conn: conn}, err
}

type costlyConn struct {
	net.Conn
	once sync.Once
}

// Read reads after the cost of the connection was paid.
func (cn *costlyConn) Read(buffer []byte) (int, error) {
	cn.once.Do(func() { time.Sleep(connectionCost) })
	return cn.Conn.Read(buffer)
}

// ServeHTTP changes an upstream or answers the counts of all.
func (ug *upstreamGroup) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost {
		var change groupChange
		err := json.NewDecoder(request.Body).Decode(&change)
		if err != nil || change.Upstream < 0 || change.Upstream >= len(ug.upstreams) {
			http.Error(writer, "bad change", http.StatusBadRequest)
			return
		}
		up := ug.upstreams[change.Upstream]
		up.slowdown.Store(int64(max(1, change.Slowdown)))
		up.leaving.Store(change.Leaving)
		if change.Leaving {
			up.left.Store(time.Now().UnixNano())
		}
		if change.Announce {
			_ = fakes.PostAnnouncement(request.Context(), up.spec.Admin, up.announcement())
		}
	}
	counts := groupCounts{Runs: ug.runs.Load(), Whole: ug.whole.Load(), Duplicates: ug.duplicates.Load(), Late: ug.late.Load()}
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

func (up *upstream) announce(ctx context.Context) {
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

// ServeHTTP takes a slot, works as long as the request says and answers a body
// that the caller can check.
func (up *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	select {
	case up.slots <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-up.slots }()
	up.group.began(request.Header.Get(headerKey))
	if up.leaving.Load() && time.Since(time.Unix(0, up.left.Load())) > leavingGrace {
		up.group.late.Add(1)
	}
	micros, _ := strconv.ParseInt(request.Header.Get(headerWork), 10, 64)
	size, _ := strconv.Atoi(request.Header.Get(headerSize))
	select {
	case <-time.After(time.Duration(micros*up.slowdown.Load()) * time.Microsecond):
	case <-request.Context().Done():
		return
	}
	up.group.whole.Add(1)
	id := request.Header.Get(headerCall)
	body := answerBody(id, size)
	writer.Header().Set(headerCall, id)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(writer, body)
}

func (ug *upstreamGroup) began(key string) {
	ug.runs.Add(1)
	if key == "" {
		return
	}
	ug.mu.Lock()
	defer ug.mu.Unlock()
	if _, ran := ug.keys[key]; ran {
		ug.duplicates.Add(1)
	}
	ug.keys[key] = struct{}{}
}

// answerBody returns the answer that a call expects.
func answerBody(id string, size int) string {
	return fmt.Sprintf("%s:%0*d", id, size, len(id))
}
