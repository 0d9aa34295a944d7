package pipe

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// body is the body of a request. The reader of the connection goes on once it has ended.
type body struct {
	inner io.Reader
	ex    *exchange
	// done is closed once the body has ended, or its rest is left unread.
	done chan struct{}

	// length is the number of bytes of the body, or -1 if it is not known.
	length int64

	mu sync.Mutex
	// count is the number of bytes that were read.
	count int64
	// expects is true if the caller waits for a 100 before it sends the body.
	expects bool
	// ended is true once done is closed. whole is true if the body was read to its end.
	ended, whole, closed bool
}

// Read implements io.Reader.
func (bd *body) Read(buffer []byte) (int, error) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if bd.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if bd.ended {
		return 0, bd.endError()
	}
	if bd.expects {
		bd.expects = false
		bd.ex.writeContinue()
	}
	count, err := bd.inner.Read(buffer)
	bd.count += int64(count)
	if err != nil {
		bd.end(errors.Is(err, io.EOF))
	}
	return count, err
}

// Close implements io.Closer. It reads nothing: what is left is discarded later.
func (bd *body) Close() error {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.closed = true
	return nil
}

func (bd *body) endError() error {
	if bd.whole {
		return io.EOF
	}
	return io.ErrUnexpectedEOF
}

// end lets the reader of the connection go on. The caller must hold mu.
func (bd *body) end(whole bool) {
	if bd.ended {
		return
	}
	bd.ended, bd.whole = true, whole
	if !whole {
		bd.ex.cn.bodyLeft()
	}
	close(bd.done)
}

// leave leaves the rest of the body unread.
func (bd *body) leave() {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.closed = true
	bd.end(false)
}

// settle discards what the handler has left, if that is not known to be more than
// maxDiscard bytes. It reports whether the body has been read to its end, so that the
// connection can be kept. The answer waits for this.
func (bd *body) settle() bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.closed = true
	if !bd.ended && !bd.expects && bd.length-bd.count <= maxDiscard {
		count, err := io.CopyN(io.Discard, bd.inner, maxDiscard+1)
		bd.end(count <= maxDiscard && errors.Is(err, io.EOF))
	}
	bd.end(false)
	return bd.whole
}

// bodyLeft notes that the rest of a request's body is not read, so that the connection
// can't be kept. If the connection has ended, the caller is gone.
func (cn *conn) bodyLeft() {
	cn.mu.Lock()
	cn.linger = true
	cn.mu.Unlock()
	if cn.source.err != nil {
		cn.take(Event{Kind: Gone})
	}
}

// beginBody notes that the body of a request is read next, or that none is if ex is nil.
func (cn *conn) beginBody(ex *exchange) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.reading, cn.bodyEnd = ex, time.Time{}
}

// endBody sets when the reading of a request's body ends.
func (cn *conn) endBody(ex *exchange, at time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.reading != ex || cn.draining {
		return nil
	}
	cn.bodyEnd = at
	return errors.WithStack(cn.netConn.SetReadDeadline(at))
}

// bodyDeadline returns when the reading of the current body ends, at the latest at the
// given time.
func (cn *conn) bodyDeadline(latest time.Time) time.Time {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.bodyEnd.IsZero() && cn.bodyEnd.Before(latest) {
		return cn.bodyEnd
	}
	return latest
}
