package pipe

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ownLines are the lines of a header that the server writes itself.
var ownLines = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// ownLines304 are the lines left out of the header of an answer with status 304.
var ownLines304 = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "Content-Type": true}

// bodyAllowed reports whether an answer with this status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// WriteHeader implements http.ResponseWriter. Informational answers are not passed on.
func (ex *exchange) WriteHeader(status int) {
	if ex.status != 0 || status < http.StatusOK && status != http.StatusSwitchingProtocols {
		return
	}
	ex.status = status
	exclude := ownLines
	if status == http.StatusNotModified {
		exclude = ownLines304
	}
	_ = ex.header.WriteSubset(&ex.lines, exclude)
	ex.connection = ex.header.Get("Connection")
	if length, err := strconv.ParseInt(ex.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 && bodyAllowed(status) {
		ex.length = length
	}
	_, typed := ex.header["Content-Type"]
	ex.typed = typed || ex.header.Get("Content-Encoding") != "" || !bodyAllowed(status)
	if _, dated := ex.header["Date"]; !dated {
		ex.lines.WriteString("Date: ")
		ex.lines.Write(time.Now().UTC().AppendFormat(ex.lines.AvailableBuffer(), http.TimeFormat))
		ex.lines.WriteString("\r\n")
	}
}

// line adds a line to the header.
func (ex *exchange) line(name, value string) {
	ex.lines.WriteString(name)
	ex.lines.WriteString(": ")
	ex.lines.WriteString(value)
	ex.lines.WriteString("\r\n")
}

// sniff states the type of a body if the handler hasn't.
func (ex *exchange) sniff(part []byte) {
	if ex.typed {
		return
	}
	ex.typed = true
	ex.line("Content-Type", http.DetectContentType(part))
}

// begin writes the head of the answer and the part of the body that has waited. The
// answer must have its turn.
func (ex *exchange) begin() {
	if ex.begun {
		return
	}
	ex.begun = true
	closes := ex.last || hasToken(ex.connection, "close")
	closes = !ex.settleBody() || closes
	closes = ex.frame() || closes
	announced := ex.cn.began(ex, closes)
	writer := ex.cn.output()
	_, _ = writer.WriteString(protoOf(ex.request))
	_, _ = writer.Write(strconv.AppendInt(writer.AvailableBuffer(), int64(ex.status), 10))
	_ = writer.WriteByte(' ')
	_, _ = writer.WriteString(statusText(ex.status))
	_, _ = writer.WriteString("\r\n")
	_, _ = writer.Write(ex.lines.Bytes())
	switch {
	case announced && ex.request.ProtoAtLeast(1, 1):
		_, _ = writer.WriteString("Connection: close\r\n")
	case announced:
	case ex.connection != "" && !hasToken(ex.connection, "close"):
		_, _ = writer.WriteString("Connection: " + ex.connection + "\r\n")
	case ex.keepOld:
		_, _ = writer.WriteString("Connection: keep-alive\r\n")
	}
	_, _ = writer.WriteString("\r\n")
	if len(ex.body) > 0 {
		_ = ex.writePart(ex.body)
		ex.body = ex.body[:0]
	}
}

// frame adds the line that says where the body ends. It returns true if only the close of
// the connection does.
func (ex *exchange) frame() bool {
	if !bodyAllowed(ex.status) {
		return false
	}
	head := ex.request.Method == http.MethodHead
	if ex.length == unknownLength && ex.finished && (!head || ex.written > 0) {
		ex.length = ex.written
	}
	switch {
	case ex.length != unknownLength:
		ex.lines.WriteString("Content-Length: ")
		ex.lines.Write(strconv.AppendInt(ex.lines.AvailableBuffer(), ex.length, 10))
		ex.lines.WriteString("\r\n")
	case head:
	case ex.request.ProtoAtLeast(1, 1):
		ex.chunked = true
		ex.line("Transfer-Encoding", "chunked")
	default:
		return true
	}
	return false
}

// writePart writes a part of the body. The answer must have begun.
func (ex *exchange) writePart(part []byte) error {
	writer := ex.cn.output()
	if ex.chunked {
		_, _ = writer.WriteString(strconv.FormatInt(int64(len(part)), 16) + "\r\n")
	}
	_, err := writer.Write(part)
	if ex.chunked {
		_, err = writer.WriteString("\r\n")
	}
	return err
}

// writeContinue asks the caller for the body of its request. A request that waits for
// this runs alone, so that it has its turn.
func (ex *exchange) writeContinue() {
	if ex.begun {
		return
	}
	_, _ = ex.cn.output().WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	_ = ex.cn.flush()
}

// protoOf returns the start of the answer to a request.
func protoOf(request *http.Request) string {
	if request.ProtoAtLeast(1, 1) {
		return "HTTP/1.1 "
	}
	return "HTTP/1.0 "
}

func statusText(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}
	return "status code " + strconv.Itoa(status)
}

// hasToken reports whether a list of header values has a token.
func hasToken(list, token string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(item), token) {
			return true
		}
	}
	return false
}
