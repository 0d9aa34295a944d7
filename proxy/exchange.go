package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
)

const (
	// maxStrays bounds the answers to other requests that are skipped.
	maxStrays = 8
	// wholeBody is the size in bytes up to which a body is sent before the
	// answer is read.
	wholeBody = 16 << 10
)

// exchange sends a job to the upstream and reads its answer.
func (ow *Owner) exchange(ctx context.Context, up *upstream, job Job, requireEcho bool) Reply {
	for {
		conn, err := up.take(ctx, !job.Route.Idempotent, ow.now())
		if err != nil {
			return refusal(fault.Wrap(fault.Unreachable, err, "connect to the upstream"))
		}
		reply, sent := ow.exchangeOn(ctx, up, conn, job, requireEcho)
		if sent || !conn.reused {
			return reply
		}
	}
}

// exchangeOn reports false if not one byte was handed to the connection.
func (ow *Owner) exchangeOn(ctx context.Context, up *upstream, conn *upstreamConn, job Job, requireEcho bool) (Reply, bool) {
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer release()
	head := ow.requestHead(up, job)
	sending, err := send(conn, head, job.Body)
	if err != nil && sending.written == 0 {
		_ = conn.Close()
		return refusal(fault.Wrap(fault.Unreachable, err, "write to the upstream")), false
	}
	if err != nil {
		_ = conn.Close()
		return lost(fault.Wrap(fault.BrokenAnswer, causeOf(ctx, err), "write to the upstream")), true
	}
	reply, keep, err := ow.readAnswer(conn, job, requireEcho)
	if err != nil {
		_ = conn.Close()
		if conn.reused {
			up.drop()
		}
		return lost(broken(causeOf(ctx, err))), true
	}
	if !release() || !sending.finished() || reply.Verdict == flow.Lost {
		keep = 0
	}
	up.put(conn, keep, ow.now())
	return reply, true
}

// broken returns the error of an answer that could not be read.
func broken(err error) *fault.Error {
	if fault.Is(err, fault.BrokenAnswer) {
		return fault.From(err)
	}
	return fault.Wrap(fault.BrokenAnswer, err, "read the upstream's answer")
}

// requestHead returns the request line and the headers.
func (ow *Owner) requestHead(up *upstream, job Job) []byte {
	header := cloneHeader(job.Header)
	ow.dialect.WriteWork(header, job, up.process, ow.now())
	if agent, ok := header["User-Agent"]; ok && len(agent) == 1 && agent[0] == "" {
		delete(header, "User-Agent")
	}
	var head bytes.Buffer
	head.WriteString(job.Method + " " + job.URI + " HTTP/1.1\r\nHost: " + job.Host + "\r\n")
	if len(job.Body) > 0 || job.Method == http.MethodPost || job.Method == http.MethodPut || job.Method == http.MethodPatch {
		header.Set("Content-Length", strconv.Itoa(len(job.Body)))
	}
	_ = header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}

// sending is a request on its way. A long body is sent beside the answer, as
// the upstream may answer before it has read all of it.
type sending struct {
	written int
	done    chan error
}

func send(conn io.Writer, head, body []byte) (sending, error) {
	counted := &countedWriter{Writer: conn}
	if len(body) <= wholeBody {
		_, err := counted.Write(append(head, body...))
		return sending{written: counted.written}, err
	}
	_, err := counted.Write(head)
	if err != nil {
		return sending{written: counted.written}, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := conn.Write(body)
		done <- err
	}()
	return sending{written: counted.written, done: done}, nil
}

// finished reports whether the whole request was sent.
func (se sending) finished() bool {
	if se.done == nil {
		return true
	}
	select {
	case err := <-se.done:
		return err == nil
	default:
		return false
	}
}

var errStrays = errors.New("the upstream answers only other requests")

// readAnswer reads the answer to a job, skipping those to other requests, and
// returns how long the connection may be kept.
func (ow *Owner) readAnswer(conn *upstreamConn, job Job, requireEcho bool) (Reply, time.Duration, error) {
	asked := &http.Request{Method: job.Method}
	for range maxStrays {
		response, err := http.ReadResponse(conn.reader, asked)
		if err != nil {
			return Reply{}, 0, fault.Wrap(fault.BrokenAnswer, err, "wait for the upstream")
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return Reply{}, 0, fault.New(fault.BrokenAnswer, "the upstream answered with the status %d", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(response.Body, ow.maxBody)
		_ = response.Body.Close()
		if fault.Is(err, fault.TooLarge) {
			err = fault.New(fault.BrokenAnswer, "the upstream's answer is above max-body, which is %d bytes", ow.maxBody)
		}
		if err != nil {
			return Reply{}, 0, err
		}
		stray, err := ow.checkEcho(response, conn, job, requireEcho)
		if err != nil {
			return Reply{}, 0, err
		}
		if stray {
			continue
		}
		if framed(response, job.Method) || ow.openEnded {
			return ow.judge(response, body, job), keepFor(response), nil
		}
		return Reply{}, 0, fault.New(fault.BrokenAnswer, "the upstream's answer has neither a length nor a chunked end")
	}
	return Reply{}, 0, errStrays
}

// checkEcho reports whether an answer is to another request, which may come
// before that of the job on a connection that was used before.
func (ow *Owner) checkEcho(response *http.Response, conn *upstreamConn, job Job, requireEcho bool) (bool, error) {
	echo := ow.dialect.Echo(response.Header)
	switch {
	case echo == job.Request:
		return false, nil
	case echo != "" && (response.Close || !conn.reused):
		return false, fault.New(fault.BrokenAnswer, "the upstream answered the request %q", echo)
	case echo != "":
		return true, nil
	case requireEcho && (conn.reused || ow.dialect.Refusal(response) == nil):
		return false, fault.New(fault.BrokenAnswer, "the upstream's answer does not echo the request identifier")
	default:
		return false, nil
	}
}

// framed reports whether the end of an answer can be told from a cut.
func framed(response *http.Response, method string) bool {
	return !hasBody(method, response.StatusCode) || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// keepFor returns how long the connection of an answer may be kept.
func keepFor(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	for item := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout="); ok {
			seconds, err := strconv.Atoi(text)
			if err != nil {
				return 0
			}
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleLimit
}

// send runs a job on the local upstream.
func (ow *Owner) send(ctx context.Context, job Job, requireEcho bool) Reply {
	up := ow.target.Load()
	if up == nil {
		return refusal(fault.New(fault.NoUpstream, "the node owns no upstream"))
	}
	return ow.exchange(ctx, up, job, requireEcho || ow.dialect.RequireEcho)
}
