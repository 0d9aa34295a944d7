package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/proxy"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// rawServer is a stand-in for an upstream or an owner. In its answers, @id is the identifier
// of the request.
type rawServer struct {
	// first holds the answers on the first connection, one for each request, and later is
	// the answer to every other request.
	first []string
	later string
	// hangUp closes each connection after an answer, with a reset if reset is true.
	hangUp, reset bool
}

func (rs rawServer) start(t *testing.T) types.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go rs.serve(conn.(*net.TCPConn), number == 0)
		}
	}()
	return types.Address(listener.Addr().String())
}

func (rs rawServer) serve(conn *net.TCPConn, first bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := rs.later
		if first && number < len(rs.first) {
			answer = rs.first[number]
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "@id", request.Header.Get(proxy.HeaderRequestID)))
		if rs.reset {
			_ = conn.SetLinger(0)
		}
		if rs.hangUp {
			return
		}
	}
}

func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + proxy.HeaderOutcome + ": not-run\r\n" + id + "Content-Length: 4\r\n\r\nfull"
}

func answerOf(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: @id\r\nContent-Length: %d\r\n\r\n%s", proxy.HeaderRequestID, len(body), body)
}

func payment(id types.RequestID) proxy.Job {
	return proxy.Job{Request: id, Method: http.MethodPost, URI: "/", Body: []byte("fee"), Route: conf.Route{Service: "intake"}, Deadline: time.Now().Add(time.Second)}
}

// TestRefusalWrittenAgain checks that a request never counts as not run because an
// upstream wrote an earlier refusal once more: before the answer, in the packet of the
// first one, in front of the answer's body, behind it, in two halves or as an interim
// answer, with the earlier identifier, with that of the request, or without one.
func TestRefusalWrittenAgain(t *testing.T) {
	const named = proxy.HeaderRequestID + ": "
	ran := answerOf("ran")
	head, body, _ := strings.Cut(ran, "\r\n\r\n")
	interim := strings.Replace(refusal(""), "503 Service Unavailable", "103 Early Hints", 1)
	for _, id := range []string{"", named + "first\r\n", named + "@id\r\n"} {
		again := refusal(id)
		for name, answers := range map[string][]string{
			"before the answer":          {refusal(id), again + ran},
			"with the first refusal":     {refusal(id) + again, ran},
			"in front of the body":       {refusal(id), head + "\r\n\r\n" + again + body},
			"behind the answer":          {refusal(id), ran + again},
			"in two halves":              {refusal(id) + again[:20], again[20:] + ran},
			"as an interim answer":       {refusal(id), interim + ran},
			"instead of a second answer": {refusal(id), again},
		} {
			checkSecondRuns(t, name+" "+id, answers)
		}
	}
}

// checkSecondRuns sends two requests to an upstream that runs the second one, and checks
// that the second doesn't count as not run.
func checkSecondRuns(t *testing.T, name string, answers []string) {
	t.Helper()
	for _, id := range []types.RequestID{"first", "second"} {
		fx := newFixture(t)
		fx.owner.SetUpstream("raw", rawServer{first: answers, later: answerOf("ran")}.start(t))
		is.New(t).Equal(fx.owner.Do(context.Background(), payment("first")).Verdict, flow.NotRun)
		if result := fx.owner.Do(context.Background(), payment(id)); result.Verdict == flow.NotRun {
			t.Errorf("%s, request %s: counts as not run", name, id)
		}
	}
}

// TestRefusalOfAnotherConnection checks that a refusal without an identifier tells nothing
// of the request that it follows on a connection that has carried another one.
func TestRefusalOfAnotherConnection(t *testing.T) {
	fx := newFixture(t)
	fx.owner.SetUpstream("raw", rawServer{first: []string{answerOf("ran"), refusal("") + answerOf("ran")}}.start(t))
	check := is.New(t)
	check.Equal(fx.owner.Do(context.Background(), payment("first")).Verdict, flow.Answered)
	check.True(fx.owner.Do(context.Background(), payment("second")).Verdict != flow.NotRun)
}

// TestRefusalOfAnOwnerWrittenAgain checks the same between nodes.
func TestRefusalOfAnOwnerWrittenAgain(t *testing.T) {
	check := is.New(t)
	refused := strings.Replace(refusal(proxy.HeaderRequestID+": first\r\n"), "full", "", 1)
	refused = strings.Replace(refused, "Content-Length: 4", "Sequoiamill-Verdict: not-run\r\nSequoiamill-Digest: ef46db3751d8e999\r\nContent-Length: 0", 1)
	address := rawServer{first: []string{refused, refused + answerOf("ran")}, later: answerOf("ran")}.start(t)
	forwarder := proxy.NewForwarder(time.Now, bodyLimit)
	check.Equal(forwarder.Do(context.Background(), address, payment("first")).Verdict, flow.NotRun)
	check.Equal(forwarder.Do(context.Background(), address, payment("second")).Verdict, flow.Lost)
}

// TestAnswerCutInItsHead checks that an answer whose head does not end never counts as an
// answer, wherever it is cut and however the connection ends, at the owner and between
// nodes. A body that is cut is incomplete too.
func TestAnswerCutInItsHead(t *testing.T) {
	answers := []string{
		answerOf("whole"),
		strings.Replace(answerOf("whole"), "HTTP/1.1", "HTTP/1.0", 1),
		"HTTP/1.1 100 Continue\r\n\r\n" + answerOf("whole"),
		"HTTP/1.1 200 OK\r\n" + proxy.HeaderRequestID + ": @id\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	}
	for _, answer := range answers {
		answer = strings.ReplaceAll(answer, "@id", "second")
		for _, reset := range []bool{false, true} {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				for cut := range len(answer) {
					checkCut(t, answer[:cut], reset)
				}
			})
		}
	}
}

func checkCut(t *testing.T, part string, reset bool) {
	t.Helper()
	server := rawServer{first: []string{part}, later: part, hangUp: true, reset: reset}
	fx := newFixture(t)
	owner := proxy.NewOwner(fx.post, func() route.Load { return route.Load{} }, time.Now, proxy.WithCloseDelimited())
	fx.owner = owner
	owner.SetUpstream("raw", server.start(t))
	if verdict := owner.Do(context.Background(), payment("second")).Verdict; verdict == flow.Answered {
		t.Errorf("cut after %q: answered by the owner", part)
	}
	if verdict := proxy.NewForwarder(time.Now, bodyLimit).Do(context.Background(), server.start(t), payment("second")).Verdict; verdict == flow.Answered {
		t.Errorf("cut after %q: answered between nodes", part)
	}
}
