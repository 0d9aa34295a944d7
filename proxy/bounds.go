package proxy

import (
	"context"
	"io"

	"sequoiamill.example/sequoiamill/fault"
)

const (
	// maxResponseHead is the maximum size in bytes of the status line and headers
	// of an upstream's or owner's answer.
	maxResponseHead = 256 << 10
	// largeBody is the size in bytes above which an answer's body counts as large.
	largeBody = 1 << 20
	// maxLargeBodies is the number of large bodies that an owner reads at the same
	// time.
	maxLargeBodies = 2
)

// errEndlessHead means that an upstream sent more than maxResponseHead bytes before
// the end of an answer's head.
var errEndlessHead = fault.New(fault.BrokenAnswer, "the head of the upstream's answer is above %d bytes", maxResponseHead)

// headReader reads from a connection and limits how much an answer's head may add to
// what was read. It is not safe for concurrent use.
type headReader struct {
	source io.Reader
	// left is the number of bytes that may still be read, if limited is true.
	left    int
	limited bool
	// closed is true once the source has ended or failed.
	closed bool
}

// limit allows size further bytes.
func (hr *headReader) limit(size int) { hr.left, hr.limited = size, true }

// unlimit ends the limit.
func (hr *headReader) unlimit() { hr.limited = false }

// Read implements io.Reader.
func (hr *headReader) Read(buffer []byte) (int, error) {
	if hr.limited {
		if hr.left <= 0 {
			return 0, errEndlessHead
		}
		buffer = buffer[:min(len(buffer), hr.left)]
	}
	count, err := hr.source.Read(buffer)
	hr.left -= count
	hr.closed = hr.closed || err != nil
	return count, err
}

// bodyGate limits how many large bodies are read at the same time. The others are left
// to wait in their connections, so that upstreams in trouble cannot fill the memory.
type bodyGate chan struct{}

func newBodyGate() bodyGate { return make(bodyGate, maxLargeBodies) }

// read reads a body of at most limit bytes, like readBody. It waits for its turn with
// the part of a body above largeBody, until ctx ends.
func (bg bodyGate) read(ctx context.Context, body io.Reader, limit int64) ([]byte, error) {
	head, err := io.ReadAll(io.LimitReader(body, min(largeBody, limit+1)))
	if err != nil || int64(len(head)) < largeBody {
		return checkBodySize(head, limit, err)
	}
	select {
	case bg <- struct{}{}:
		defer func() { <-bg }()
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	rest, err := io.ReadAll(io.LimitReader(body, limit+1-int64(len(head))))
	return checkBodySize(append(head, rest...), limit, err)
}

// checkBodySize returns a body that was read, or an error of kind TooLarge if it has
// more than limit bytes.
func checkBodySize(text []byte, limit int64, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, errTooLarge(limit)
	}
	return text, nil
}

func errTooLarge(limit int64) *fault.Error {
	return fault.New(fault.TooLarge, "the body has more than %d bytes", limit)
}
