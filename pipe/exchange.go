package pipe

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// unknownLength is the length of an answer without Content-Length.
const unknownLength = -1

// errFinished is the error of a handler that writes after it has returned.
var errFinished = errors.New("the handler of this answer has returned")

// buffers are used for one answer after the other.
type buffers struct {
	// lines are the lines of the header as they were at WriteHeader, except for those on
	// the connection and the length.
	lines bytes.Buffer
	// body is the part of the body that waits.
	body []byte
}

var bufferPool = sync.Pool{New: func() any { return new(buffers) }}

// recycle gives the buffers of a written answer to another one.
func (ex *exchange) recycle() {
	used := ex.buffers
	ex.buffers = nil
	used.lines.Reset()
	used.body = used.body[:0]
	bufferPool.Put(used)
}

// exchange is one request and its answer. It is the http.ResponseWriter of the handler.
type exchange struct {
	cn      *conn
	id      int
	request *http.Request
	cancel  context.CancelFunc
	// content is the body of the request, or nil if it has none.
	content *body
	// refusal is an answer without a handler.
	refusal []byte
	// ahead is true if the request may be repeated, last if the caller sends none after
	// it, and keepOld if a caller of HTTP/1.0 wants to keep the connection.
	ahead, last, keepOld bool

	header http.Header
	status int
	*buffers
	connection string
	// typed is true if the type of the body is known or must not be guessed.
	typed bool
	// length is the length of the body that the handler has stated.
	length int64
	// written is the size of the body so far.
	written int64
	// begun is true once the head is written, and chunked if the body is sent in chunks.
	begun, chunked bool
	// finished is true once the handler has returned.
	finished bool

	// turn, done and turned are guarded by the connection's mu. done is true once the
	// answer is produced. turned is closed when the turn comes, if the handler waits.
	turn, done bool
	turned     chan struct{}
}

// start runs the handler in a goroutine of its own.
func (ex *exchange) start() {
	ex.cn.refs.Add(1)
	go ex.run()
}

func (ex *exchange) run() {
	defer ex.cn.release()
	if ex.refusal != nil {
		ex.cn.ready(ex)
		return
	}
	whole := ex.handle()
	ex.cancel()
	if whole && ex.status == 0 {
		ex.WriteHeader(http.StatusOK)
	}
	ex.finished = true
	ex.settleBody()
	if !whole {
		_ = ex.flushTurn()
		ex.cn.abort(ex)
		return
	}
	ex.cn.ready(ex)
}

// handle calls the handler. It returns false if the answer must break off.
func (ex *exchange) handle() (whole bool) {
	defer func() {
		value := recover()
		err, failed := value.(error)
		aborted := failed && errors.Is(err, http.ErrAbortHandler)
		if value != nil && !aborted && ex.cn.server.OnPanic != nil {
			ex.cn.server.OnPanic(value)
		}
	}()
	if ex.request.Method == http.MethodOptions && ex.request.RequestURI == "*" {
		// This asks for the server itself, as in net/http.
		ex.WriteHeader(http.StatusOK)
		return true
	}
	ex.cn.server.Handler.ServeHTTP(ex, ex.request)
	return true
}

// awaitBody waits until the body of the request has ended. It returns false if the rest
// of the body is left unread.
func (ex *exchange) awaitBody() bool {
	if ex.content == nil {
		return true
	}
	<-ex.content.done
	return ex.content.whole
}

// settleBody ends the reading of the request's body. It returns false if the connection
// can't be kept. An answer that closes the connection doesn't wait for the rest of the body.
func (ex *exchange) settleBody() bool {
	if ex.content == nil {
		return true
	}
	if hasToken(ex.connection, "close") {
		ex.content.leave()
		return false
	}
	return ex.content.settle()
}

// takeTurn lets the answer be written. It reports whether the answer has been produced.
// The caller must hold the connection's mu.
func (ex *exchange) takeTurn() bool {
	ex.turn = true
	if ex.turned != nil {
		close(ex.turned)
	}
	return ex.done
}

// AwaitTurn waits until the answers ahead of this one are written. size is the number of
// bytes that the handler keeps meanwhile. It returns the cause of ctx if that ends first.
func (ex *exchange) AwaitTurn(ctx context.Context, size int) error {
	cn := ex.cn
	cn.mu.Lock()
	if ex.turn {
		cn.mu.Unlock()
		return nil
	}
	if ex.turned == nil {
		ex.turned = make(chan struct{})
	}
	cn.step(Event{Kind: Ready, ID: ex.id, Bytes: size + len(ex.body)}, nil)
	cn.mu.Unlock()
	select {
	case <-ex.turned:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// SetReadDeadline sets when the reading of the request's body ends, for
// http.ResponseController. It may be called at any time and by any goroutine.
func (ex *exchange) SetReadDeadline(at time.Time) error { return ex.cn.endBody(ex, at) }

// Header implements http.ResponseWriter.
func (ex *exchange) Header() http.Header {
	if ex.header == nil {
		ex.header = http.Header{}
	}
	return ex.header
}

// Write implements http.ResponseWriter. A part that is not kept until the turn of the
// answer comes waits for it.
func (ex *exchange) Write(part []byte) (int, error) {
	if ex.status == 0 {
		ex.WriteHeader(http.StatusOK)
	}
	switch {
	case ex.finished:
		return 0, errFinished
	case len(part) == 0:
		return 0, nil
	case !bodyAllowed(ex.status):
		return 0, http.ErrBodyNotAllowed
	case ex.length != unknownLength && ex.written+int64(len(part)) > ex.length:
		return 0, http.ErrContentLength
	}
	ex.sniff(part)
	ex.written += int64(len(part))
	if ex.request.Method == http.MethodHead {
		return len(part), nil
	}
	if !ex.begun && len(ex.body)+len(part) <= holdBytes {
		ex.body = append(ex.body, part...)
		return len(part), nil
	}
	if err := ex.AwaitTurn(ex.request.Context(), len(part)); err != nil {
		return 0, err
	}
	ex.begin()
	if err := ex.writePart(part); err != nil {
		ex.cn.fail()
		return 0, err
	}
	return len(part), nil
}

// Flush implements http.Flusher. It does nothing before the turn of the answer.
func (ex *exchange) Flush() {
	if ex.status == 0 {
		ex.WriteHeader(http.StatusOK)
	}
	ex.cn.mu.Lock()
	turn := ex.turn
	ex.cn.mu.Unlock()
	if !turn || ex.finished {
		return
	}
	ex.begin()
	if ex.cn.flush() != nil {
		ex.cn.fail()
	}
}

// flushTurn sends what has been written of an answer that breaks off.
func (ex *exchange) flushTurn() error {
	if !ex.begun {
		return nil
	}
	return ex.cn.flush()
}

// writeOut writes the answer, or what is left of it, after the handler has returned. It
// returns false if the connection must be closed because the answer is not whole.
func (ex *exchange) writeOut() bool {
	if ex.refusal != nil {
		_ = ex.cn.began(ex, true)
		_, _ = ex.cn.output().Write(ex.refusal)
		return true
	}
	ex.begin()
	if ex.chunked {
		_, _ = ex.cn.output().WriteString("0\r\n\r\n")
	}
	stated := ex.length != unknownLength && ex.request.Method != http.MethodHead && bodyAllowed(ex.status)
	return !stated || ex.written == ex.length
}
