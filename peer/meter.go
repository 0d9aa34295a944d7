package peer

import (
	"context"
	"io"
	"net"
	"net/http"
)

const (
	// headerOverhead is the separator and line end of a header line in bytes.
	headerOverhead = 4
	// requestOverhead is the rest of the request line and of the host in bytes.
	requestOverhead = 22
	// statusOverhead is the status line, the date and the length of an answer in
	// bytes.
	statusOverhead = 76
)

// Meter takes the bytes of control messages that came in and went out.
type Meter func(in, out int)

// meteredConn counts the bytes of a client's connection.
type meteredConn struct {
	net.Conn
	meter Meter
}

// Read reads and counts.
func (mc meteredConn) Read(buffer []byte) (int, error) {
	count, err := mc.Conn.Read(buffer)
	mc.meter(count, 0)
	return count, err
}

// Write writes and counts.
func (mc meteredConn) Write(buffer []byte) (int, error) {
	count, err := mc.Conn.Write(buffer)
	mc.meter(0, count)
	return count, err
}

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// dialer counts the bytes of the connections that dial opens.
func (m Meter) dialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return meteredConn{Conn: conn, meter: m}, nil
	}
}

// handler counts the bytes of the requests that a handler serves and of its
// answers.
func (m Meter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		m(len(request.Method)+len(request.RequestURI)+len(request.Host)+requestOverhead+headerBytes(request.Header), 0)
		request.Body = meteredBody{ReadCloser: request.Body, meter: m}
		answer := &meteredWriter{ResponseWriter: writer, meter: m}
		next.ServeHTTP(answer, request)
		m(0, statusOverhead+headerBytes(writer.Header()))
	})
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + headerOverhead
		}
	}
	return total
}

type meteredBody struct {
	io.ReadCloser
	meter Meter
}

// Read reads and counts.
func (mb meteredBody) Read(buffer []byte) (int, error) {
	count, err := mb.ReadCloser.Read(buffer)
	mb.meter(count, 0)
	return count, err
}

type meteredWriter struct {
	http.ResponseWriter
	meter Meter
}

// Write writes and counts.
func (mw *meteredWriter) Write(buffer []byte) (int, error) {
	count, err := mw.ResponseWriter.Write(buffer)
	mw.meter(0, count)
	return count, err
}

// Unwrap returns the writer below.
func (mw *meteredWriter) Unwrap() http.ResponseWriter { return mw.ResponseWriter }
