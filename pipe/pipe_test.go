package pipe_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/pipe"
)

// testServer serves one connection. Its handler answers /now/... at once, and any other
// request once that is released or its caller has gone.
type testServer struct {
	t      *testing.T
	is     *is.I
	server *pipe.Server
	// client is the caller's end of the connection, and reader reads the answers.
	client net.Conn
	reader *bufio.Reader
	closed chan struct{}
	held   chan struct{}

	mu       sync.Mutex
	changed  *sync.Cond
	started  []string
	canceled []string
	released map[string]bool
	ahead    int
}

func newTestServer(t *testing.T, bounds pipe.Bounds) *testServer {
	ts := &testServer{t: t, is: is.New(t), closed: make(chan struct{}), held: make(chan struct{}, 100), released: map[string]bool{}}
	ts.changed = sync.NewCond(&ts.mu)
	ts.server = &pipe.Server{
		Handler: ts, Ahead: func(request *http.Request) bool { return request.Method == http.MethodGet },
		Bounds: bounds, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 4096,
		OnAhead: func() { ts.note(func() { ts.ahead++ }) }, OnHold: func() { ts.held <- struct{}{} },
		OnClosed: func() { close(ts.closed) },
	}
	var end net.Conn
	ts.client, end = net.Pipe()
	ts.reader = bufio.NewReader(ts.client)
	t.Cleanup(func() { _ = ts.client.Close() })
	ts.server.Serve(end)
	return ts
}

// note changes the state under mu.
func (ts *testServer) note(change func()) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	change()
	ts.changed.Broadcast()
}

// ServeHTTP implements http.Handler.
func (ts *testServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Path
	if strings.HasSuffix(path, "/early") {
		_, _ = io.WriteString(writer, "early")
		return
	}
	body, _ := io.ReadAll(request.Body)
	ts.note(func() { ts.started = append(ts.started, path) })
	if !strings.HasPrefix(path, "/now") && !ts.wait(request, path) {
		return
	}
	switch {
	case strings.HasSuffix(path, "/abort"):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(path, "/close"):
		writer.Header().Set("Connection", "close")
	case strings.HasSuffix(path, "/large"):
		writer.Header().Set("Content-Length", "100000")
		_, _ = io.WriteString(writer, strings.Repeat("x", 100_000))
		return
	}
	_, _ = io.WriteString(writer, strings.TrimSpace(fmt.Sprintf("%s %s %s", request.Method, path, body)))
}

// wait waits until the request is released. It returns false if the caller has gone.
func (ts *testServer) wait(request *http.Request, path string) bool {
	released := make(chan struct{})
	go func() {
		ts.waitFor(func() bool { return ts.released[path] })
		close(released)
	}()
	select {
	case <-released:
		return true
	case <-request.Context().Done():
		ts.note(func() { ts.canceled = append(ts.canceled, path) })
		return false
	}
}

// release lets requests end.
func (ts *testServer) release(paths ...string) {
	ts.note(func() {
		for _, path := range paths {
			ts.released[path] = true
		}
	})
}

// waitFor waits until the condition on the state holds.
func (ts *testServer) waitFor(condition func() bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for !condition() {
		ts.changed.Wait()
	}
}

// send sends requests on the connection, each given by its method and path.
func (ts *testServer) send(requests ...string) {
	var text strings.Builder
	for _, request := range requests {
		text.WriteString(request + " HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	ts.sendRaw(text.String())
}

func (ts *testServer) sendRaw(text string) {
	go func() { _, _ = io.WriteString(ts.client, text) }()
}

// answer returns the status, the body and the Connection header of the next answer, or
// "closed".
func (ts *testServer) answer() string {
	response, err := http.ReadResponse(ts.reader, nil)
	if err != nil {
		return "closed"
	}
	body, err := io.ReadAll(response.Body)
	text := fmt.Sprint(response.StatusCode, " ", string(body))
	if err != nil {
		return "broken " + text
	}
	if response.Close {
		text += " close"
	}
	return strings.TrimSpace(text)
}

// sorted returns the paths of the requests that have started.
func (ts *testServer) sorted() []string {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return slices.Sorted(slices.Values(ts.started))
}

func TestAnswersInOrder(t *testing.T) {
	ts := newTestServer(t, pipe.Bounds{})
	ts.send("GET /a", "GET /b", "GET /c", "GET /now/d")
	ts.waitFor(func() bool { return len(ts.started) == 4 })
	ts.release("/c")
	ts.release("/b")
	ts.release("/a")
	for _, want := range []string{"/a", "/b", "/c", "/now/d"} {
		ts.is.Equal(ts.answer(), "200 GET "+want)
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.is.Equal(ts.ahead, 3)
}

// TestUnrepeatableRunsAlone checks that a request that can't be repeated starts after the
// answers ahead of it have been received, and that nothing starts beside it.
func TestUnrepeatableRunsAlone(t *testing.T) {
	ts := newTestServer(t, pipe.Bounds{})
	ts.send("GET /a", "GET /b", "POST /c", "GET /d")
	ts.waitFor(func() bool { return len(ts.started) == 2 })
	<-ts.held
	ts.release("/b", "/a")
	ts.is.Equal(ts.answer(), "200 GET /a")
	ts.is.Equal(len(ts.sorted()), 2)
	ts.is.Equal(ts.answer(), "200 GET /b")
	ts.waitFor(func() bool { return len(ts.started) == 3 })
	<-ts.held
	ts.is.Equal(len(ts.sorted()), 3)
	ts.release("/c", "/d")
	ts.is.Equal(ts.answer(), "200 POST /c")
	ts.is.Equal(ts.answer(), "200 GET /d")
}

func TestNothingRunsBehindClose(t *testing.T) {
	closing := "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	behind := "GET /b HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, sent := range []string{closing + behind, strings.Replace(closing, "1.1", "1.0", 1) + behind} {
		ts := newTestServer(t, pipe.Bounds{})
		ts.sendRaw(sent)
		ts.release("/a")
		ts.is.Equal(ts.answer(), "200 GET /a close")
		ts.is.Equal(ts.answer(), "closed")
		ts.is.NoErr(ts.client.Close())
		<-ts.closed
		ts.is.Equal(ts.sorted(), []string{"/a"})
	}
}

// TestHandlerCloses checks that a handler that asks to close the connection cuts off no
// request that runs behind its own, and that a held one never runs.
func TestHandlerCloses(t *testing.T) {
	ts := newTestServer(t, pipe.Bounds{})
	ts.send("GET /a/close", "GET /b", "POST /c")
	<-ts.held
	ts.release("/a/close", "/b", "/c")
	ts.is.Equal(ts.answer(), "200 GET /a/close")
	ts.is.Equal(ts.answer(), "200 GET /b close")
	ts.is.Equal(ts.answer(), "closed")
	ts.is.NoErr(ts.client.Close())
	<-ts.closed
	ts.is.Equal(ts.sorted(), []string{"/a/close", "/b"})
}

func TestBrokenAnswer(t *testing.T) {
	ts := newTestServer(t, pipe.Bounds{})
	ts.send("GET /a", "GET /b/abort", "GET /c", "POST /d")
	ts.waitFor(func() bool { return slices.Contains(ts.started, "/c") })
	ts.release("/b/abort")
	ts.waitFor(func() bool { return len(ts.canceled) == 1 })
	ts.release("/a", "/d")
	ts.is.Equal(ts.answer(), "200 GET /a")
	ts.is.Equal(ts.answer(), "closed")
	ts.is.NoErr(ts.client.Close())
	<-ts.closed
	ts.is.True(!slices.Contains(ts.sorted(), "/d"))
}

// TestCallerCloses checks that all requests of a caller that has gone end, also while one
// is held and the reader has no room.
func TestCallerCloses(t *testing.T) {
	for _, bounds := range []pipe.Bounds{pipe.DefaultBounds(), {Requests: 2, Running: 2, Bytes: 1}} {
		ts := newTestServer(t, bounds)
		ts.send("GET /a", "GET /b", "POST /c", "GET /d")
		<-ts.held
		ts.is.NoErr(ts.client.Close())
		<-ts.closed
		ts.is.Equal(ts.sorted(), []string{"/a", "/b"})
		ts.is.Equal(len(ts.canceled), 2)
	}
}

// TestSlowReader checks that a caller that doesn't read its answers makes only as many
// requests run as the bounds allow.
func TestSlowReader(t *testing.T) {
	ts := newTestServer(t, pipe.Bounds{Requests: 4, Running: 2, Bytes: 1000})
	const count = 20
	ts.send(slices.Repeat([]string{"GET /now/large"}, count)...)
	<-ts.held
	ts.is.True(len(ts.sorted()) <= 3)
	for range count {
		ts.is.Equal(len(ts.answer()), len("200 ")+100_000)
	}
	ts.is.Equal(len(ts.sorted()), count)
}

func TestStopBehindRequests(t *testing.T) {
	ts := newTestServer(t, pipe.Bounds{})
	ts.send("GET /a", "GET /b", "POST /c")
	<-ts.held
	ts.server.Stop()
	ts.release("/a", "/b", "/c")
	ts.is.Equal(ts.answer(), "200 GET /a")
	ts.is.Equal(ts.answer(), "200 GET /b close")
	ts.is.Equal(ts.answer(), "closed")
	ts.is.NoErr(ts.client.Close())
	<-ts.closed
	ts.is.Equal(ts.sorted(), []string{"/a", "/b"})
}

func TestStopIdleAndNew(t *testing.T) {
	ts := newTestServer(t, pipe.Bounds{})
	ts.send("GET /now/a")
	ts.is.Equal(ts.answer(), "200 GET /now/a")
	ts.server.Stop()
	ts.is.Equal(ts.answer(), "closed")
	<-ts.closed

	ts = newTestServer(t, pipe.Bounds{})
	ts.server.Stop()
	ts.send("GET /now/a", "GET /now/b")
	ts.is.Equal(ts.answer(), "200 GET /now/a close")
	ts.is.Equal(ts.answer(), "closed")
	ts.is.NoErr(ts.client.Close())
	<-ts.closed
	ts.is.Equal(ts.sorted(), []string{"/now/a"})
}

func TestRefusalBehindRequests(t *testing.T) {
	for sent, want := range map[string]string{
		"\x00\r\n\r\n": "400 400 Bad Request close",
		"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n":        "431 431 Request Header Fields Too Large close",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n":                      "501 501 Not Implemented: unsupported transfer encoding close",
		"GET / HTTP/2.0\r\nHost: x\r\n\r\n":                                                  "505 505 HTTP Version Not Supported: unsupported protocol version close",
		"POST / HTTP/1.1\r\nHost: x\r\nExpect: more\r\nContent-Length: 1\r\n\r\nxGET / HTTP": "417 417 Expectation Failed close",
	} {
		ts := newTestServer(t, pipe.Bounds{})
		ts.sendRaw("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n" + sent + "GET /c HTTP/1.1\r\nHost: x\r\n\r\n")
		ts.waitFor(func() bool { return len(ts.started) == 2 })
		ts.release("/b", "/a")
		ts.is.Equal(ts.answer(), "200 GET /a")
		ts.is.Equal(ts.answer(), "200 GET /b")
		ts.is.Equal(ts.answer(), want)
		ts.is.Equal(ts.answer(), "closed")
	}
}

func TestExpectContinue(t *testing.T) {
	ts := newTestServer(t, pipe.Bounds{})
	ts.sendRaw("POST /now/a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	line, err := ts.reader.ReadString('\n')
	ts.is.NoErr(err)
	ts.is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = ts.reader.ReadString('\n')
	ts.is.NoErr(err)
	ts.sendRaw("bodyGET /now/b HTTP/1.1\r\nHost: x\r\n\r\n")
	ts.is.Equal(ts.answer(), "200 POST /now/a body")
	ts.is.Equal(ts.answer(), "200 GET /now/b")
}

// TestEarlyAnswerToALongBody answers a request whose long body hasn't come. The answer must
// not wait for it.
func TestEarlyAnswerToALongBody(t *testing.T) {
	ts := newTestServer(t, pipe.Bounds{})
	ts.sendRaw("POST /now/early HTTP/1.1\r\nHost: x\r\nContent-Length: 10000000\r\n\r\nabc")
	ts.is.Equal(ts.answer(), "200 early close")
	ts.is.Equal(ts.answer(), "closed")
}
