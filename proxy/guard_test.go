package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/proxy"
)

// TestGuard sends the bytes of each case in testdata/guard on one connection. The
// output lists the requests that reach the handler and the statuses of the
// responses.
func TestGuard(t *testing.T) {
	datadriven.RunTest(t, "testdata/guard", func(t *testing.T, data *datadriven.TestData) string {
		sent := strings.NewReplacer("\n", "", "<crlf>", "\r\n", "<lf>", "\n").Replace(data.Input)
		return sendThroughGuard(t, sent, len(sent))
	})
}

// TestGuardSplitReads sends a valid request and one that must be refused, split
// into pieces of a random size. The result must not depend on the size.
func TestGuardSplitReads(t *testing.T) {
	const sent = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" +
		"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /c HTTP/1.1\r\nHost: x\r\n\r\n"
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		is.Equal(sendThroughGuard(t, sent, rapid.IntRange(1, len(sent)).Draw(rt, "piece")), "POST /a abc\n200\n400\nclosed")
	})
}

// sendThroughGuard sends bytes to a guarded server in pieces. It returns the
// requests that reached the handler, then the statuses of the responses.
func sendThroughGuard(t *testing.T, sent string, pieceSize int) string {
	var mu sync.Mutex
	var seen strings.Builder
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		mu.Lock()
		defer mu.Unlock()
		seen.WriteString(strings.TrimSpace(request.Method+" "+request.URL.Path+" "+strings.ReplaceAll(string(body), "\r\n", "|")) + "\n")
	}))
	server.Listener = proxy.NewSmugglingGuard(server.Listener)
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	go func() {
		for rest := sent; rest != ""; {
			size := min(pieceSize, len(rest))
			_, _ = io.WriteString(conn, rest[:size])
			rest = rest[size:]
		}
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	var statuses strings.Builder
	for reader := bufio.NewReader(conn); ; {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			statuses.WriteString("closed")
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		statuses.WriteString(response.Status[:3] + "\n")
	}
	mu.Lock()
	defer mu.Unlock()
	return seen.String() + statuses.String()
}

// TestGuardAfterManyChunks checks that the guard still refuses a request on a connection
// after a body of very many small chunks, and that it refuses a line or a head without
// end.
func TestGuardAfterManyChunks(t *testing.T) {
	const (
		chunks   = 750_000
		head     = "POST /a HTTP/1.1\r\nHost: x\r\n"
		smuggled = "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"
	)
	is := is.New(t)
	body := strings.Repeat("1\r\nx\r\n", chunks) + "0\r\n\r\n"
	sent := head + "Transfer-Encoding: chunked\r\n\r\n" + body + smuggled
	got := sendThroughGuard(t, sent, 64<<10)
	is.True(strings.HasSuffix(got, "x\n200\n400\nclosed"))
	is.True(!strings.Contains(got, "/b"))
	endless := strings.Repeat("y", 3<<20)
	is.True(strings.HasSuffix(sendThroughGuard(t, head+"X: "+endless, 64<<10), "closed"))
	got = sendThroughGuard(t, head+"Transfer-Encoding: chunked\r\n\r\n1;"+endless+"\r\n"+smuggled, 64<<10)
	is.True(!strings.Contains(got, "/b"))
}
