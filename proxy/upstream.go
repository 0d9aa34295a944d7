package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// defaultIdleTimeout is how long an idle connection to the upstream is kept
	// if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's Keep-Alive timeout an idle
	// connection is closed, so that no request is sent while the upstream closes
	// it.
	idleMargin = time.Second
	// maxIdleNonIdempotent is how long a connection may have been idle and still
	// carry non-idempotent work. The upstream may have closed one that was idle
	// for longer, and such work must not be sent twice.
	maxIdleNonIdempotent = 200 * time.Millisecond
	upstreamBufferSize   = 4 << 10
	// endedRecheck is the time between the two connections by which an owner finds
	// out whether the upstream's process has ended.
	endedRecheck = 20 * time.Millisecond
)

// upstream is the process that serves as the local upstream, with the idle
// connections to it.
type upstream struct {
	process types.ProcessID
	address types.Address
	mu      sync.Mutex
	// idle holds the idle connections, most recently used last.
	idle []*upstreamConn
	// retired is true once another process or address has replaced this
	// upstream.
	retired bool
}

// upstreamConn is a connection to the upstream. It carries one exchange at a
// time.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// head is the source of reader.
	head *headReader
	// idleSince is when the last exchange on the connection ended.
	idleSince time.Time
	// expires is when the idle connection is due to be closed.
	expires time.Time
	// reused is true if the connection carried an exchange before the current
	// one.
	reused bool
}

// getConn returns an idle connection that the upstream has not closed, or a new
// one. Non-idempotent work gets an idle connection only if that connection has
// been idle for at most maxIdleNonIdempotent.
func (up *upstream) getConn(ctx context.Context, nonIdempotent bool, now time.Time) (*upstreamConn, error) {
	for {
		conn, ok := up.popIdle()
		if !ok {
			break
		}
		if now.Before(conn.expires) && (!nonIdempotent || now.Sub(conn.idleSince) <= maxIdleNonIdempotent) && conn.reusable() {
			conn.reused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	dialed, err := dialUpstream(ctx, up.address)
	if err != nil {
		return nil, err
	}
	head := &headReader{source: dialed}
	return &upstreamConn{Conn: dialed, reader: bufio.NewReaderSize(head, upstreamBufferSize), head: head}, nil
}

func dialUpstream(ctx context.Context, address types.Address) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", string(address))
}

// ended reports whether the upstream takes no connections. It is called after the
// upstream has closed a connection without an answer. A process that is ending may
// close its connections before it closes its listener, so ended asks twice.
func (up *upstream) ended(ctx context.Context) bool {
	for try := 0; ; try++ {
		conn, err := dialUpstream(ctx, up.address)
		if err != nil {
			return errors.Is(err, unix.ECONNREFUSED)
		}
		_ = conn.Close()
		if try > 0 {
			return false
		}
		select {
		case <-time.After(endedRecheck):
		case <-ctx.Done():
			return false
		}
	}
}

func (up *upstream) popIdle() (*upstreamConn, bool) {
	up.mu.Lock()
	defer up.mu.Unlock()
	last := len(up.idle) - 1
	if last < 0 {
		return nil, false
	}
	conn := up.idle[last]
	up.idle = up.idle[:last]
	return conn, true
}

// putConn stores a connection for reuse; the connection expires after the duration
// keep. putConn closes the connection instead if keep is not positive, unread bytes
// are left on the connection, or the upstream is retired. It also closes the idle
// connections that have expired.
func (up *upstream) putConn(conn *upstreamConn, keep time.Duration, now time.Time) {
	conn.idleSince, conn.expires = now, now.Add(keep)
	if conn.reader.Buffered() > 0 || keep <= 0 || !up.pushIdle(conn) {
		_ = conn.Close()
	}
	up.closeExpired(now)
}

func (up *upstream) pushIdle(conn *upstreamConn) bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.retired {
		return false
	}
	up.idle = append(up.idle, conn)
	return true
}

// closeExpired closes the idle connections that have expired.
func (up *upstream) closeExpired(now time.Time) {
	up.mu.Lock()
	defer up.mu.Unlock()
	kept := up.idle[:0]
	for _, conn := range up.idle {
		if now.Before(conn.expires) {
			kept = append(kept, conn)
		} else {
			_ = conn.Close()
		}
	}
	up.idle = kept
}

// retire closes the idle connections and makes putConn close those in use.
func (up *upstream) retire() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.retired = true
	for _, conn := range up.idle {
		_ = conn.Close()
	}
	up.idle = nil
}

// closeIdle closes the idle connections. It is called after an exchange on a
// reused connection failed.
func (up *upstream) closeIdle() {
	up.mu.Lock()
	defer up.mu.Unlock()
	for _, conn := range up.idle {
		_ = conn.Close()
	}
	up.idle = nil
}

// reusable reports whether the upstream has neither closed the idle connection
// nor sent bytes on it.
func (uc *upstreamConn) reusable() bool {
	tcp, ok := uc.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var first [1]byte
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}

// countingWriter counts the bytes written to the underlying writer.
type countingWriter struct {
	io.Writer
	written int
}

// Write implements io.Writer.
func (cw *countingWriter) Write(data []byte) (int, error) {
	count, err := cw.Writer.Write(data)
	cw.written += count
	return count, err
}
