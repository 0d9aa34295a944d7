package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/memory"
	"sequoiamill.example/sequoiamill/pipe"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/types"
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

const (
	testBudget = 2 * bodyLimit
	// largeBody is above what is left for small bodies only.
	largeBody = bodyLimit / 2
	// nearLimit is a size whose echo is inside the limit.
	nearLimit = bodyLimit - 1<<10
)

func lengthOf(size int) string { return fmt.Sprintf("Content-Length: %d", size) }

// wantServed reads the answer of the upstream.
func (cl caller) wantServed() {
	response, err := http.ReadResponse(cl.reader, nil)
	cl.check.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	cl.check.NoErr(err)
	cl.check.Equal(response.StatusCode, http.StatusOK)
}

// fill takes all of the budget that large bodies may take, as a body that is being served.
func fill(check *is.I, budget *memory.Budget) *memory.Room {
	room := budget.Open(time.Now(), nil)
	check.NoErr(room.Take(budget.Limit()*3/4, time.Now()))
	check.NoErr(room.Complete())
	return room
}

// TestBodyWithoutRoomIsRefused guards against large bodies that together take more memory
// than there is. Small ones are still served.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	budget := memory.NewBudget(testBudget)
	fx := newFixture(t, proxy.WithBudget(budget))
	room := fill(is.New(t), budget)
	for _, headers := range []string{lengthOf(largeBody), "Transfer-Encoding: chunked"} {
		cl := fx.connect(t, time.Minute)
		cl.send(headers, fmt.Sprintf("%x\r\n", largeBody)+strings.Repeat("x", largeBody-100))
		cl.check.True(cl.wantRefusal(fault.Overloaded).Header.Get("Retry-After") != "")
		cl.check.Equal(fx.upstream.TotalRuns(), 0)
	}
	small := fx.connect(t, time.Minute)
	small.send(lengthOf(memory.SmallSize/2), strings.Repeat("x", memory.SmallSize/2))
	small.wantServed()
	room.Release()
	waitUntil(func() bool { return budget.Held() == 0 })
}

// TestStalledBodyLosesItsRoom guards against bodies that stop short of their end and shut
// all others out.
func TestStalledBodyLosesItsRoom(t *testing.T) {
	budget := memory.NewBudget(testBudget)
	fx := newFixture(t, proxy.WithBudget(budget))
	var stalled []caller
	for number := range 2 {
		cl := fx.connect(t, time.Minute)
		cl.send(lengthOf(largeBody), strings.Repeat("x", largeBody-1))
		stalled = append(stalled, cl)
		waitUntil(func() bool { return budget.Held() == int64(number+1)*largeBody })
	}
	waitUntil(func() bool {
		fx.offset.Add(int64(time.Second))
		return strings.HasPrefix(fx.do(http.MethodPost, "", strings.Repeat("x", nearLimit)), "200")
	})
	is.New(t).Equal(fx.upstream.TotalRuns(), 1)
	for _, cl := range stalled {
		cl.wantRefusal(fault.RequestTimeout)
	}
	waitUntil(func() bool { return budget.Held() == 0 })
}

// TestBodyTakesRoomOnce checks that the owner of the same node shares the entry's room until
// the work has ended.
func TestBodyTakesRoomOnce(t *testing.T) {
	for _, key := range []string{"", "Idempotency-Key: k\r\n"} {
		check := is.New(t)
		budget := memory.NewBudget(testBudget)
		fx := newFixture(t, proxy.WithBudget(budget))
		var held int64
		fx.server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			held = budget.Held()
			fx.upstream.ServeHTTP(writer, request)
		})
		cl := fx.connect(t, time.Minute)
		cl.send(key+lengthOf(largeBody), strings.Repeat("x", largeBody))
		cl.wantServed()
		check.Equal(held, int64(largeBody))
		waitUntil(func() bool { return budget.Held() == 0 })
	}
}

// stallingConn is a connection to an owner that passes only a part of what is written.
type stallingConn struct {
	net.Conn
	left   int
	closed chan struct{}
}

func (sc *stallingConn) Write(part []byte) (int, error) {
	if sc.left -= len(part); sc.left < 0 {
		<-sc.closed
		return 0, net.ErrClosed
	}
	return sc.Conn.Write(part)
}

func (sc *stallingConn) Close() error {
	close(sc.closed)
	return sc.Conn.Close()
}

// TestForwardedBodyWithoutRoom guards against owners that keep the bodies of other nodes
// without bound, and against a job that may not be sent elsewhere although it never ran.
func TestForwardedBodyWithoutRoom(t *testing.T) {
	check := is.New(t)
	budget := memory.NewBudget(testBudget)
	fx := newFixture(t, proxy.WithBudget(budget))
	owner := httptest.NewServer(fx.owner)
	defer owner.Close()
	address := types.Address(owner.Listener.Addr().String())
	job := proxy.Job{Request: "r", Method: http.MethodPost, URI: "/", Route: conf.Route{Service: "intake", Importance: conf.Normal}, Deadline: time.Now().Add(time.Minute), Body: make([]byte, largeBody)}

	room := fill(check, budget)
	result := proxy.NewForwarder(time.Now, bodyLimit).Do(context.Background(), address, job)
	check.Equal(result.Verdict, flow.NotRun)
	check.Equal(result.Err.Kind, fault.Overloaded)
	check.True(result.Err.RetryAfter > 0)
	room.Release()

	stalled := proxy.NewForwarder(time.Now, bodyLimit, proxy.WithDialer(func(context.Context, string, string) (net.Conn, error) {
		conn, err := net.Dial("tcp", string(address))
		return &stallingConn{Conn: conn, left: largeBody * 3 / 4, closed: make(chan struct{})}, err
	}))
	results := make(chan proxy.Result, 1)
	go func() { results <- stalled.Do(context.Background(), address, job) }()
	waitUntil(func() bool { return budget.Held() == largeBody })
	waitUntil(func() bool {
		fx.offset.Add(int64(time.Second))
		newcomer := budget.Open(fx.now(), nil)
		defer newcomer.Release()
		return newcomer.Take(budget.Limit()*3/4, fx.now()) == nil
	})
	result = <-results
	check.Equal(result.Verdict, flow.NotRun)
	check.Equal(result.Err.Kind, fault.Overloaded)
	check.Equal(fx.upstream.TotalRuns(), 0)
}
