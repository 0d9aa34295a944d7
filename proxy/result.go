package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// maxStatus is the greatest status of three digits.
const maxStatus = 999

// Result is the result of a job at its owner.
type Result struct {
	Verdict flow.Verdict
	// Err says why the verdict is not Answered.
	Err      *fault.Error
	Load     route.Load
	Response Response
	// Demand is what the upstream's answer says about the work that it takes. It is
	// none if the result comes from another node.
	Demand types.Option[admit.Demand]
	// RefusedByUpstream is true if it was the upstream, not the owner, that
	// refused the job.
	RefusedByUpstream bool
	// UpstreamEnded is true if the upstream closed the connection before it had
	// answered and takes no new ones.
	UpstreamEnded bool
	// KeyDeclined is true if the owner will never run a job with this
	// idempotency key, so that another owner may run one.
	KeyDeclined bool
	// AtUpstream is the duration of the exchange with the upstream. AtOwner is
	// the time that a forwarded job spent at its owner, including that exchange.
	AtUpstream time.Duration
	AtOwner    time.Duration
	// Lasting is how long the upstream usually runs jobs of the route apart from short
	// spells, or 0 if that is not known.
	Lasting time.Duration
}

// notRunResult returns the result of a job that did not run.
func notRunResult(err *fault.Error) Result { return Result{Verdict: flow.NotRun, Err: err} }

// unknownOutcomeResult returns the result of a job that may have run.
func unknownOutcomeResult(err *fault.Error) Result { return Result{Verdict: flow.Lost, Err: err} }

func (ow *Owner) writeResult(ctx context.Context, writer http.ResponseWriter, request types.RequestID, result Result) {
	header := writer.Header()
	for name, values := range result.Response.Header {
		header[name] = values
	}
	header.Set(HeaderRequestID, string(request))
	header.Set(headerVerdict, result.Verdict.String())
	writeLoad(header, result.Load)
	header.Set(headerAtOwner, formatMicros(result.AtOwner))
	if result.Verdict == flow.Answered && result.AtUpstream > 0 {
		header.Set(headerRan, formatPair(result.AtUpstream, result.Lasting))
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // keeps net/http from adding one
		}
	}
	body := result.Response.Body
	if result.Err != nil {
		body = []byte(result.Err.Message)
		header.Set(HeaderErrorKind, result.Err.Kind.String())
		header.Set(HeaderOutcome, result.Err.Outcome.String())
		header.Set(headerRetryAfter, strconv.FormatInt(result.Err.RetryAfter.Milliseconds(), 10))
	}
	if result.RefusedByUpstream {
		header.Set(headerRefusedByUpstream, "true")
	}
	if result.KeyDeclined {
		header.Set(headerKeyDeclined, "true")
	}
	if result.UpstreamEnded {
		header.Set(headerUpstreamEnded, "true")
	}
	if length, ok := result.Response.ContentLength.Get(); ok {
		header.Set(headerContentLength, strconv.FormatInt(length, 10))
	}
	header.Set(headerStatus, strconv.Itoa(result.Response.Status))
	header.Set(headerDigest, bodyDigest(body))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	// The reply to a plain job is plain, and says that compact ones are taken.
	if header.Get(headerTakesCompact) == "" {
		compact(header)
	}
	writer.WriteHeader(http.StatusOK)
	if ow.pacer.write(ctx, writer, body, ow.now) != nil {
		// Close the connection, so that the entry node sees a truncated reply.
		panic(http.ErrAbortHandler)
	}
}

func readResult(response *http.Response, request types.RequestID, limit int64) (Result, error) {
	body, err := readBody(response, limit)
	if err != nil {
		return Result{}, err
	}
	header := response.Header
	if header.Get(HeaderRequestID) != string(request) {
		return Result{}, fault.New(fault.BrokenAnswer, "the answer is for the request %q", header.Get(HeaderRequestID))
	}
	if header.Get(headerDigest) != bodyDigest(body) {
		return Result{}, fault.New(fault.BrokenAnswer, "the answer's digest does not match")
	}
	atOwner, _ := strconv.ParseInt(header.Get(headerAtOwner), 10, 64)
	result := Result{Load: parseLoad(header), AtOwner: time.Duration(atOwner) * time.Microsecond}
	result.AtUpstream, result.Lasting, _ = parsePair(header.Get(headerRan))
	switch header.Get(headerVerdict) {
	case flow.Answered.String():
		status, err := strconv.Atoi(header.Get(headerStatus))
		if err != nil || status < http.StatusOK || status > maxStatus {
			return Result{}, fault.New(fault.BrokenAnswer, "the answer's status is %q", header.Get(headerStatus))
		}
		result.Verdict = flow.Answered
		result.Response = Response{Status: status, Header: header, Body: body}
		if length, err := strconv.ParseInt(header.Get(headerContentLength), 10, 64); err == nil {
			result.Response.ContentLength = types.Some(length)
		}
		stripInternalHeaders(header)
		return result, nil
	case flow.NotRun.String():
		result.Verdict = flow.NotRun
		result.KeyDeclined = header.Get(headerKeyDeclined) != ""
		result.RefusedByUpstream = header.Get(headerRefusedByUpstream) != ""
	default:
		result.Verdict = flow.Lost
		result.UpstreamEnded = header.Get(headerUpstreamEnded) != ""
	}
	result.Err = parseError(header, body)
	return result, nil
}

func parseError(header http.Header, body []byte) *fault.Error {
	kind, _ := fault.ParseKind(header.Get(HeaderErrorKind))
	millis, _ := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64)
	err := fault.New(kind, "%s", body).WithRetryAfter(time.Duration(max(millis, 0)) * time.Millisecond)
	if header.Get(HeaderOutcome) == fault.Unknown.String() {
		err = err.WithOutcome(fault.Unknown)
	}
	return err
}
