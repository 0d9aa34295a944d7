package pipe

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/heads"
)

// refusal is an answer that is given without a handler, and after which the connection
// is closed.
type refusal struct {
	status int
	reason string
}

func (rf refusal) bytes() []byte {
	text := fmt.Sprintf("%d %s", rf.status, http.StatusText(rf.status))
	line := text
	if rf.reason != "" {
		line += ": " + rf.reason
	}
	return []byte("HTTP/1.1 " + text + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + line)
}

// readRequest reads the head of the next request. It returns an error if the connection
// has ended, and an exchange with a refusal if the head is refused.
func (cn *conn) readRequest() (*exchange, error) {
	cn.source.next()
	if err := cn.awaitHead(); err != nil {
		return nil, err
	}
	cn.source.beginHead()
	cn.begin()
	request, err := http.ReadRequest(cn.reader)
	if err != nil {
		refused, ok := cn.refusalOf(err)
		if !ok {
			return nil, err
		}
		return cn.refuse(refused), nil
	}
	cn.lastMethod = request.Method
	if refused, ok := checkRequest(request); !ok {
		return cn.refuse(refused), nil
	}
	cn.source.beginBody()
	return cn.prepare(request), nil
}

// begin notes that the connection has carried a request.
func (cn *conn) begin() {
	if cn.nextID > 0 {
		return
	}
	cn.mu.Lock()
	cn.started = true
	cn.mu.Unlock()
	cn.tls = tlsState(cn.netConn)
}

// awaitHead waits for the first byte of a head. It discards the line ends that some clients
// send after the body of a POST.
func (cn *conn) awaitHead() error {
	const mostLineEnds = 4
	for skipped := 0; ; skipped++ {
		first, err := cn.reader.Peek(1)
		if err != nil {
			return err
		}
		if cn.lastMethod != http.MethodPost || skipped == mostLineEnds || first[0] != '\r' && first[0] != '\n' {
			return nil
		}
		_, _ = cn.reader.Discard(1)
	}
}

// refusalOf returns the answer to a head that could not be read, or false if there is
// nobody to answer.
func (cn *conn) refusalOf(err error) (refusal, bool) {
	switch {
	case cn.source.left <= 0:
		return refusal{status: http.StatusRequestHeaderFieldsTooLarge}, true
	case strings.HasPrefix(err.Error(), "unsupported transfer encoding"), strings.HasPrefix(err.Error(), "too many transfer encodings"):
		return refusal{status: http.StatusNotImplemented, reason: "unsupported transfer encoding"}, true
	case errors.Is(err, io.EOF), isTimeout(err), cn.source.err != nil && !errors.Is(cn.source.err, io.EOF):
		return refusal{}, false
	default:
		return refusal{status: http.StatusBadRequest}, true
	}
}

// checkRequest checks what http.ReadRequest doesn't. It returns false with the answer if
// the request is refused.
func checkRequest(request *http.Request) (refusal, bool) {
	expect := request.Header.Get("Expect")
	switch {
	case request.ProtoMajor != 1:
		return refusal{status: http.StatusHTTPVersionNotSupported, reason: "unsupported protocol version"}, false
	case !validHost(request.Host):
		return refusal{status: http.StatusBadRequest, reason: "malformed Host header"}, false
	case !validHeader(request.Header):
		return refusal{status: http.StatusBadRequest, reason: "invalid header"}, false
	case expect != "" && !strings.EqualFold(expect, "100-continue"):
		return refusal{status: http.StatusExpectationFailed}, false
	}
	return refusal{}, true
}

// validHost reports whether a text has only the characters of a host and port.
func validHost(host string) bool {
	for i := range len(host) {
		if !hostChars[host[i]] {
			return false
		}
	}
	return true
}

// validHeader reports whether the names are tokens and the values have no control
// characters.
func validHeader(header http.Header) bool {
	for name, values := range header {
		if !heads.IsToken(name) {
			return false
		}
		for _, value := range values {
			if strings.IndexFunc(value, isControl) >= 0 {
				return false
			}
		}
	}
	return true
}

func isControl(char rune) bool { return char < ' ' && char != '\t' || char == 0x7f }

// hostChars has the characters of a host and port.
var hostChars = heads.Chars("!$%&'()*+,-.:;=[]_~")

// refuse returns an exchange whose answer is ready. What lies behind it is not read.
func (cn *conn) refuse(refused refusal) *exchange {
	ex := cn.newExchange(nil)
	ex.refusal, ex.last = refused.bytes(), true
	cn.mu.Lock()
	cn.linger = true
	cn.mu.Unlock()
	return ex
}

// prepare returns the exchange for a request whose head has been read.
func (cn *conn) prepare(request *http.Request) *exchange {
	ctx, cancel := context.WithCancel(cn.ctx)
	request = request.WithContext(ctx)
	request.RemoteAddr, request.TLS = cn.remote, cn.tls
	ex := cn.newExchange(request)
	ex.cancel = cancel
	ex.last = request.Close
	ex.keepOld = !request.ProtoAtLeast(1, 1) && !request.Close
	expects := request.Header.Get("Expect") != "" && request.ProtoAtLeast(1, 1)
	if request.Body != http.NoBody {
		ex.content = &body{inner: request.Body, ex: ex, expects: expects, length: request.ContentLength, done: make(chan struct{})}
		request.Body = ex.content
		cn.beginBody(ex)
	}
	ex.ahead = !expects && request.ProtoAtLeast(1, 1) && cn.server.ahead(request)
	return ex
}
