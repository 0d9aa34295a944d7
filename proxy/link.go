package proxy

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linkChunk is the size in bytes in which large answers are sent, and
	// linkBurst that which may be sent at once: a small answer waits behind no
	// more than that.
	linkChunk = 8 << 10
	linkBurst = 16 << 10
)

// Link sends the answers that leave an instance. Large ones go one after the
// other at the link's rate, so that each is complete as early as it can be and
// small ones, which never wait, meet an idle link. The zero value has no limit.
type Link struct {
	limiter *rate.Limiter
	// turn holds a token while a large answer is being sent.
	turn chan struct{}
	// pending is the number of bytes of large answers that are not sent yet.
	pending atomic.Int64
}

// NewLink returns a link on which answers may take a number of bytes a second.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst), turn: make(chan struct{}, 1)}
}

// Wait returns the time that a large answer would wait for those before it.
func (li *Link) Wait() time.Duration {
	if li.limiter == nil {
		return 0
	}
	return time.Duration(float64(li.pending.Load()) / float64(li.limiter.Limit()) * float64(time.Second))
}

// write writes an answer, in chunks if it is large.
func (li *Link) write(ctx context.Context, writer io.Writer, body []byte, now time.Time) error {
	if li.limiter == nil || len(body) <= linkChunk {
		if li.limiter != nil {
			li.limiter.ReserveN(now, len(body))
		}
		_, err := writer.Write(body)
		return err
	}
	left := int64(len(body))
	li.pending.Add(left)
	defer func() { li.pending.Add(-left) }()
	select {
	case li.turn <- struct{}{}:
		defer func() { <-li.turn }()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	for len(body) > 0 {
		size := min(linkChunk, len(body))
		if err := li.limiter.WaitN(ctx, size); err != nil {
			return err
		}
		if _, err := writer.Write(body[:size]); err != nil {
			return err
		}
		flush(writer)
		body = body[size:]
		left -= int64(size)
		li.pending.Add(-int64(size))
	}
	return nil
}

// flush sends a chunk on its way, as the rest follows later.
func flush(writer io.Writer) {
	if flusher, ok := writer.(interface{ Flush() }); ok {
		flusher.Flush()
	}
}
