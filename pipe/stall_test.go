package pipe_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/pipe"
)

const stallTimeout = 10 * time.Second

// serveBody serves one connection with a handler that answers 200 to a whole body and 408
// to one that has stalled. It returns the caller's end.
func serveBody() net.Conn {
	server := &pipe.Server{HeaderTimeout: stallTimeout, IdleTimeout: stallTimeout, MaxHeaderBytes: 4096}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, err := io.ReadAll(request.Body); errors.Is(err, os.ErrDeadlineExceeded) {
			writer.WriteHeader(http.StatusRequestTimeout)
		}
	})
	client, end := net.Pipe()
	server.Serve(end)
	return client
}

// TestStalledBodyEnds guards against a body that stops short and keeps its connection and
// what it has sent for ever.
func TestStalledBodyEnds(t *testing.T) {
	for name, sent := range map[string]string{
		"length":  "Content-Length: 5\r\n\r\nbody",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n1",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				client := serveBody()
				start := time.Now()
				_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: x\r\n"+sent)
				check.NoErr(err)
				reader := bufio.NewReader(client)
				response, err := http.ReadResponse(reader, nil)
				check.NoErr(err)
				check.Equal(response.StatusCode, http.StatusRequestTimeout)
				check.True(response.Close)
				check.Equal(time.Since(start), stallTimeout)
				_, err = reader.ReadByte()
				check.Equal(err, io.EOF)
			})
		})
	}
}

// TestSlowBodyIsServed sends one byte shortly before each end of the idle time-out.
func TestSlowBodyIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		client := serveBody()
		defer func() { _ = client.Close() }()
		_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n")
		check.NoErr(err)
		for range 4 {
			time.Sleep(stallTimeout - time.Second)
			_, err = io.WriteString(client, "x")
			check.NoErr(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		check.NoErr(err)
		check.Equal(response.StatusCode, http.StatusOK)
	})
}

// TestHandlerEndsTheReadingOfABody checks that a deadline ends a read that is under way, and
// that a deadline after the end of the body has no effect on the next request.
func TestHandlerEndsTheReadingOfABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		server := &pipe.Server{HeaderTimeout: time.Hour, IdleTimeout: time.Hour, MaxHeaderBytes: 4096}
		server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			expire := func() { _ = http.NewResponseController(writer).SetReadDeadline(time.Unix(1, 0)) }
			time.AfterFunc(time.Second, expire)
			_, err := io.ReadAll(request.Body)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				writer.WriteHeader(http.StatusRequestTimeout)
			}
			expire()
		})
		client, end := net.Pipe()
		server.Serve(end)
		reader := bufio.NewReader(client)
		for _, sent := range []struct {
			body   string
			status int
		}{{"body", http.StatusOK}, {"body", http.StatusOK}, {"bod", http.StatusRequestTimeout}} {
			start := time.Now()
			_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"+sent.body)
			check.NoErr(err)
			response, err := http.ReadResponse(reader, nil)
			check.NoErr(err)
			check.Equal(response.StatusCode, sent.status)
			check.True(time.Since(start) <= time.Second)
			time.Sleep(2 * time.Second)
		}
	})
}

// TestCallerMaySendOnAfterARefusal guards against a connection that is reset before its
// caller, who still sends, has read the answer.
func TestCallerMaySendOnAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		server := &pipe.Server{HeaderTimeout: stallTimeout, IdleTimeout: stallTimeout, MaxHeaderBytes: 4096}
		server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Connection", "close")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		client, end := net.Pipe()
		server.Serve(end)
		_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n")
		check.NoErr(err)
		reader := bufio.NewReader(client)
		response, err := http.ReadResponse(reader, nil)
		check.NoErr(err)
		check.Equal(response.StatusCode, http.StatusServiceUnavailable)
		synctest.Wait()
		_, err = client.Write(make([]byte, 1_000_000))
		check.NoErr(err)
		_, err = reader.ReadByte()
		check.Equal(err, io.EOF)
	})
}
