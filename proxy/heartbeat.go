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

	"sequoiamill.example/sequoiamill/heads"
)

const (
	// heartbeatInterval is how often an owner sends an interim response to the
	// entry node while a job runs.
	heartbeatInterval = 400 * time.Millisecond
	// inactivityTimeout is how long an entry node waits for the next byte or
	// interim response of an owner before it gives up the attempt.
	inactivityTimeout = 2 * time.Second
)

// errInactive is the cause of a context that a watchdog canceled.
var errInactive = errors.New("the connection is silent")

// doWithHeartbeat runs a job. While the job runs, doWithHeartbeat sends a 102
// (Processing) response every heartbeatInterval, so that the entry node's watchdog
// does not cancel the attempt.
func (ow *Owner) doWithHeartbeat(ctx context.Context, writer http.ResponseWriter, job Job) Result {
	hb := &heartbeat{writer: writer}
	hb.mu.Lock()
	hb.timer = time.AfterFunc(heartbeatInterval, hb.sendInterim)
	hb.mu.Unlock()
	defer hb.stop()
	return ow.Do(ctx, job)
}

// heartbeat sends interim responses at heartbeatInterval until it is stopped.
type heartbeat struct {
	mu      sync.Mutex
	writer  http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func (hb *heartbeat) sendInterim() {
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

// watchdog cancels an exchange with another node when no byte was sent or
// received for a given duration, the limit.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

// newWatchdog returns a watchdog and a context. The context is canceled with the
// cause errInactive when the watchdog has not been reset for the given limit, and
// with the fault of an interim response that is malformed. The returned function
// stops the watchdog and cancels the context.
func newWatchdog(ctx context.Context, limit time.Duration) (*watchdog, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	wd := &watchdog{limit: limit}
	wd.timer = time.AfterFunc(limit, func() { cancel(errInactive) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { wd.reset() },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			wd.reset()
			err := heads.CheckResponse(&http.Response{StatusCode: status, Header: http.Header(header)})
			if err != nil {
				// The transport may return the error of writing the request instead.
				cancel(err)
			}
			return err
		},
	})
	return wd, ctx, func() {
		wd.timer.Stop()
		cancel(context.Canceled)
	}
}

func (wd *watchdog) reset() { wd.timer.Reset(wd.limit) }

// reader returns a reader that resets the watchdog whenever it reads bytes from
// source.
func (wd *watchdog) reader(source io.Reader) io.Reader {
	return watchedReader{source: source, watchdog: wd}
}

type watchedReader struct {
	source   io.Reader
	watchdog *watchdog
}

// Read implements io.Reader.
func (wr watchedReader) Read(buffer []byte) (int, error) {
	count, err := wr.source.Read(buffer)
	if count > 0 {
		wr.watchdog.reset()
	}
	return count, err
}
