package pipe

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// pastTime is a deadline that has always passed.
var pastTime = time.Unix(1, 0)

// finalReadTime is how long an idle connection that stops is read once more. A read whose
// deadline has passed returns nothing, even if bytes have come.
const finalReadTime = 10 * time.Millisecond

// phase is what the bytes that are read next belong to.
type phase int

const (
	// waiting means that no byte of the next request has been read.
	waiting phase = iota
	inHead
	inBody
)

// source reads the bytes of a connection, for one goroutine at a time. Its deadline is
// moved only when it has passed or is too late, which is cheaper than for each request.
type source struct {
	cn *conn
	// spare holds the bytes that watch has read.
	spare []byte
	// left is the number of bytes that may be read, if phase isn't inBody.
	left  int64
	phase phase
	// headFrom is when the reading of the current head began.
	headFrom time.Time
	// lastByte is when the latest bytes of the current body came.
	lastByte time.Time
	// armed is the deadline of the connection; zero means none.
	armed time.Time
	// finalRead is true while an idle connection that stops is read once more, and
	// finalReadFrom is when that read began.
	finalRead     bool
	finalReadFrom time.Time
	// err is the error that ended the connection.
	err error
}

// errBodyLate means that no byte of a body came within Server.IdleTimeout, or that the
// handler has ended the reading of the body.
var errBodyLate = errors.WithMessage(os.ErrDeadlineExceeded, "the body is late")

// next prepares for the next request.
func (sc *source) next() {
	sc.phase, sc.finalRead = waiting, false
	sc.cn.beginBody(nil)
	sc.left = int64(sc.cn.server.MaxHeaderBytes) + headSlop
}

// beginHead notes that the first bytes of a head have come. It makes sure that no
// deadline is later than the end of a wait for the next request that begins now.
func (sc *source) beginHead() {
	sc.phase = inHead
	sc.headFrom = time.Now()
	sc.limit(sc.headFrom.Add(sc.cn.server.IdleTimeout))
}

// beginBody notes that what follows belongs to a body.
func (sc *source) beginBody() {
	sc.phase = inBody
	sc.lastByte = time.Now()
}

// Read implements io.Reader. It returns io.EOF if a head is too long.
func (sc *source) Read(buffer []byte) (int, error) {
	if sc.phase != inBody {
		if sc.left <= 0 {
			return 0, io.EOF
		}
		buffer = buffer[:min(int64(len(buffer)), sc.left)]
	}
	count, err := sc.read(buffer)
	sc.left -= int64(count)
	return count, err
}

func (sc *source) read(buffer []byte) (int, error) {
	if len(sc.spare) > 0 {
		count := copy(buffer, sc.spare)
		sc.spare = sc.spare[count:]
		return count, nil
	}
	if sc.err != nil {
		return 0, sc.err
	}
	if sc.phase == inHead {
		sc.limit(sc.headFrom.Add(sc.cn.server.HeaderTimeout))
	}
	for {
		count, err := sc.readConn(buffer)
		switch {
		case err == nil || count > 0:
			return count, nil
		case isTimeout(err) && sc.rearm(time.Now()):
		case isTimeout(err) && sc.phase == inBody && !sc.cn.isDraining():
			// The caller is still there and gets an answer.
			if time.Since(sc.lastByte) >= sc.cn.server.IdleTimeout {
				sc.cn.server.count(sc.cn.server.OnLate)
			}
			return 0, errBodyLate
		default:
			sc.err = err
			return 0, err
		}
	}
}

// readConn reads from the connection and notes when.
func (sc *source) readConn(buffer []byte) (int, error) {
	if sc.finalRead {
		sc.finalReadFrom = time.Now()
	}
	count, err := sc.cn.netConn.Read(buffer)
	if sc.phase == inBody && count > 0 {
		sc.lastByte = time.Now()
	}
	return count, err
}

// limit moves the deadline of the connection forward to at, if it is later.
func (sc *source) limit(at time.Time) {
	if sc.armed.IsZero() || sc.armed.After(at) {
		sc.arm(at)
	}
}

func (sc *source) arm(at time.Time) {
	sc.armed = at
	sc.cn.mu.Lock()
	defer sc.cn.mu.Unlock()
	if !sc.cn.bodyEnd.IsZero() && sc.cn.bodyEnd.Before(at) {
		at = sc.cn.bodyEnd
	}
	if !sc.cn.draining {
		_ = sc.cn.netConn.SetReadDeadline(at)
	}
}

// rearm sets the next deadline after one has passed. It returns false if the caller took
// too long.
func (sc *source) rearm(now time.Time) bool {
	if sc.cn.isDraining() {
		return false
	}
	var end time.Time
	switch sc.phase {
	case waiting:
		if sc.cn.stopsWhenIdle() {
			return sc.rearmStopped(now)
		}
		end = sc.cn.idleEnd(now)
	case inHead:
		end = sc.headFrom.Add(sc.cn.server.HeaderTimeout)
	case inBody:
		end = sc.cn.bodyDeadline(sc.lastByte.Add(sc.cn.server.IdleTimeout))
	}
	if !end.After(now) {
		return false
	}
	sc.arm(end)
	if sc.phase == waiting && sc.cn.stopsWhenIdle() {
		sc.arm(pastTime)
	}
	return true
}

// rearmStopped is rearm for a connection that stops and waits for its next request. It
// closes the connection once a read has surely found nothing.
func (sc *source) rearmStopped(now time.Time) bool {
	again := !sc.finalRead || !sc.finalReadFrom.Before(sc.armed) || now.Before(sc.armed)
	switch {
	case again:
		sc.finalRead = true
		sc.arm(now.Add(finalReadTime))
	case sc.cn.closeIfIdle():
		return false
	default:
		sc.finalRead = false
		sc.arm(now.Add(sc.cn.server.IdleTimeout))
		if sc.cn.stopsWhenIdle() && !sc.cn.answersDue() {
			sc.arm(pastTime)
		}
	}
	return true
}

// watch reads into spare until the caller closes the connection, or wake is called.
func (sc *source) watch() {
	for sc.err == nil && sc.cn.startWatch() {
		if len(sc.spare) >= maxSpare {
			<-sc.cn.woken
			continue
		}
		var buffer [1 << 10]byte
		count, err := sc.cn.netConn.Read(buffer[:])
		sc.spare = append(sc.spare, buffer[:count]...)
		if err != nil && !isTimeout(err) {
			sc.err = err
		}
	}
	sc.arm(time.Now().Add(sc.cn.server.IdleTimeout))
}

// drain discards what the caller still sends, until it closes the connection or the
// deadline passes.
func (sc *source) drain(until time.Time) {
	conn := sc.cn.netConn
	if guarded, ok := conn.(interface{ Unguarded() net.Conn }); ok {
		conn = guarded.Unguarded()
	}
	_ = conn.SetReadDeadline(until)
	var buffer [1 << 10]byte
	for sc.err == nil {
		_, sc.err = conn.Read(buffer[:])
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
