package fakes

import (
	"fmt"
	"net/http"
	"time"
)

// HeaderMode is the request header that selects how an Upstream answers. Its
// value is the name of a mode, such as truncated, late or shed.
const HeaderMode = "Fake-Mode"

// lateAnswerDelay is how long an upstream waits before it answers a request
// with the mode "late". The upstream completes the request even if the caller
// has stopped waiting.
const lateAnswerDelay = time.Second

const connectionClose = "\r\nConnection: close\r\n\r\n"

// rawAnswers holds, by mode, the answers that are written to the connection as
// raw bytes, bypassing net/http. The request identifier replaces %s. The mode
// "closed" closes the connection without an answer.
var rawAnswers = map[string]string{
	"truncated":       "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: %s\r\nContent-Length: 100" + connectionClose + "the start",
	"cut-chunk":       "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: %s\r\nTransfer-Encoding: chunked" + connectionClose + "5\r\nstart\r\n",
	"close-delimited": "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: %s" + connectionClose + "the whole or not",
	"switching":       "HTTP/1.1 101 Switching Protocols\r\nSequoiamill-Request-Id: %s\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n",
	"closed":          "",
}

// answerInMode answers the request as the mode prescribes and reports whether
// the mode exists. It writes nothing if the mode does not exist.
func answerInMode(writer http.ResponseWriter, request *http.Request, mode string) bool {
	id := request.Header.Get("Sequoiamill-Request-Id")
	text, ok := rawAnswers[mode]
	if !ok {
		return writeModeAnswer(writer, id, mode)
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return true
	}
	if text != "" {
		_, _ = fmt.Fprintf(conn, text, id)
	}
	_ = conn.Close()
	return true
}

// writeModeAnswer handles the modes whose answers net/http can write. It reports
// whether the mode is one of them.
func writeModeAnswer(writer http.ResponseWriter, id, mode string) bool {
	header := writer.Header()
	header.Set("Sequoiamill-Request-Id", id)
	switch mode {
	case "crossed":
		header.Set("Sequoiamill-Request-Id", "other")
		_, _ = fmt.Fprint(writer, "wrong")
	case "crossed-empty":
		header.Set("Sequoiamill-Request-Id", "other")
	case "no-echo":
		header.Del("Sequoiamill-Request-Id")
		_, _ = fmt.Fprint(writer, "text")
	case "wrong-digest":
		header.Set("Content-Digest", "sha-256=:AAAA:")
		_, _ = fmt.Fprint(writer, "text")
	case "right-digest":
		header.Set("Content-Digest", "sha-512=:AA:, sha-256=:mC2ePrmW9VnmM/TRlN7zdh2Qn1o7ZH0ahR/q1nwyydE=:")
		_, _ = fmt.Fprint(writer, "text")
	case "trailers":
		header.Set("Trailer", "X-End")
		header.Set("Connection", "X-Hop")
		header.Set("X-Hop", "1")
		_, _ = fmt.Fprint(writer, "text")
		header.Set("X-End", "1")
	case "error":
		writer.WriteHeader(http.StatusInternalServerError)
	case "empty":
		writer.WriteHeader(http.StatusNoContent)
	case "unchanged":
		header.Set("Etag", `"7"`)
		writer.WriteHeader(http.StatusNotModified)
	case "big":
		_, _ = writer.Write(make([]byte, 4<<20))
	case "late":
		time.Sleep(lateAnswerDelay)
		_, _ = fmt.Fprint(writer, "late")
	default:
		return false
	}
	return true
}

// answerShed refuses the request as an overloaded upstream does: the answer has the
// status 503, the outcome not-run and a Retry-After header.
func answerShed(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Sequoiamill-Request-Id", request.Header.Get("Sequoiamill-Request-Id"))
	header.Set("Sequoiamill-Outcome", "not-run")
	header.Set("Retry-After", "3")
	writer.WriteHeader(http.StatusServiceUnavailable)
}
