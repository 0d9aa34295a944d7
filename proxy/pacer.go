package proxy

import (
	"context"
	"io"
	"sync"
	"time"
)

// pacedChunkSize is the size in bytes of the chunks in which large answers are
// sent. A small answer is delayed by at most one such chunk.
const pacedChunkSize = 8 << 10

// Pacer paces the answers that leave an instance to the bandwidth of its network
// link. Answers of more than pacedChunkSize bytes are sent in sequence, so that
// each completes as early as possible. Smaller answers are sent immediately; the
// schedule reserves time on the link for them. An answer whose receiver stalls
// misses its own time slot but delays no other answer. The zero value does not
// limit the bandwidth.
type Pacer struct {
	// rate is the bandwidth in bytes per second; 0 means unlimited.
	rate float64
	mu   sync.Mutex
	// freeAt is when all answers scheduled so far will have been sent.
	freeAt time.Time
}

// NewPacer returns a pacer for a network link with the given bandwidth in bytes
// per second. 0 means unlimited.
func NewPacer(bytesPerSecond float64) *Pacer { return &Pacer{rate: bytesPerSecond} }

// Wait returns how long a large answer would wait for the answers scheduled
// before it.
func (pc *Pacer) Wait(now time.Time) time.Duration {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return max(0, pc.freeAt.Sub(now))
}

// reserve schedules size bytes after all answers scheduled so far, and returns
// when their transmission begins.
func (pc *Pacer) reserve(size int, now time.Time) time.Time {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	begin := now
	if pc.freeAt.After(now) {
		begin = pc.freeAt
	}
	pc.freeAt = begin.Add(pc.transmitTime(size))
	return begin
}

// transmitTime returns how long the link takes to send size bytes.
func (pc *Pacer) transmitTime(size int) time.Duration {
	return time.Duration(float64(size) / pc.rate * float64(time.Second))
}

// write writes an answer. A large answer is written in chunks, each at its
// scheduled time.
func (pc *Pacer) write(ctx context.Context, writer io.Writer, body []byte, now func() time.Time) error {
	if pc.rate <= 0 {
		_, err := writer.Write(body)
		return err
	}
	if len(body) > pacedChunkSize {
		if err := awaitTurn(ctx, writer, len(body)); err != nil {
			return err
		}
	}
	begin := pc.reserve(len(body), now())
	if len(body) <= pacedChunkSize {
		_, err := writer.Write(body)
		return err
	}
	for sent := 0; sent < len(body); {
		if err := sleepUntil(ctx, begin.Add(pc.transmitTime(sent)), now()); err != nil {
			return err
		}
		end := min(sent+pacedChunkSize, len(body))
		if _, err := writer.Write(body[sent:end]); err != nil {
			return err
		}
		flush(writer)
		sent = end
	}
	return nil
}

// awaitTurn waits until the answers ahead of a large one on its connection are written.
// Otherwise, its time on the link would pass meanwhile.
func awaitTurn(ctx context.Context, writer io.Writer, size int) error {
	if waiter, ok := writer.(interface {
		AwaitTurn(ctx context.Context, size int) error
	}); ok {
		return waiter.AwaitTurn(ctx, size)
	}
	return nil
}

// sleepUntil waits until the given time; now is the current time. If ctx ends
// first, sleepUntil returns the cause of ctx.
func sleepUntil(ctx context.Context, at, now time.Time) error {
	if !at.After(now) {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(at.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// flush sends the buffered bytes of a chunk. Otherwise they would stay in the
// buffer until the next chunk is due.
func flush(writer io.Writer) {
	if flusher, ok := writer.(interface{ Flush() }); ok {
		flusher.Flush()
	}
}
