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
	// idleLimit is how long a connection to the upstream is kept if the
	// upstream does not say how long it keeps it.
	idleLimit = 4 * time.Second
	// idleMargin is how much sooner than the upstream says a connection is
	// dropped, so that the two ends do not cross.
	idleMargin = time.Second
	// onceIdle is how long a connection may have been idle to carry work that
	// must not run twice. The upstream may have dropped an older one.
	onceIdle       = 200 * time.Millisecond
	upstreamBuffer = 4 << 10
)

// upstream is a process of the local upstream and the idle connections to it,
// the one used last at the end.
type upstream struct {
	process types.ProcessID
	address types.Address
	mu      sync.Mutex
	idle    []*upstreamConn
	retired bool
}

// upstreamConn is a connection that carries one exchange at a time.
type upstreamConn struct {
	net.Conn
	reader  *bufio.Reader
	since   time.Time
	expires time.Time
	reused  bool
}

// take returns an idle connection that the upstream has not closed, or a new
// one. Work that must not run twice gets one that was in use just before.
func (up *upstream) take(ctx context.Context, once bool, now time.Time) (*upstreamConn, error) {
	for {
		conn, ok := up.pop()
		if !ok {
			break
		}
		if now.Before(conn.expires) && (!once || now.Sub(conn.since) <= onceIdle) && conn.quiet() {
			conn.reused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	dialed, err := dialUpstream(ctx, up.address)
	if err != nil {
		return nil, err
	}
	return &upstreamConn{Conn: dialed, reader: bufio.NewReaderSize(dialed, upstreamBuffer)}, nil
}

func dialUpstream(ctx context.Context, address types.Address) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", string(address))
}

func (up *upstream) pop() (*upstreamConn, bool) {
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

// put keeps a connection for a time if no byte is left on it.
func (up *upstream) put(conn *upstreamConn, keep time.Duration, now time.Time) {
	conn.since, conn.expires = now, now.Add(keep)
	if conn.reader.Buffered() > 0 || keep <= 0 || !up.push(conn) {
		_ = conn.Close()
	}
	up.expire(now)
}

func (up *upstream) push(conn *upstreamConn) bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.retired {
		return false
	}
	up.idle = append(up.idle, conn)
	return true
}

// expire closes the connections that have been idle for too long.
func (up *upstream) expire(now time.Time) {
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

// retire closes the idle connections; those in use are closed after it.
func (up *upstream) retire() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.retired = true
	for _, conn := range up.idle {
		_ = conn.Close()
	}
	up.idle = nil
}

// drop closes the idle connections after one of them turned out broken.
func (up *upstream) drop() {
	up.mu.Lock()
	defer up.mu.Unlock()
	for _, conn := range up.idle {
		_ = conn.Close()
	}
	up.idle = nil
}

// quiet reports whether the other end neither closed the connection nor sent
// bytes on it.
func (uc *upstreamConn) quiet() bool {
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

// countedWriter counts the bytes that were handed to the connection.
type countedWriter struct {
	io.Writer
	written int
}

// Write writes and counts.
func (cw *countedWriter) Write(data []byte) (int, error) {
	count, err := cw.Writer.Write(data)
	cw.written += count
	return count, err
}
