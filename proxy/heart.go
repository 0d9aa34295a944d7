package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// heartbeatInterval is how often an owner tells that a job still runs.
	heartbeatInterval = 400 * time.Millisecond
	// silenceLimit is how long an entry waits for the next byte of an owner.
	silenceLimit = 2 * time.Second
)

var errSilent = errors.New("the connection is silent")

// doWithHeartbeat runs a job and sends an interim response from time to time
// while it runs.
func (ow *Owner) doWithHeartbeat(ctx context.Context, writer http.ResponseWriter, job Job) Reply {
	hb := &heartbeat{writer: writer}
	hb.mu.Lock()
	hb.timer = time.AfterFunc(heartbeatInterval, hb.beat)
	hb.mu.Unlock()
	defer hb.stop()
	return ow.Do(ctx, job)
}

// heartbeat sends interim responses until it is stopped.
type heartbeat struct {
	mu      sync.Mutex
	writer  http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func (hb *heartbeat) beat() {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	if hb.stopped {
		return
	}
	hb.writer.WriteHeader(http.StatusProcessing)
	hb.timer.Reset(heartbeatInterval)
}

func (hb *heartbeat) stop() {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.stopped = true
	hb.timer.Stop()
}

// watchdog cancels an exchange when no byte moves for the silence limit.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

// newWatchdog returns a context that ends with errSilent when the watchdog is
// not fed.
func newWatchdog(ctx context.Context, limit time.Duration) (*watchdog, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	wd := &watchdog{limit: limit}
	wd.timer = time.AfterFunc(limit, func() { cancel(errSilent) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { wd.feed() },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			wd.feed()
			return nil
		},
	})
	return wd, ctx, func() {
		wd.timer.Stop()
		cancel(context.Canceled)
	}
}

func (wd *watchdog) feed() { wd.timer.Reset(wd.limit) }

// reader feeds the watchdog with each byte that moves.
func (wd *watchdog) reader(source io.Reader) io.Reader {
	return fedReader{source: source, watchdog: wd}
}

type fedReader struct {
	source   io.Reader
	watchdog *watchdog
}

// Read reads from the source.
func (fr fedReader) Read(buffer []byte) (int, error) {
	count, err := fr.source.Read(buffer)
	if count > 0 {
		fr.watchdog.feed()
	}
	return count, err
}
