// Package logs writes log lines in the background, so that a slow output does not
// block the code that logs.
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
	// defaultRate is the number of lines per second that are accepted in the long
	// run, and defaultBurst the largest number that is accepted in a burst.
	defaultRate  = 100
	defaultBurst = 2000
	// maxPending is the maximum number of bytes in the buffer.
	maxPending = 1 << 20
	// flushInterval is how long lines are collected in the buffer before they are
	// written together.
	flushInterval = 50 * time.Millisecond
)

// Writer is an io.Writer that buffers log lines and writes them in the background.
// It drops lines that exceed its rate limit or do not fit into its buffer, and
// counts the dropped lines.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	dropped atomic.Int64
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	mu      sync.Mutex
	pending bytes.Buffer
}

// Option configures a Writer.
type Option func(*Writer)

// WithRate sets the rate limit: the number of lines per second that are accepted in
// the long run and the largest number that is accepted in a burst.
func WithRate(perSecond float64, burst int) Option {
	return func(wr *Writer) { wr.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// NewWriter returns a Writer that writes to out, and starts the goroutine that
// writes the buffered lines. Close stops the goroutine.
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

// Write adds one line to the buffer or drops it. Write never blocks on the output
// and always returns a nil error, also for a dropped line.
func (wr *Writer) Write(line []byte) (int, error) {
	if !wr.limiter.Allow() || !wr.enqueue(line) {
		wr.dropped.Add(1)
		return len(line), nil
	}
	select {
	case wr.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// enqueue adds a line to the buffer and reports whether there was space.
func (wr *Writer) enqueue(line []byte) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.pending.Len()+len(line) > maxPending {
		return false
	}
	wr.pending.Write(line)
	return true
}

// Dropped returns the number of dropped lines.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// Close writes the buffered lines, stops the background goroutine and waits until
// it has stopped. Unlike Write, Close blocks while the output blocks.
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
	text := bytes.Clone(wr.pending.Bytes())
	wr.pending.Reset()
	wr.mu.Unlock()
	if len(text) > 0 {
		_, _ = wr.out.Write(text)
	}
}
