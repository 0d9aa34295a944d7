package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/proxy"
)

// innerAnswer is a body that looks like an answer.
const innerAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"

// withLength returns an answer with the given status and a body
// of the stated length.
func withLength(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// checkBroken sends a request to an owner whose upstream gives an answer. It checks that
// the outcome is unknown, that the request was sent once and that its connection is closed.
func checkBroken(t *testing.T, answer string, ending fakes.Ending) {
	t.Helper()
	is := is.NewRelaxed(t)
	server := &fakes.RawServer{Answer: answer, Ending: ending}
	result := rawResult(t, server, 100)
	if result.Verdict != flow.Lost {
		t.Fatalf("the answer is %s: %d %q", result.Verdict, result.Response.Status, result.Response.Body)
	}
	is.Equal(result.Err.Kind, fault.BrokenAnswer)
	is.Equal(result.Err.Outcome, fault.Unknown)
	waitUntil(func() bool { return server.Closed() == 1 })
	is.Equal(server.Requests(), int64(1))
}

// TestStatusBelow100IsNoAnswer guards against owners that deliver a malformed answer, or
// its body as an answer.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 Trouble", "000", "001 Trouble", "099 Trouble", "+12 Trouble", "-00 Trouble", "1000 Trouble", "20 Trouble", "0x8 Trouble"} {
		for name, answer := range map[string]string{
			"length":       withLength(status, "text"),
			"empty":        withLength(status, "") + innerAnswer,
			"no-length":    "HTTP/1.1 " + status + "\r\n\r\ntext",
			"inner-answer": withLength(status, innerAnswer),
			"inner-at-end": "HTTP/1.1 " + status + "\r\n\r\n" + innerAnswer,
			"chunked":      "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + innerAnswer,
			"http-1.0":     "HTTP/1.0 " + status + "\r\n\r\n" + innerAnswer,
		} {
			t.Run(status+"/"+name, func(t *testing.T) { checkBroken(t, answer, fakes.FinishAndReadOn) })
		}
	}
}

// ownerReply returns a node's reply to the job "r", with the status line that the node sends
// and the status that it states of the upstream's answer.
func ownerReply(line, status string) string {
	const body = "the answer"
	return fmt.Sprintf("HTTP/1.1 %s\r\nSequoiamill-Request-Id: r\r\nSequoiamill-Verdict: answered\r\nSequoiamill-Status: %s\r\n"+
		"Sequoiamill-Digest: %x\r\nContent-Length: %d\r\n\r\n%s", line, status, xxhash.Sum64String(body), len(body), body)
}

// forwardSizes are sizes of jobs that are written before a node replies, and beside its reply.
var forwardSizes = []int{3, uploadSize}

// forwardTo returns the result of a job with a body of the given size that is forwarded to a
// node.
func forwardTo(t *testing.T, server *fakes.RawServer, size int) proxy.Result {
	job := proxy.Job{Request: "r", Method: http.MethodPost, URI: "/", Body: make([]byte, size), Route: conf.Route{Service: "intake"}, Deadline: time.Now().Add(time.Minute)}
	return proxy.NewForwarder(time.Now, bodyLimit).Do(context.Background(), startRaw(t, server), job)
}

// TestStatusOfAnotherNodeHasThreeDigits guards against entry nodes that deliver a status
// which no upstream can have given.
func TestStatusOfAnotherNodeHasThreeDigits(t *testing.T) {
	for name, reply := range map[string]string{
		"1000":    ownerReply("200 OK", "1000"),
		"70000":   ownerReply("200 OK", "70000"),
		"199":     ownerReply("200 OK", "199"),
		"000":     ownerReply("200 OK", "000"),
		"own-000": ownerReply("000 Trouble", "200"),
		"own-099": ownerReply("099 Trouble", "200"),
		"own-101": ownerReply("101 Switching Protocols", "200"),
		"interim": withLength("102 Processing", ownerReply("200 OK", "200")),
	} {
		for _, size := range forwardSizes {
			t.Run(fmt.Sprint(name, "/", size), func(t *testing.T) {
				is := is.NewRelaxed(t)
				server := &fakes.RawServer{Answer: reply}
				result := forwardTo(t, server, size)
				if result.Verdict != flow.Lost {
					t.Fatalf("the reply is %s: %d %q", result.Verdict, result.Response.Status, result.Response.Body)
				}
				is.Equal(result.Err.Kind, fault.BrokenAnswer)
				waitUntil(func() bool { return server.Closed() == 1 })
				is.Equal(server.Requests(), int64(1))
			})
		}
	}
	for _, status := range []string{"200", "999"} {
		for _, size := range forwardSizes {
			is := is.New(t)
			result := forwardTo(t, &fakes.RawServer{Answer: ownerReply("200 OK", status)}, size)
			is.Equal(result.Verdict, flow.Answered)
			is.Equal(fmt.Sprint(result.Response.Status), status)
		}
	}
}

// TestBodyOfAnInterimAnswerIsNoAnswer guards against owners that deliver the body of an
// interim answer.
func TestBodyOfAnInterimAnswerIsNoAnswer(t *testing.T) {
	for _, status := range []string{"100 Continue", "102 Processing", "199 Other"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, withLength(status, innerAnswer), fakes.ReadOn)
			checkBroken(t, "HTTP/1.1 "+status+"\r\nTransfer-Encoding: chunked\r\n\r\n"+innerAnswer, fakes.ReadOn)
		})
	}
}

// TestAnswersWithUnusualStatusAreDelivered checks that interim answers are passed over, and
// that a status of three digits that HTTP doesn't define is left as it is.
func TestAnswersWithUnusualStatusAreDelivered(t *testing.T) {
	for before, status := range map[string]int{
		"":                                     200,
		"HTTP/1.1 100 Continue\r\n\r\n":        200,
		"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n": 200,
		"HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n":    404,
		"HTTP/1.1 100\r\n\r\n":                                    600,
		"HTTP/1.1 199 Other\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n": 999,
	} {
		is := is.New(t)
		answer := before + withLength(fmt.Sprint(status, " Text"), "the answer")
		result := rawResult(t, &fakes.RawServer{Answer: answer}, 100)
		is.Equal(result.Verdict, flow.Answered)
		is.Equal(result.Response.Status, status)
		is.Equal(string(result.Response.Body), "the answer")
		is.True(!strings.Contains(fmt.Sprint(result.Response.Header), "X-A"))
	}
}

// fieldPlaces are answers with a further field, by its place.
var fieldPlaces = map[string]string{
	"head":           "HTTP/1.1 200 OK\r\nX-A: b\r\n<field>\r\nContent-Length: 4\r\n\r\ntext",
	"head-no-length": "HTTP/1.1 200 OK\r\nX-A: b\r\n<field>\r\n\r\ntext",
	"interim":        "HTTP/1.1 103 Early\r\nX-A: b\r\n<field>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext",
	"trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nX-A: b\r\n<field>\r\n\r\n",
}

// TestFieldNameThatIsNoTokenIsNoAnswer guards against owners that deliver an answer in whose
// head the name of a field has a blank or a control character.
func TestFieldNameThatIsNoTokenIsNoAnswer(t *testing.T) {
	for _, field := range []string{
		"X Y: z", "X : z", "X  : z", "X Y : z", "X\t: z", "X\tY: z", "X\x00: z", "\x01X: z", "X\x0b: z", "X\x7f: z", "X\x80: z",
		"X(: z", "X\r: z", ": z", "X: \x00", "X: a\x01b", "X: a\rb", "X",
	} {
		for place, answer := range fieldPlaces {
			t.Run(fmt.Sprintf("%q/%s", field, place), func(t *testing.T) {
				checkBroken(t, strings.Replace(answer, "<field>", field, 1), fakes.FinishAndReadOn)
			})
		}
	}
}

// TestFieldNameOfAnotherNodeIsAToken guards against entry nodes that take a reply in whose head
// the name of a field has a blank.
func TestFieldNameOfAnotherNodeIsAToken(t *testing.T) {
	is := is.New(t)
	for _, reply := range []string{
		strings.Replace(ownerReply("200 OK", "200"), "\r\n", "\r\nX Y: z\r\n", 1),
		strings.Replace(ownerReply("200 OK", "200"), "Content-Length", "Content-Length ", 1),
		"HTTP/1.1 102 Processing\r\nX Y: z\r\n\r\n" + ownerReply("200 OK", "200"),
	} {
		for _, size := range forwardSizes {
			server := &fakes.RawServer{Answer: reply, Ending: fakes.FinishAndReadOn}
			result := forwardTo(t, server, size)
			is.Equal(result.Verdict, flow.Lost)
			is.Equal(result.Err.Kind, fault.BrokenAnswer)
			waitUntil(func() bool { return server.Closed() == 1 })
		}
	}
}

// TestFramingBesideABlankIsNoAnswer guards against owners that take the wrong end of a body
// whose length or encoding has a malformed name.
func TestFramingBesideABlankIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"chunked":             "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
		"chunked-with-length": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
		"chunked-1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
		"length-too-great":    "HTTP/1.1 200 OK\r\nContent-Length : 40\r\n\r\ntext",
		"length-too-small":    "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ntextmore",
		"two-lengths":         "HTTP/1.1 200 OK\r\nContent-Length : 4\r\nContent-Length: 8\r\n\r\ntextmore",
		"interim-length":      "HTTP/1.1 100 Continue\r\nContent-Length : 43\r\n\r\n" + innerAnswer,
	} {
		t.Run(name, func(t *testing.T) { checkBroken(t, answer, fakes.FinishAndReadOn) })
	}
}

// TestAnswersWithUnusualFieldsAreDelivered checks that names with all characters of tokens,
// and lines that are continued, remain valid.
func TestAnswersWithUnusualFieldsAreDelivered(t *testing.T) {
	for _, field := range []string{"X!#$%&'*+-.^_`|~09az: z", "x: a\r\n b", " : z", "X:", "X: \x80", "Trailer: X Y"} {
		for place, answer := range fieldPlaces {
			t.Run(fmt.Sprintf("%q/%s", field, place), func(t *testing.T) {
				is := is.New(t)
				result := rawResult(t, &fakes.RawServer{Answer: strings.Replace(answer, "<field>", field, 1), Ending: fakes.FinishAndReadOn}, 100)
				is.Equal(result.Verdict, flow.Answered)
				is.Equal(string(result.Response.Body), "text")
			})
		}
	}
}
