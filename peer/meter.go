package peer

import (
	"context"
	"io"
	"net"
	"net/http"
)

const (
	// headerOverhead is the size in bytes of the separator ": " and the line end
	// of a header line.
	headerOverhead = 4
	// requestOverhead is the size in bytes of the fixed parts of a request: the
	// request line excluding the method and the URI, the Host line excluding the
	// host, and the empty line.
	requestOverhead = 22
	// statusOverhead is the size in bytes of the status line, the Date line, the
	// Content-Length line and the empty line of an answer.
	statusOverhead = 76
)

// Meter is a function that receives the number of bytes of control messages read
// (in) and written (out) since its last call.
type Meter func(in, out int)

// meteredConn is a client's connection that counts its bytes.
type meteredConn struct {
	net.Conn
	meter Meter
}

// Read implements net.Conn and counts the bytes.
func (mc meteredConn) Read(buffer []byte) (int, error) {
	count, err := mc.Conn.Read(buffer)
	mc.meter(count, 0)
	return count, err
}

// Write implements net.Conn and counts the bytes.
func (mc meteredConn) Write(buffer []byte) (int, error) {
	count, err := mc.Conn.Write(buffer)
	mc.meter(0, count)
	return count, err
}

// Dialer is a function that opens a connection to a peer.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// dialer returns a Dialer that counts the bytes of the connections that dial opens.
func (m Meter) dialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return meteredConn{Conn: conn, meter: m}, nil
	}
}

// handler returns a handler that counts the bytes of the requests and answers that
// next handles. An HTTP handler does not see the raw bytes of the headers, so their
// sizes are computed.
func (m Meter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		m(len(request.Method)+len(request.RequestURI)+len(request.Host)+requestOverhead+headerBytes(request.Header), 0)
		request.Body = meteredBody{ReadCloser: request.Body, meter: m}
		answer := &meteredWriter{ResponseWriter: writer, meter: m}
		next.ServeHTTP(answer, request)
		m(0, statusOverhead+headerBytes(writer.Header()))
	})
}

// headerBytes returns the size in bytes of the header lines in HTTP/1.1.
func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + headerOverhead
		}
	}
	return total
}

// meteredBody is a request body that counts the bytes read.
type meteredBody struct {
	io.ReadCloser
	meter Meter
}

// Read implements io.Reader and counts the bytes.
func (mb meteredBody) Read(buffer []byte) (int, error) {
	count, err := mb.ReadCloser.Read(buffer)
	mb.meter(count, 0)
	return count, err
}

// meteredWriter is a response writer that counts the bytes of the body.
type meteredWriter struct {
	http.ResponseWriter
	meter Meter
}

// Write implements http.ResponseWriter and counts the bytes.
func (mw *meteredWriter) Write(buffer []byte) (int, error) {
	count, err := mw.ResponseWriter.Write(buffer)
	mw.meter(0, count)
	return count, err
}

// Unwrap returns the wrapped writer. http.ResponseController calls it.
func (mw *meteredWriter) Unwrap() http.ResponseWriter { return mw.ResponseWriter }
