package proxy

import (
	"context"
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// paceShare is the part of the link that large answers take together, so
	// that small ones do not wait behind them.
	paceShare = 0.9
	// paceChunk is the size in bytes in which large answers are sent, and
	// paceBurst that which may be sent at once.
	paceChunk = 8 << 10
	paceBurst = 32 << 10
)

// pacer spreads the large answers that leave the instance over time.
type pacer struct{ limiter *rate.Limiter }

// WithLink sets how many bytes a second the instance's link carries.
func WithLink(bytesPerSecond float64) OwnerOption {
	return func(ow *Owner) { ow.pacer.limiter = rate.NewLimiter(rate.Limit(paceShare*bytesPerSecond), paceBurst) }
}

// write writes an answer, in paced chunks if it is large. Small ones are
// counted but never wait.
func (pa pacer) write(ctx context.Context, writer io.Writer, body []byte, now time.Time) error {
	if pa.limiter == nil || len(body) <= paceChunk {
		if pa.limiter != nil {
			pa.limiter.ReserveN(now, len(body))
		}
		_, err := writer.Write(body)
		return err
	}
	for len(body) > 0 {
		size := min(paceChunk, len(body))
		if err := pa.limiter.WaitN(ctx, size); err != nil {
			return err
		}
		if _, err := writer.Write(body[:size]); err != nil {
			return err
		}
		flush(writer)
		body = body[size:]
	}
	return nil
}

// flush sends a chunk on its way, as the rest follows later.
func flush(writer io.Writer) {
	if flusher, ok := writer.(interface{ Flush() }); ok {
		flusher.Flush()
	}
}
