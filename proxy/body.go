package proxy

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/memory"
)

const (
	// firstBodyStep is the size in bytes of the buffer in which the body of a request begins
	// to arrive, and unknownBodyStep that for a body of unknown length.
	firstBodyStep   = 4 << 10
	unknownBodyStep = 512
	// bodyGrowth is the factor by which a full buffer grows.
	bodyGrowth = 2
	// defaultBodyMemory and bodyMemoryFactor give the size of the budget of an owner that
	// is given none: at least so many bytes, and so many bodies of the greatest size.
	defaultBodyMemory = 256 << 20
	bodyMemoryFactor  = 4
	// bodyRetryAfter is when a request may come again for whose body there is no room.
	bodyRetryAfter = time.Second
	// answerPart is the part of the size of a budget that the answers may take that are
	// being read.
	answerPart = 2
)

// MinBodyMemory returns the least size of a budget that has room for a body of maxBody
// bytes, in any form, as long as no other one is read.
func MinBodyMemory(maxBody int64) int64 { return bodyMemoryFactor * maxBody }

// DefaultBodyMemory returns the size of the budget of an owner that is given none.
func DefaultBodyMemory(maxBody int64) int64 {
	return max(defaultBodyMemory, MinBodyMemory(maxBody))
}

// body is the body of a request, with the room that it takes. The room is nil if the
// request has no body.
type body struct {
	text []byte
	room *memory.Room
}

// readRequestBody reads the body of a request into a part of the budget, which the caller
// must release. If the body has or announces more than limit bytes, the error is of kind
// TooLarge; an announced one is not read. The other errors are those of memory.Room and of
// the reader.
func (ow *Owner) readRequestBody(writer http.ResponseWriter, request *http.Request, limit int64) (body, error) {
	if request.ContentLength > limit {
		return body{}, errTooLarge(limit)
	}
	if request.Body == nil || request.Body == http.NoBody {
		return body{}, nil
	}
	controller := http.NewResponseController(writer)
	room := ow.budget.Open(ow.now(), func() { _ = controller.SetReadDeadline(pastTime) })
	reader := bodyReader{source: request.Body, length: request.ContentLength, limit: limit, first: firstBodyStep, room: room, now: ow.now}
	if request.ContentLength < 0 {
		reader.first = unknownBodyStep
	}
	text, err := reader.read()
	if err != nil {
		room.Release()
		return body{}, err
	}
	return body{text: text, room: room}, nil
}

// pastTime is a deadline that has always passed.
var pastTime = time.Unix(1, 0)

// bodyReader reads a body of at most limit bytes into a buffer for which it takes room.
type bodyReader struct {
	source io.Reader
	// length is the announced length, or below 0 if there is none.
	length, limit int64
	// first is the size of the first buffer, if the body is not shorter.
	first int64
	// room is what the buffers take, or nil if they take no part of a budget. now is
	// needed only with a room.
	room *memory.Room
	now  func() time.Time
	// reserve is called with the size of each buffer before there is one. It may be nil.
	reserve func(size int64) error
}

// readBody reads the body of an answer. If it has or announces more than limit bytes, the
// error is of kind TooLarge.
func readBody(response *http.Response, limit int64) ([]byte, error) {
	reader := newAnswerReader(response, limit)
	return reader.read()
}

func newAnswerReader(response *http.Response, limit int64) bodyReader {
	reader := bodyReader{source: response.Body, length: response.ContentLength, limit: limit, first: unknownBodyStep}
	switch {
	case response.Body == http.NoBody:
		// The length is that of the answer to another method.
		reader.length = 0
	case response.ContentLength >= 0:
		reader.first = freeBody
	}
	return reader
}

func (br *bodyReader) read() ([]byte, error) {
	if br.length > br.limit {
		return nil, errTooLarge(br.limit)
	}
	var text []byte
	for {
		var err error
		text, err = br.step(text)
		switch {
		case errors.Is(err, io.EOF):
			return text, br.room.Complete()
		case err != nil:
			return nil, br.cause(err)
		}
	}
}

// step reads the next bytes into the buffer, or makes room for them. The error is io.EOF at
// the end of the body.
func (br *bodyReader) step(text []byte) ([]byte, error) {
	switch {
	case len(text) < cap(text):
		count, err := br.source.Read(text[len(text):cap(text)])
		if count > 0 && br.room != nil {
			br.room.Arrived(count, br.now())
		}
		return text[:len(text)+count], err
	case int64(len(text)) < br.most():
		return br.grow(text)
	default:
		return text, br.expectEnd()
	}
}

// grow returns a copy of a full buffer with more capacity. Both take room while it copies.
func (br *bodyReader) grow(text []byte) ([]byte, error) {
	size := br.nextSize(int64(cap(text)))
	if err := br.take(size); err != nil {
		return text, err
	}
	grown := make([]byte, len(text), size)
	copy(grown, text)
	br.room.Return(int64(cap(text)))
	return grown, nil
}

// take takes what a buffer of the given size needs.
func (br *bodyReader) take(size int64) error {
	if br.reserve != nil {
		if err := br.reserve(size); err != nil {
			return err
		}
	}
	if br.room == nil {
		return nil
	}
	return br.room.Take(size, br.now())
}

// nextSize returns the size of the buffer that follows one of the given size. The last step
// goes to the greatest size, once a good part has arrived.
func (br *bodyReader) nextSize(size int64) int64 {
	next := max(bodyGrowth*size, br.first)
	if br.most() < bodyGrowth*next {
		return br.most()
	}
	return next
}

// most returns the greatest size that the body may have.
func (br *bodyReader) most() int64 {
	if br.length >= 0 {
		return br.length
	}
	return br.limit
}

// expectEnd reads the end of a body that has as many bytes as it may have.
func (br *bodyReader) expectEnd() error {
	var further [1]byte
	count, err := br.source.Read(further[:])
	if count > 0 {
		return errTooLarge(br.limit)
	}
	return err
}

// cause returns memory.ErrGivenUp in place of the error that the reader got from that.
func (br *bodyReader) cause(err error) error {
	if errors.Is(br.room.Complete(), memory.ErrGivenUp) {
		return memory.ErrGivenUp
	}
	return err
}

// bodyReadError returns the error to answer with when the body of a request could not be
// read. It is InvalidInput if err has no kind of its own and is no timeout.
func bodyReadError(err error) *fault.Error {
	known := fault.From(err)
	switch {
	case known.Kind != fault.Internal:
		return known
	case errors.Is(err, memory.ErrNoRoom):
		return fault.Wrap(fault.Overloaded, err, "read the request").WithRetryAfter(bodyRetryAfter)
	case errors.Is(err, memory.ErrGivenUp), isTimeout(err):
		return fault.Wrap(fault.RequestTimeout, err, "read the request")
	default:
		return fault.Wrap(fault.InvalidInput, err, "read the request")
	}
}

// forwardedBodyError returns the error of a forwarded job whose body could not be read. One
// that was given up may be sent elsewhere, like one that was refused.
func forwardedBodyError(err error) *fault.Error {
	if errors.Is(err, memory.ErrGivenUp) {
		return fault.Wrap(fault.Overloaded, err, "read the request").WithRetryAfter(bodyRetryAfter)
	}
	return bodyReadError(err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
