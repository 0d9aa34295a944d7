package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/pipe"
	"sequoiamill.example/sequoiamill/proxy"
)

// caller is a caller's connection to an entry.
type caller struct {
	net.Conn
	check  *is.I
	reader *bufio.Reader
}

// connect opens a connection to the entry, which ends bodies that stall for the time-out.
func (fx *fixture) connect(t *testing.T, idleTimeout time.Duration) caller {
	server := &pipe.Server{Handler: fx.entry, HeaderTimeout: time.Minute, IdleTimeout: idleTimeout, MaxHeaderBytes: 4096}
	client, end := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	server.Serve(end)
	return caller{Conn: client, check: is.New(t), reader: bufio.NewReader(client)}
}

// send sends the headers and the beginning of the body of a request, as far as the entry
// reads them.
func (cl caller) send(headers, body string) {
	go func() { _, _ = io.WriteString(cl, "POST /booking HTTP/1.1\r\nHost: x\r\n"+headers+"\r\n\r\n"+body) }()
}

// wantRefusal reads an answer, which must say that the request did not run and close the
// connection.
func (cl caller) wantRefusal(kind fault.Kind) *http.Response {
	response, err := http.ReadResponse(cl.reader, nil)
	cl.check.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	cl.check.NoErr(err)
	cl.check.Equal(response.StatusCode, fault.StatusOf(kind).HTTPStatus)
	cl.check.Equal(response.Header.Get(proxy.HeaderErrorKind), kind.String())
	cl.check.Equal(response.Header.Get(proxy.HeaderOutcome), fault.NotRun.String())
	cl.check.True(response.Close)
	return response
}

// TestBodyAnnouncedAboveLimitIsNotRead guards against bodies that are kept up to the limit
// before they are refused.
func TestBodyAnnouncedAboveLimitIsNotRead(t *testing.T) {
	for _, limit := range []int64{bodyLimit, 4} {
		fx := newFixture(t)
		fx.entry.SetMaxBody(limit)
		cl := fx.connect(t, time.Minute)
		cl.send(fmt.Sprintf("Content-Length: %d", limit+1), "")
		cl.wantRefusal(fault.TooLarge)
		cl.check.Equal(fx.upstream.TotalRuns(), 0)
	}
}

// TestStalledBodyIsAnswered guards against a request whose body stops short and that never
// gets an answer.
func TestStalledBodyIsAnswered(t *testing.T) {
	fx := newFixture(t)
	cl := fx.connect(t, 50*time.Millisecond)
	cl.send("Content-Length: 5", "body")
	cl.wantRefusal(fault.RequestTimeout)
	cl.check.Equal(fx.upstream.TotalRuns(), 0)
}
