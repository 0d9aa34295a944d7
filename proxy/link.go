package proxy

import (
	"context"
	"io"
	"sync"
	"time"
)

// linkChunk is the size in bytes in which large answers are sent: a small answer
// waits behind no more than one of them.
const linkChunk = 8 << 10

// Link spreads the answers that leave an instance over time. Large ones get the
// link one after the other, so that each is complete as early as it can be and
// small ones, which never wait, meet an idle link. An answer whose receiver
// stalls loses its time and delays no other. The zero value has no limit.
type Link struct {
	// rate is in bytes a second.
	rate float64
	mu   sync.Mutex
	// free is when the link has sent all that it was given.
	free time.Time
}

// NewLink returns a link on which answers may take a number of bytes a second.
func NewLink(bytesPerSecond float64) *Link { return &Link{rate: bytesPerSecond} }

// Wait returns the time that a large answer would wait for those before it.
func (li *Link) Wait(now time.Time) time.Duration {
	li.mu.Lock()
	defer li.mu.Unlock()
	return max(0, li.free.Sub(now))
}

// take gives the link's next free time to a number of bytes and returns when
// it begins.
func (li *Link) take(size int, now time.Time) time.Time {
	li.mu.Lock()
	defer li.mu.Unlock()
	begin := now
	if li.free.After(now) {
		begin = li.free
	}
	li.free = begin.Add(li.lasting(size))
	return begin
}

// lasting returns how long the link needs for a number of bytes.
func (li *Link) lasting(size int) time.Duration {
	return time.Duration(float64(size) / li.rate * float64(time.Second))
}

// write writes an answer, in chunks at their times if it is large.
func (li *Link) write(ctx context.Context, writer io.Writer, body []byte, now func() time.Time) error {
	if li.rate <= 0 {
		_, err := writer.Write(body)
		return err
	}
	begin := li.take(len(body), now())
	if len(body) <= linkChunk {
		_, err := writer.Write(body)
		return err
	}
	for sent := 0; sent < len(body); {
		if err := sleepUntil(ctx, begin.Add(li.lasting(sent)), now()); err != nil {
			return err
		}
		end := min(sent+linkChunk, len(body))
		if _, err := writer.Write(body[sent:end]); err != nil {
			return err
		}
		flush(writer)
		sent = end
	}
	return nil
}

// sleepUntil waits for an instant, or returns why the context ended before.
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

// flush sends a chunk on its way, as the rest follows later.
func flush(writer io.Writer) {
	if flusher, ok := writer.(interface{ Flush() }); ok {
		flusher.Flush()
	}
}
