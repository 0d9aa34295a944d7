package fakes

import (
	"fmt"
	"net/http"
	"time"
)

// HeaderMode is the request header that names how an Upstream answers.
const HeaderMode = "Fake-Mode"

// lateAnswer is how long an upstream in the mode "late" runs on, whether or
// not anyone waits.
const lateAnswer = time.Second

const closing = "\r\nConnection: close\r\n\r\n"

// raw are the modes that write the bytes of an answer themselves. The request
// identifier takes the place of the verb.
var raw = map[string]string{
	"truncated":       "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: %s\r\nContent-Length: 100" + closing + "the start",
	"cut-chunk":       "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: %s\r\nTransfer-Encoding: chunked" + closing + "5\r\nstart\r\n",
	"close-delimited": "HTTP/1.1 200 OK\r\nSequoiamill-Request-Id: %s" + closing + "the whole or not",
	"switching":       "HTTP/1.1 101 Switching Protocols\r\nSequoiamill-Request-Id: %s\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n",
	"closed":          "",
}

// broken answers in a mode and reports whether there is one of that name.
func broken(writer http.ResponseWriter, request *http.Request, mode string) bool {
	id := request.Header.Get("Sequoiamill-Request-Id")
	text, ok := raw[mode]
	if !ok {
		return plain(writer, id, mode)
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

func plain(writer http.ResponseWriter, id, mode string) bool {
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
		time.Sleep(lateAnswer)
		_, _ = fmt.Fprint(writer, "late")
	default:
		return false
	}
	return true
}

// shed answers that the request was not run.
func shed(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Sequoiamill-Request-Id", request.Header.Get("Sequoiamill-Request-Id"))
	header.Set("Sequoiamill-Outcome", "not-run")
	header.Set("Retry-After", "3")
	writer.WriteHeader(http.StatusServiceUnavailable)
}
