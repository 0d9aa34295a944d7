// Package logs writes log lines without ever making their source wait.
//
// # Usage
//
//	writer := logs.NewWriter(os.Stdout)
//	defer writer.Close()
//	logger := log.NewLogfmtLogger(writer)
package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// defaultRate is the number of lines a second that are written in the long
	// run, and defaultBurst the number of lines that may come at once.
	defaultRate  = 100
	defaultBurst = 2000
	// maxWaiting bounds the bytes that wait to be written.
	maxWaiting = 1 << 20
	// flushInterval is how long a line waits for others to be written with it.
	flushInterval = 50 * time.Millisecond
)

// Writer takes whole lines and writes them in the background. What is above its
// rate or would have to wait for too long is dropped and counted.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	dropped atomic.Int64
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	mu      sync.Mutex
	waiting bytes.Buffer
}

// Option changes a setting of a writer.
type Option func(*Writer)

// WithRate sets the lines a second in the long run and at once.
func WithRate(perSecond float64, burst int) Option {
	return func(wr *Writer) { wr.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// NewWriter returns a writer in front of another one.
func NewWriter(out io.Writer, opts ...Option) *Writer {
	wr := &Writer{
		out:     out,
		limiter: rate.NewLimiter(defaultRate, defaultBurst),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(wr)
	}
	go wr.run()
	return wr
}

// Write takes one line. It never fails.
func (wr *Writer) Write(line []byte) (int, error) {
	if !wr.limiter.Allow() || !wr.keep(line) {
		wr.dropped.Add(1)
		return len(line), nil
	}
	select {
	case wr.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (wr *Writer) keep(line []byte) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.waiting.Len()+len(line) > maxWaiting {
		return false
	}
	wr.waiting.Write(line)
	return true
}

// Dropped returns the number of lines that were not written.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// Close writes what waits and ends the writer.
func (wr *Writer) Close() error {
	wr.once.Do(func() { close(wr.stop) })
	<-wr.done
	return nil
}

func (wr *Writer) run() {
	defer close(wr.done)
	for {
		select {
		case <-wr.stop:
			wr.flush()
			return
		case <-wr.wake:
		}
		select {
		case <-wr.stop:
		case <-time.After(flushInterval):
		}
		wr.flush()
	}
}

func (wr *Writer) flush() {
	wr.mu.Lock()
	text := bytes.Clone(wr.waiting.Bytes())
	wr.waiting.Reset()
	wr.mu.Unlock()
	if len(text) > 0 {
		_, _ = wr.out.Write(text)
	}
}
