package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/heads"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxMismatched is the maximum number of responses, including interim ones,
	// that are read from a connection to find the answer to a job.
	maxMismatched = 8
	// maxInlineBody is the size in bytes up to which a request body is written in
	// full before the answer is read. A larger body is written concurrently.
	maxInlineBody = 16 << 10
)

// exchange sends a job to the upstream and reads the answer. If nothing could be
// written to a reused connection, it tries again on another one.
func (ow *Owner) exchange(ctx context.Context, up *upstream, job Job, requireEcho bool) Result {
	for {
		conn, err := up.getConn(ctx, !job.Route.Idempotent, ow.now())
		if err != nil {
			return notRunResult(fault.Wrap(fault.Unreachable, err, "connect to the upstream"))
		}
		result, sent := ow.exchangeOnConn(ctx, up, conn, job, requireEcho)
		if sent || !conn.reused {
			result.UpstreamEnded = result.Verdict == flow.Lost && conn.head.closed && ctx.Err() == nil && up.ended(ctx)
			return result
		}
	}
}

// exchangeOnConn runs one exchange on conn. It reports whether any byte was
// written; if not, the job can safely be sent on another connection.
func (ow *Owner) exchangeOnConn(ctx context.Context, up *upstream, conn *upstreamConn, job Job, requireEcho bool) (Result, bool) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	head := ow.requestHead(up, job)
	pending, err := writeRequest(conn, head, job.Body)
	if err != nil && pending.written == 0 {
		_ = conn.Close()
		return notRunResult(fault.Wrap(fault.Unreachable, err, "write to the upstream")), false
	}
	if err != nil {
		conn.head.closed = true
		_ = conn.Close()
		return unknownOutcomeResult(fault.Wrap(fault.BrokenAnswer, causeOf(ctx, err), "write to the upstream")), true
	}
	conn.head.checkEnd = func() error { return pending.interrupt(conn) }
	result, keep, err := ow.readResponse(ctx, up, conn, job, requireEcho)
	if err != nil {
		_ = conn.Close()
		if conn.reused {
			up.closeIdle()
		}
		return unknownOutcomeResult(brokenResponseError(causeOf(ctx, err))), true
	}
	// After a refusal, the upstream may write it again, where the next answer is due.
	if !stop() || !pending.finished() || result.Verdict != flow.Answered {
		keep = 0
	}
	up.putConn(conn, keep, ow.now())
	return result, true
}

// brokenResponseError returns an error of kind BrokenAnswer for an answer that
// could not be read.
func brokenResponseError(err error) *fault.Error {
	if fault.Is(err, fault.BrokenAnswer) {
		return fault.From(err)
	}
	return fault.Wrap(fault.BrokenAnswer, err, "read the upstream's answer")
}

// requestHead returns the request line and headers in HTTP/1.1 format.
func (ow *Owner) requestHead(up *upstream, job Job) []byte {
	header := cloneHeader(job.Header)
	ow.dialect.WriteWork(header, job, up.process, ow.now())
	// An empty User-Agent means that the caller sent none; see Entry.readCall.
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

// pendingWrite is a request that is being written. A large body is written while
// the answer is read, because the upstream may answer before it has read the
// complete body.
type pendingWrite struct {
	// written is the number of bytes written before writeRequest returned.
	written int
	// done is closed at the end of the concurrent write of a large body, whose error
	// is then in err. It is nil if the body was written before writeRequest returned.
	done chan struct{}
	err  error
}

func writeRequest(conn io.Writer, head, body []byte) (*pendingWrite, error) {
	counting := &countingWriter{Writer: conn}
	if len(body) <= maxInlineBody {
		_, err := counting.Write(append(head, body...))
		return &pendingWrite{written: counting.written}, err
	}
	_, err := counting.Write(head)
	if err != nil {
		return &pendingWrite{written: counting.written}, err
	}
	pw := &pendingWrite{written: counting.written, done: make(chan struct{})}
	go func() {
		defer close(pw.done)
		_, pw.err = conn.Write(body)
	}()
	return pw, nil
}

// finished reports whether the complete request was written without an error.
func (pw *pendingWrite) finished() bool {
	if pw.done == nil {
		return true
	}
	select {
	case <-pw.done:
		return pw.err == nil
	default:
		return false
	}
}

// interrupt stops the concurrent write when the connection has ended. It returns an error
// if the connection has failed. The operating system reports a failure only once: if the
// write got it, the reader sees an orderly end. If the connection is reset after an orderly
// end, the write fails with EPIPE.
func (pw *pendingWrite) interrupt(conn net.Conn) error {
	if pw.done == nil {
		return nil
	}
	_ = conn.SetWriteDeadline(pastTime)
	<-pw.done
	switch {
	case pw.err == nil, errors.Is(pw.err, unix.EPIPE):
		return nil
	case errors.Is(pw.err, os.ErrDeadlineExceeded), errors.Is(pw.err, net.ErrClosed):
		// The write was still under way.
		return nil
	default:
		return pw.err
	}
}

// errMismatched means that none of the first maxMismatched responses on a
// connection was the answer to the job.
var errMismatched = errors.New("the upstream answers only other requests")

// readResponse reads the answer to a job and skips interim responses and
// answers to other requests. It also returns how long the connection may then
// stay idle.
func (ow *Owner) readResponse(ctx context.Context, up *upstream, conn *upstreamConn, job Job, requireEcho bool) (Result, time.Duration, error) {
	request := &http.Request{Method: job.Method}
	for range maxMismatched {
		conn.head.limit(maxResponseHead)
		response, err := http.ReadResponse(conn.reader, request)
		conn.head.unlimit()
		if err != nil {
			return Result{}, 0, fault.Wrap(fault.BrokenAnswer, err, "wait for the upstream")
		}
		if err := heads.CheckResponse(response); err != nil {
			return Result{}, 0, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return Result{}, 0, fault.New(fault.BrokenAnswer, "the upstream answered with the status %d", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := ow.answers.read(ctx, response, ow.maxBody)
		_ = response.Body.Close()
		if err == nil {
			err = heads.CheckFields(response.Trailer)
		}
		if fault.Is(err, fault.TooLarge) {
			err = fault.New(fault.BrokenAnswer, "the upstream's answer is above max-body, which is %d bytes", ow.maxBody)
		}
		if err != nil {
			return Result{}, 0, err
		}
		mismatched, err := ow.checkEcho(response, conn, job, requireEcho)
		if err != nil {
			return Result{}, 0, err
		}
		if mismatched {
			continue
		}
		if bodyEndKnown(response, job.Method) || ow.closeDelimited {
			demand := ow.demandOf(response, up)
			result := ow.checkResponse(response, body, job)
			result.Demand = demand
			return result, idleTimeoutOf(response), nil
		}
		return Result{}, 0, fault.New(fault.BrokenAnswer, "the upstream's answer has neither a length nor a chunked end")
	}
	return Result{}, 0, errMismatched
}

// demandOf returns what a response of the upstream says about the work that it takes.
func (ow *Owner) demandOf(response *http.Response, up *upstream) types.Option[admit.Demand] {
	demand, ok := ow.dialect.Demand(response)
	if !ok {
		return types.None[admit.Demand]()
	}
	demand.Process = up.process
	return types.Some(demand)
}

// checkEcho compares the request identifier that an answer echoes with that of
// the job. On a reused connection, a late answer to an earlier request may come
// first: checkEcho then returns true, and readResponse skips that answer. checkEcho
// returns an error if the response cannot be the answer to the job, or if
// the response echoes no identifier although it must: requireEcho is true, or it is a
// refusal on a reused connection, which may belong to an earlier request. A refusal on a
// new connection need not echo an identifier.
func (ow *Owner) checkEcho(response *http.Response, conn *upstreamConn, job Job, requireEcho bool) (bool, error) {
	echo := ow.dialect.Echo(response.Header)
	switch {
	case echo == job.Request:
		return false, nil
	case echo != "" && (response.Close || !conn.reused):
		return false, fault.New(fault.BrokenAnswer, "the upstream answered the request %q", echo)
	case echo != "":
		return true, nil
	case ow.dialect.Refusal(response) != nil && conn.reused, ow.dialect.Refusal(response) == nil && requireEcho:
		return false, fault.New(fault.BrokenAnswer, "the upstream's answer does not echo the request identifier")
	default:
		return false, nil
	}
}

// bodyEndKnown reports whether the end of a response's body is known: the response
// has no body, states a length or uses chunked encoding. Otherwise, a truncated
// body cannot be told from a complete one.
func bodyEndKnown(response *http.Response, method string) bool {
	return !hasBody(method, response.StatusCode) || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// idleTimeoutOf returns how long the connection may stay idle after a response.
// If it is 0 or less, the connection must be closed.
func idleTimeoutOf(response *http.Response) time.Duration {
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
	return defaultIdleTimeout
}

// sendToUpstream runs a job on the local upstream.
func (ow *Owner) sendToUpstream(ctx context.Context, job Job, requireEcho bool) Result {
	up := ow.localUpstream.Load()
	if up == nil {
		return notRunResult(fault.New(fault.NoUpstream, "the node owns no upstream"))
	}
	return ow.exchange(ctx, up, job, requireEcho || ow.dialect.RequireEcho)
}
