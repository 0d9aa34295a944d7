package pipe

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// conn is one connection of a caller. One goroutine reads its requests, and each request
// runs in a goroutine of its own. An answer is written by the goroutine of its request, or
// by that of the answer before it.
type conn struct {
	server  *Server
	netConn net.Conn
	ctx     context.Context
	cancel  context.CancelFunc
	remote  string
	source  source
	reader  *bufio.Reader
	// writer is used only by the goroutine whose answer has its turn.
	writer *bufio.Writer
	tls    *tls.ConnectionState
	// lastMethod is the method of the request that was read last.
	lastMethod string
	nextID     int
	// woken gets a value when a reader that waits for room is to go on.
	woken chan struct{}
	// refs counts the reader and the running handlers.
	refs atomic.Int32

	mu    sync.Mutex
	line  *Line
	queue []*exchange
	// admitted, dropped and readOn tell the reader what became of the request that it has
	// read last, and whether it may read the next one.
	admitted, dropped, readOn bool
	watching                  bool
	// ended is true once the last answer is written. draining is true if the caller's
	// further bytes are then discarded, because linger says that there may be some.
	ended, draining, linger bool
	readerDone              bool
	// started is true once the first byte of a request has come.
	started bool
	// reading is the request that was read last, if it has a body. bodyEnd is when the
	// reading of that body ends; zero means none.
	reading   *exchange
	bodyEnd   time.Time
	idleSince time.Time
}

func newConn(server *Server, netConn net.Conn, bounds Bounds) *conn {
	now := time.Now()
	cn := &conn{server: server, netConn: netConn, line: NewLine(bounds), woken: make(chan struct{}, 1), idleSince: now}
	cn.ctx, cn.cancel = contextOf(netConn)
	cn.source.cn = cn
	cn.reader = bufio.NewReader(&cn.source)
	cn.refs.Store(1)
	if address := netConn.RemoteAddr(); address != nil {
		cn.remote = address.String()
	}
	return cn
}

// serve reads requests until the connection ends.
func (cn *conn) serve() {
	defer cn.release()
	cn.source.arm(cn.idleSince.Add(cn.server.HeaderTimeout))
	cn.readAll()
	cn.mu.Lock()
	cn.readerDone = true
	draining := cn.draining
	cn.mu.Unlock()
	cn.take(Event{Kind: Gone})
	if draining {
		cn.source.drain(time.Now().Add(lingerTime))
		_ = cn.netConn.Close()
	}
}

// release ends a reference to the connection.
func (cn *conn) release() {
	if cn.refs.Add(-1) > 0 {
		return
	}
	_ = cn.netConn.Close()
	cn.cancel()
	cn.server.remove(cn)
}

// readAll reads requests and starts them as they may run, until the connection ends or
// nothing more may be read.
func (cn *conn) readAll() {
	for {
		ex, err := cn.readRequest()
		if err != nil {
			return
		}
		if !cn.arrive(ex) {
			break
		}
		ex.start()
		if !ex.awaitBody() || !cn.mayRead() {
			break
		}
	}
	cn.mu.Lock()
	cn.admitted, cn.dropped = false, false
	cn.mu.Unlock()
	cn.source.watch()
}

// arrive waits until the request may run. It returns false if it never may.
func (cn *conn) arrive(ex *exchange) bool {
	cn.mu.Lock()
	cn.admitted, cn.dropped, cn.readOn = false, false, false
	if cn.server.isStopping() {
		cn.step(Event{Kind: Stopping}, nil)
	}
	cn.linger = cn.linger || cn.line.Len() > 0
	cn.step(Event{Kind: Arrived, ID: ex.id, Ahead: ex.ahead, Last: ex.last, Refused: ex.refusal != nil}, ex)
	waits := !cn.admitted && !cn.dropped
	cn.mu.Unlock()
	if waits {
		cn.server.count(cn.server.OnHold)
		cn.source.watch()
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.admitted
}

func (cn *conn) mayRead() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.readOn && !cn.ended
}

func (cn *conn) isDraining() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.draining
}

// startWatch makes the reader wait for the caller's close, unless it is to go on.
func (cn *conn) startWatch() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.watching = !cn.admitted && !cn.dropped && !cn.ended
	if cn.watching {
		_ = cn.netConn.SetReadDeadline(time.Time{})
	}
	return cn.watching
}

// wake makes a reader that watches go on. The caller must hold mu.
func (cn *conn) wake() {
	if !cn.watching {
		return
	}
	_ = cn.netConn.SetReadDeadline(pastTime)
	select {
	case cn.woken <- struct{}{}:
	default:
	}
}

// outcome is what the goroutine that has reported an event is to do.
type outcome struct {
	// next is an answer that has been produced and whose turn has come.
	next            *exchange
	announce, close bool
}

// step passes an event to the line and carries out the actions. arrived is the request
// of an Arrived event. The caller must hold mu.
func (cn *conn) step(event Event, arrived *exchange) outcome {
	var result outcome
	if arrived != nil {
		cn.queue = append(cn.queue, arrived)
	}
	for _, action := range cn.line.Step(event) {
		ex := cn.find(action.ID)
		switch action.Kind {
		case Run:
			cn.admitted = true
			if cn.line.Len() > 1 && ex.refusal == nil {
				cn.server.count(cn.server.OnAhead)
			}
			cn.wake()
		case Drop:
			cn.dropped = true
			cn.forget(ex)
			cn.wake()
		case Read:
			cn.readOn = true
		case Turn:
			if ex.takeTurn() {
				result.next = ex
			}
		case Cancel:
			ex.cancel()
		case Announce:
			result.announce = true
		case Close:
			result.close = true
		case Hold:
		}
	}
	return result
}

// find returns the request with the ID among those that are held or not answered.
func (cn *conn) find(id int) *exchange {
	for _, ex := range cn.queue {
		if ex.id == id {
			return ex
		}
	}
	return nil
}

// forget removes a request from the queue.
func (cn *conn) forget(ex *exchange) {
	if at := slices.Index(cn.queue, ex); at >= 0 {
		cn.queue = slices.Delete(cn.queue, at, at+1)
	}
}

// take processes an event that no answer waits for.
func (cn *conn) take(event Event) {
	cn.mu.Lock()
	result := cn.step(event, nil)
	cn.mu.Unlock()
	if result.close {
		cn.close()
	}
}

// stop makes the connection close after the requests read so far. Only the reader knows
// whether it has read the start of another one, so it closes an idle connection itself.
func (cn *conn) stop() {
	cn.take(Event{Kind: Stopping})
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.started && !cn.draining {
		_ = cn.netConn.SetReadDeadline(pastTime)
	}
}

// closeIfIdle closes the connection if no answer is due. It reports whether the connection
// has ended. Only the reader may call it, while it waits for the next request.
func (cn *conn) closeIfIdle() bool {
	cn.take(Event{Kind: Stopping, Last: true})
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.ended
}

// stopsWhenIdle reports whether the connection is to be closed once it is idle.
func (cn *conn) stopsWhenIdle() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.started && cn.server.stopping.Load()
}

// answersDue reports whether requests run or their answers are not written yet.
func (cn *conn) answersDue() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.line.Len() > 0
}

// close closes the connection. If the caller may have sent more, the reader discards it
// first.
func (cn *conn) close() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.draining {
		return
	}
	cn.ended = true
	cn.wake()
	if !cn.linger || cn.readerDone {
		_ = cn.netConn.Close()
		return
	}
	cn.draining = true
	if half, ok := cn.netConn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = cn.netConn.SetReadDeadline(pastTime)
}

// kill closes the connection at once.
func (cn *conn) kill() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.ended = true
	cn.wake()
	_ = cn.netConn.Close()
}

// idleEnd returns when the wait for the next request ends, if nothing happens until then.
func (cn *conn) idleEnd(now time.Time) time.Time {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	switch {
	case cn.line.Len() > 0:
		return now.Add(cn.server.IdleTimeout)
	case !cn.started:
		return cn.idleSince.Add(cn.server.HeaderTimeout)
	default:
		return cn.idleSince.Add(cn.server.IdleTimeout)
	}
}

// ready notes that an answer has been produced, and writes it if its turn has come.
func (cn *conn) ready(ex *exchange) {
	cn.mu.Lock()
	ex.done = true
	cn.step(Event{Kind: Ready, ID: ex.id, Bytes: len(ex.body)}, nil)
	turn := ex.turn
	cn.mu.Unlock()
	if turn {
		cn.write(ex)
	}
}

// write writes an answer and those behind it that have been produced.
func (cn *conn) write(ex *exchange) {
	for ex != nil {
		if !ex.writeOut() {
			_ = cn.flush()
			cn.abort(ex)
			return
		}
		ex = cn.written(ex)
	}
}

// written passes the turn on. It returns the next answer if that has been produced.
func (cn *conn) written(ex *exchange) *exchange {
	cn.mu.Lock()
	follows := len(cn.queue) > 1 && cn.queue[1].done
	cn.mu.Unlock()
	var err error
	if !follows {
		err = cn.flush()
	}
	cn.mu.Lock()
	result := cn.step(Event{Kind: Written, ID: ex.id}, nil)
	cn.forget(ex)
	cn.idleSince = time.Now()
	if cn.server.stopping.Load() && cn.line.Len() == 0 && !result.close && !cn.draining {
		_ = cn.netConn.SetReadDeadline(pastTime)
	}
	cn.mu.Unlock()
	ex.recycle()
	if err != nil {
		cn.fail()
		return result.next
	}
	if result.close {
		_ = cn.flush()
		cn.close()
		return nil
	}
	return result.next
}

// abort breaks off an answer.
func (cn *conn) abort(ex *exchange) { cn.take(Event{Kind: Broken, ID: ex.id}) }

// fail notes that nothing more can be written.
func (cn *conn) fail() {
	cn.take(Event{Kind: Gone})
	cn.kill()
}

// output returns the writer for the answer that has its turn.
func (cn *conn) output() *bufio.Writer {
	if cn.writer == nil {
		cn.writer = bufio.NewWriter(cn.netConn)
	}
	return cn.writer
}

func (cn *conn) flush() error {
	if cn.writer == nil {
		return nil
	}
	return errors.WithStack(cn.writer.Flush())
}

// newExchange returns the exchange for a request. request is nil if an answer is written
// without a handler.
func (cn *conn) newExchange(request *http.Request) *exchange {
	cn.nextID++
	return &exchange{cn: cn, id: cn.nextID, length: unknownLength, request: request, cancel: func() {}, buffers: bufferPool.Get().(*buffers)}
}

// began notes that the head of an answer is about to be written. It reports whether the
// head must say that the connection closes.
func (cn *conn) began(ex *exchange, closes bool) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	closes = closes || cn.server.isStopping()
	return cn.step(Event{Kind: Begun, ID: ex.id, Last: closes}, nil).announce
}
