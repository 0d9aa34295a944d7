package proxy

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/fault"
)

const (
	// maxResponseHead is the maximum size in bytes of the status line and headers
	// of an upstream's or owner's answer.
	maxResponseHead = 256 << 10
	// freeBody is the size in bytes up to which an answer's body is read at any time.
	freeBody = 64 << 10
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
	// checkEnd is called at the end of the source. It returns an error if the source has
	// failed instead. It may be nil.
	checkEnd func() error
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
	if errors.Is(err, io.EOF) && hr.checkEnd != nil {
		if failure := hr.checkEnd(); failure != nil {
			return count, failure
		}
	}
	return count, err
}

// bodyGate limits the memory of the answers that are being read. Those for which there is
// none are left to wait in their connections, so that upstreams in trouble cannot fill the
// memory. A large body holds a unit besides its place, so that what holds a place waits for
// nothing.
type bodyGate struct {
	// units has one element for each body above freeBody, and large one for each above
	// largeBody.
	units, large chan struct{}
}

// newBodyGate returns a gate for bodies up to largeBody that take size bytes together.
func newBodyGate(size int64) bodyGate {
	units := max(size/largeBody, 2*maxLargeBodies)
	return bodyGate{units: make(chan struct{}, units), large: make(chan struct{}, maxLargeBodies)}
}

// read reads the body of an answer of at most limit bytes, like readBody. It waits for its
// turn with what is above freeBody and above largeBody, until ctx ends.
func (bg bodyGate) read(ctx context.Context, response *http.Response, limit int64) ([]byte, error) {
	pass := gatePass{gate: bg}
	defer pass.leave()
	reader := newAnswerReader(response, limit)
	reader.reserve = func(size int64) error { return pass.enter(ctx, size) }
	return reader.read()
}

// gatePass is what one body has of a gate.
type gatePass struct {
	gate              bodyGate
	hasUnit, hasLarge bool
}

// enter waits until the body may have the given size, or returns the cause of ctx.
func (gp *gatePass) enter(ctx context.Context, size int64) error {
	if size > freeBody && !gp.hasUnit {
		select {
		case gp.gate.units <- struct{}{}:
			gp.hasUnit = true
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if size > largeBody && !gp.hasLarge {
		select {
		case gp.gate.large <- struct{}{}:
			gp.hasLarge = true
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

func (gp *gatePass) leave() {
	if gp.hasLarge {
		<-gp.gate.large
	}
	if gp.hasUnit {
		<-gp.gate.units
	}
}

func errTooLarge(limit int64) *fault.Error {
	return fault.New(fault.TooLarge, "the body has more than %d bytes", limit)
}
