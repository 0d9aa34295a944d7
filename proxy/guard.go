package proxy

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxGuardedHead is the size in bytes of a request's head, of its trailers and of
	// a line between two chunks above which the guard refuses the request.
	maxGuardedHead = 2 << 20
	hexBase        = 16
)

// malformedHead is what the HTTP server reads in place of a refused request
// head. The server answers it with 400 and closes the connection.
var malformedHead = []byte("\x00\r\n\r\n")

// NewSmugglingGuard returns a listener that refuses requests with both
// Content-Length and Transfer-Encoding. Two hops may disagree on where such a
// request ends, which allows request smuggling. It also refuses requests of HTTP/1.1
// without Host. A handler cannot check this, because net/http removes these headers
// before it calls the handler.
func NewSmugglingGuard(listener net.Listener) net.Listener { return smugglingGuard{listener} }

type smugglingGuard struct{ net.Listener }

// Accept implements net.Listener. It returns the next connection as a guardConn.
func (gl smugglingGuard) Accept() (net.Conn, error) {
	conn, err := gl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardConn{Conn: conn}, nil
}

// guardConn is a connection whose incoming requests are checked for ambiguous
// framing.
type guardConn struct {
	net.Conn
	parser framingParser
	// pending holds the bytes that Read has yet to return after a refusal.
	pending []byte
	refused bool
}

// Read implements io.Reader. Once it finds a request that must be refused, it
// returns malformedHead and then only the end of the connection.
func (gc *guardConn) Read(buffer []byte) (int, error) {
	if gc.refused {
		if len(gc.pending) == 0 {
			return 0, gc.discard(buffer)
		}
		count := copy(buffer, gc.pending)
		gc.pending = gc.pending[count:]
		return count, nil
	}
	count, err := gc.Conn.Read(buffer)
	answerPlaintext(err)
	begin, ok := gc.parser.scan(buffer[:count])
	if ok {
		return count, err
	}
	gc.refused = true
	gc.pending = append(bytes.Clone(buffer[:begin]), malformedHead...)
	return gc.Read(buffer)
}

// discard reads until the connection ends or its deadline passes.
func (gc *guardConn) discard(buffer []byte) error {
	for {
		if _, err := gc.Conn.Read(buffer); err != nil {
			return err
		}
	}
}

// TLS returns the state of the connection after its handshake, or nil if it has no TLS.
func (gc *guardConn) TLS() *tls.ConnectionState {
	secured, ok := gc.Conn.(*tls.Conn)
	if !ok {
		return nil
	}
	state := secured.ConnectionState()
	return &state
}

// Unguarded returns the connection beneath the guard, to discard what comes: the guard
// would keep a line until its end.
func (gc *guardConn) Unguarded() net.Conn { return gc.Conn }

// CloseWrite tells the peer that nothing more is sent.
func (gc *guardConn) CloseWrite() error {
	half, ok := gc.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// answerPlaintext answers a caller that sent plaintext HTTP to a TLS listener.
// net/http does so itself, but only for a *tls.Conn, and guardConn wraps that.
func answerPlaintext(err error) {
	if err == nil {
		return
	}
	var header tls.RecordHeaderError
	if errors.As(err, &header) && header.Conn != nil {
		_, _ = io.WriteString(header.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
	}
}

// stage is the part of a request that the next byte belongs to.
type stage int

const (
	inHead stage = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	// passThrough means that the guard checks nothing more on the connection,
	// because the HTTP server refuses the current request itself.
	passThrough
)

// framingParser tracks where each request in a stream of bytes begins and ends.
type framingParser struct {
	stage stage
	// remaining is the number of bytes of the current body or chunk that have
	// not been read yet.
	remaining int64
	// line is the part of the current line that has been read so far.
	line []byte
	// lines is the number of non-empty lines read so far in the current head.
	// size is the number of bytes read so far in the lines of the current head.
	// After the head, size counts the bytes of the current line between two chunks
	// of the body, and of all trailers.
	lines, size int
	// length is the value of Content-Length.
	length    int64
	hasLength bool
	// chunked is true if the head has a Transfer-Encoding header.
	chunked bool
	// needsHost is true if the request must have a Host header, which hasHost says.
	needsHost, hasHost bool
}

// scan processes the next bytes of the stream. It returns false when it reaches
// the end of a head with both Content-Length and Transfer-Encoding, or of more than
// maxGuardedHead bytes, together with the offset in data at which that head begins, or
// 0 if it began in earlier data.
func (fp *framingParser) scan(data []byte) (int, bool) {
	begin := 0
	for at := 0; at < len(data); {
		switch fp.stage {
		case passThrough:
			return 0, true
		case inBody, inChunk:
			step := min(fp.remaining, int64(len(data)-at))
			fp.remaining -= step
			at += int(step)
			if fp.remaining == 0 {
				fp.endSection()
				begin = at
			}
			continue
		default:
		}
		end := bytes.IndexByte(data[at:], '\n')
		if end < 0 {
			return begin, fp.appendToLine(data[at:])
		}
		if !fp.appendToLine(data[at : at+end]) {
			return begin, false
		}
		at += end + 1
		line := string(bytes.TrimSuffix(fp.line, []byte("\r")))
		fp.line = fp.line[:0]
		head := fp.stage == inHead
		if !fp.consumeLine(line) {
			return begin, false
		}
		if fp.stage == inHead && !head {
			begin = at
		}
	}
	return 0, true
}

// appendToLine adds a part to the current line. It returns false once size is above
// maxGuardedHead.
func (fp *framingParser) appendToLine(part []byte) bool {
	fp.size += len(part)
	if fp.size > maxGuardedHead {
		return false
	}
	fp.line = append(fp.line, part...)
	return true
}

// endSection moves to the next stage at the end of a body or a chunk.
func (fp *framingParser) endSection() {
	if fp.stage == inChunk {
		fp.stage = inChunkEnd
		return
	}
	*fp = framingParser{line: fp.line[:0]}
}

// consumeLine processes one complete line. It returns false if the line ends a
// head that must be refused.
func (fp *framingParser) consumeLine(line string) bool {
	switch fp.stage {
	case inHead:
		return fp.consumeHeadLine(line)
	case inChunkSize:
		fp.size = 0
		text, _, _ := strings.Cut(line, ";")
		size, err := strconv.ParseInt(strings.TrimSpace(text), hexBase, 64)
		switch {
		case err != nil || size < 0:
			fp.stage = passThrough
		case size == 0:
			fp.stage = inTrailer
		default:
			fp.stage, fp.remaining = inChunk, size
		}
	case inChunkEnd:
		fp.stage, fp.size = inChunkSize, 0
	case inTrailer:
		if line == "" {
			*fp = framingParser{line: fp.line}
		}
	default:
	}
	return true
}

// consumeHeadLine processes one line of a head and returns false if the line ends
// a head that must be refused.
func (fp *framingParser) consumeHeadLine(line string) bool {
	if line == "" && fp.lines == 0 {
		return true
	}
	if line != "" {
		fp.lines++
		if fp.lines == 1 {
			fp.needsHost = strings.Contains(line, " HTTP/1.") && !strings.HasSuffix(line, ".0") && !strings.HasPrefix(line, "CONNECT ")
		}
		fp.consumeHeader(line)
		return true
	}
	switch {
	case fp.chunked && fp.hasLength, fp.needsHost && !fp.hasHost:
		return false
	case fp.chunked:
		fp.stage = inChunkSize
	case fp.length > 0:
		fp.stage, fp.remaining = inBody, fp.length
	default:
		*fp = framingParser{line: fp.line}
	}
	fp.size = 0
	return true
}

func (fp *framingParser) consumeHeader(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch {
	case strings.EqualFold(strings.TrimSpace(name), "Content-Length"):
		length, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		fp.hasLength = true
		if err != nil || length < 0 {
			fp.stage = passThrough
		}
		fp.length = length
	case strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding"):
		fp.chunked = true
	case strings.EqualFold(strings.TrimSpace(name), "Host"):
		fp.hasHost = true
	}
}
