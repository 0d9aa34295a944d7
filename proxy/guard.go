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
	// maxGuardedHead is the size in bytes of a head above which the HTTP server
	// refuses the request itself.
	maxGuardedHead = 2 << 20
	hexBase        = 16
)

// malformed is what the HTTP server reads in place of a refused head. It
// answers 400 and closes the connection.
var malformed = []byte("\x00\r\n\r\n")

// GuardListener refuses requests with both a length and chunks, whose end the
// next hop may see elsewhere. The HTTP library drops the length before a
// handler could tell.
func GuardListener(listener net.Listener) net.Listener { return guardListener{listener} }

type guardListener struct{ net.Listener }

// Accept returns the next connection, guarded.
func (gl guardListener) Accept() (net.Conn, error) {
	conn, err := gl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardConn{Conn: conn}, nil
}

// guardConn follows the requests on a connection.
type guardConn struct {
	net.Conn
	frame   framing
	pending []byte
	refused bool
}

// Read reads up to the head of a refused request.
func (gc *guardConn) Read(buffer []byte) (int, error) {
	if gc.refused {
		if len(gc.pending) == 0 {
			return 0, io.EOF
		}
		count := copy(buffer, gc.pending)
		gc.pending = gc.pending[count:]
		return count, nil
	}
	count, err := gc.Conn.Read(buffer)
	answerPlain(err)
	begin, ok := gc.frame.feed(buffer[:count])
	if ok {
		return count, err
	}
	gc.refused = true
	gc.pending = append(bytes.Clone(buffer[:begin]), malformed...)
	return gc.Read(buffer)
}

// answerPlain answers a caller that speaks plain text to a TLS listener, as the
// HTTP library does for connections that it knows to be of TLS.
func answerPlain(err error) {
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
	// unframed is after a head that the HTTP server refuses.
	unframed
)

// framing follows the ends of requests in a stream of bytes.
type framing struct {
	stage stage
	// left is the number of bytes left of a body or a chunk.
	left int64
	line []byte
	// lines is the number of lines of the head so far, and size its bytes.
	lines, size int
	length      int64
	hasLength   bool
	chunked     bool
}

// feed follows some bytes. It reports false when a head with both a length and
// chunks is complete, and where the head begins, or 0 if that was before.
func (fr *framing) feed(data []byte) (int, bool) {
	begin := 0
	for at := 0; at < len(data); {
		switch fr.stage {
		case unframed:
			return 0, true
		case inBody, inChunk:
			step := min(fr.left, int64(len(data)-at))
			fr.left -= step
			at += int(step)
			if fr.left == 0 {
				fr.ended()
				begin = at
			}
			continue
		default:
		}
		end := bytes.IndexByte(data[at:], '\n')
		if end < 0 {
			fr.grow(data[at:])
			return 0, true
		}
		fr.grow(data[at : at+end])
		at += end + 1
		line := string(bytes.TrimSuffix(fr.line, []byte("\r")))
		fr.line = fr.line[:0]
		head := fr.stage == inHead
		if !fr.take(line) {
			return begin, false
		}
		if fr.stage == inHead && !head {
			begin = at
		}
	}
	return 0, true
}

func (fr *framing) grow(part []byte) {
	fr.size += len(part)
	if fr.size > maxGuardedHead {
		fr.stage = unframed
		fr.line = nil
		return
	}
	fr.line = append(fr.line, part...)
}

// ended moves on from a body or a chunk.
func (fr *framing) ended() {
	if fr.stage == inChunk {
		fr.stage = inChunkEnd
		return
	}
	*fr = framing{line: fr.line[:0]}
}

// take follows one line and reports false for a refused head.
func (fr *framing) take(line string) bool {
	switch fr.stage {
	case inHead:
		return fr.takeHead(line)
	case inChunkSize:
		text, _, _ := strings.Cut(line, ";")
		size, err := strconv.ParseInt(strings.TrimSpace(text), hexBase, 64)
		switch {
		case err != nil || size < 0:
			fr.stage = unframed
		case size == 0:
			fr.stage = inTrailer
		default:
			fr.stage, fr.left = inChunk, size
		}
	case inChunkEnd:
		fr.stage = inChunkSize
	case inTrailer:
		if line == "" {
			*fr = framing{line: fr.line}
		}
	default:
	}
	return true
}

func (fr *framing) takeHead(line string) bool {
	if line == "" && fr.lines == 0 {
		return true
	}
	if line != "" {
		fr.lines++
		fr.header(line)
		return true
	}
	switch {
	case fr.chunked && fr.hasLength:
		return false
	case fr.chunked:
		fr.stage = inChunkSize
	case fr.length > 0:
		fr.stage, fr.left = inBody, fr.length
	default:
		*fr = framing{line: fr.line}
	}
	fr.size = 0
	return true
}

func (fr *framing) header(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch {
	case strings.EqualFold(strings.TrimSpace(name), "Content-Length"):
		length, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		fr.hasLength = true
		if err != nil || length < 0 {
			fr.stage = unframed
		}
		fr.length = length
	case strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding"):
		fr.chunked = true
	}
}
