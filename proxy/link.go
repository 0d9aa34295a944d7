package proxy

import (
	"context"
	"io"
	"sync"
	"time"
)

// linkChunkSize is the size in bytes of the chunks in which large answers are
// sent. A small answer is delayed by at most one such chunk.
const linkChunkSize = 8 << 10

// Link paces the answers that leave an instance to the bandwidth of its network
// link. Answers of more than linkChunkSize bytes are sent one after the other,
// so that each completes as early as possible. Smaller answers are sent at once,
// and the pacing keeps the link free for them. An answer whose receiver stalls
// misses its own time slot but delays no other answer. The zero value does not
// limit the bandwidth.
type Link struct {
	// rate is the bandwidth in bytes per second; 0 means unlimited.
	rate float64
	mu   sync.Mutex
	// freeAt is when all answers scheduled so far will have been sent.
	freeAt time.Time
}

// NewLink returns a link with a bandwidth in bytes per second.
func NewLink(bytesPerSecond float64) *Link { return &Link{rate: bytesPerSecond} }

// Wait returns how long a large answer would wait for the answers scheduled
// before it.
func (li *Link) Wait(now time.Time) time.Duration {
	li.mu.Lock()
	defer li.mu.Unlock()
	return max(0, li.freeAt.Sub(now))
}

// reserve schedules size bytes after all answers scheduled so far, and returns
// when their transmission begins.
func (li *Link) reserve(size int, now time.Time) time.Time {
	li.mu.Lock()
	defer li.mu.Unlock()
	begin := now
	if li.freeAt.After(now) {
		begin = li.freeAt
	}
	li.freeAt = begin.Add(li.transmitTime(size))
	return begin
}

// transmitTime returns how long the link takes to send size bytes.
func (li *Link) transmitTime(size int) time.Duration {
	return time.Duration(float64(size) / li.rate * float64(time.Second))
}

// write writes an answer. A large answer is written in chunks, each at its
// scheduled time.
func (li *Link) write(ctx context.Context, writer io.Writer, body []byte, now func() time.Time) error {
	if li.rate <= 0 {
		_, err := writer.Write(body)
		return err
	}
	begin := li.reserve(len(body), now())
	if len(body) <= linkChunkSize {
		_, err := writer.Write(body)
		return err
	}
	for sent := 0; sent < len(body); {
		if err := sleepUntil(ctx, begin.Add(li.transmitTime(sent)), now()); err != nil {
			return err
		}
		end := min(sent+linkChunkSize, len(body))
		if _, err := writer.Write(body[sent:end]); err != nil {
			return err
		}
		flush(writer)
		sent = end
	}
	return nil
}

// sleepUntil waits until the time at, or returns the cause of ctx if ctx ends
// before.
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

// flush sends the buffered bytes of a chunk, because the next chunk may only
// follow later.
func flush(writer io.Writer) {
	if flusher, ok := writer.(interface{ Flush() }); ok {
		flusher.Flush()
	}
}
