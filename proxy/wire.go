// Package proxy carries calls between callers, nodes and upstreams. Its two
// roles are Entry, which accepts the requests of callers, and Owner, which runs
// jobs on the node's local upstream; nothing else sends work to that upstream.
// An Entry hands each attempt to the Owner on its own node or, through a
// Forwarder, to one on another node.
//
// # Usage
//
//	owner := proxy.NewOwner(post, load, now, proxy.WithMaxBody(1<<20))
//	forward := proxy.NewForwarder(now, 1<<20)
//	entry := proxy.NewEntry(self, post, owner, forward, now)
//	server := http.Server{Handler: entry}
package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/flow"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// Headers of calls. With OwnDialect, a caller may send HeaderTimeLeft and
// HeaderKey, and the exported headers and headerRetryAfter are exchanged with
// callers or upstreams. The others are exchanged between nodes only.
const (
	HeaderRequestID = "Sequoiamill-Request-Id"
	HeaderTimeLeft  = "Sequoiamill-Time-Left-Micros"
	HeaderOutcome   = "Sequoiamill-Outcome"
	HeaderErrorKind = "Sequoiamill-Error-Kind"
	HeaderKey       = "Idempotency-Key"

	// headerPrefix starts the name of each header but Idempotency-Key.
	headerPrefix     = "Sequoiamill-"
	headerEntry      = "Sequoiamill-Entry"
	headerService    = "Sequoiamill-Service"
	headerRoute      = "Sequoiamill-Route"
	headerImportance = "Sequoiamill-Importance"
	headerIdempotent = "Sequoiamill-Idempotent"
	headerMethod     = "Sequoiamill-Method"
	headerURI        = "Sequoiamill-Uri"
	headerHost       = "Sequoiamill-Host"
	// headerVerdict says how the attempt ended, as a flow.Verdict.
	headerVerdict = "Sequoiamill-Verdict"
	headerStatus  = "Sequoiamill-Status"
	// headerDigest is the xxHash64 of the body in hexadecimal.
	headerDigest = "Sequoiamill-Digest"
	// headerOutstanding, headerQueued, headerLinkWait and headerFaults report the
	// load of the owner's upstream to the entry node.
	headerOutstanding = "Sequoiamill-Outstanding"
	headerQueued      = "Sequoiamill-Queued"
	headerLinkWait    = "Sequoiamill-Link-Wait-Micros"
	headerFaults      = "Sequoiamill-Fault-Share"
	headerRetryAfter  = "Sequoiamill-Retry-After-Millis"
	// headerLast is set if the call will try no other owner for its idempotency
	// key.
	headerLast = "Sequoiamill-Last"
	// headerPassed names an owner that will never run the idempotency key. It
	// may repeat.
	headerPassed = "Sequoiamill-Passed"
	// headerPassedOn is set if the replying owner will never run the idempotency
	// key.
	headerPassedOn = "Sequoiamill-Passed-On"
	// headerLength is the Content-Length of a response without a body.
	headerLength  = "Sequoiamill-Length"
	headerAtOwner = "Sequoiamill-At-Owner-Micros"
	// headerReached is set if the upstream itself refused the job.
	headerReached = "Sequoiamill-Reached"
	// headerAimLeft is the time left until the soft deadline.
	headerAimLeft = "Sequoiamill-Aim-Left-Micros"
)

// ForwardPath is the HTTP path at which a node accepts jobs from other nodes.
const ForwardPath = "/forward"

const defaultMaxBody = 8 << 20

// hopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Answer is a complete response of an upstream.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the Content-Length of a response without a body: one to a HEAD
	// request, or a 304.
	Length types.Option[int64]
}

// Job is one attempt at a call, with all that its owner needs to run it.
type Job struct {
	Request  types.RequestID
	Entry    types.InstanceID
	Route    conf.Route
	Key      types.Option[types.Key]
	Deadline time.Time
	// Aim is the soft deadline, after which the answer is worth less to the
	// caller. Zero means that there is none.
	Aim    time.Time
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Last is true if the call will try no other owner for the idempotency key.
	Last bool
	// Passed holds the owners that declined the idempotency key: they have not
	// run it and never will.
	Passed types.Set[types.InstanceID]
}

// keyed reports whether the job is non-idempotent and has an idempotency key,
// under which it runs at most once.
func (j Job) keyed() bool { return !j.Route.Idempotent && j.Key.IsSome() }

// fingerprint returns a hash of the request, by which the owner detects that an
// idempotency key is reused for a different request.
func (j Job) fingerprint() uint64 {
	hash := xxhash.New()
	for _, text := range []string{j.Method, j.Host, j.URI} {
		_, _ = hash.WriteString(text + "\n")
	}
	_, _ = hash.Write(j.Body)
	return hash.Sum64()
}

// Reply is the result of a job at its owner.
type Reply struct {
	Verdict flow.Verdict
	// Err says why the verdict is not Answered.
	Err    *fault.Error
	Load   route.Load
	Answer Answer
	// Reached is true if it was the upstream, not the owner, that refused the
	// job.
	Reached bool
	// PassedOn is true if the owner will never run the job's idempotency key, so
	// that another owner may.
	PassedOn bool
	// AtUpstream is the duration of the exchange with the upstream. AtOwner is
	// the time that a forwarded job spent at its owner, that exchange included.
	AtUpstream time.Duration
	AtOwner    time.Duration
}

// notRunReply returns the reply to a job that did not run.
func notRunReply(err *fault.Error) Reply { return Reply{Verdict: flow.NotRun, Err: err} }

// unknownOutcomeReply returns the reply to a job that may have run.
func unknownOutcomeReply(err *fault.Error) Reply { return Reply{Verdict: flow.Lost, Err: err} }

// stripHopHeaders removes hopHeaders and the headers that Connection names.
func stripHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}

// stripInternalHeaders removes the headers of a single connection and all
// headers that start with headerPrefix.
func stripInternalHeaders(header http.Header) {
	stripHopHeaders(header)
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
}

// cloneHeader returns a copy of header, which is empty if header is nil.
func cloneHeader(header http.Header) http.Header {
	if header == nil {
		return http.Header{}
	}
	return header.Clone()
}

// readBody reads a body. If it has more than limit bytes, the error is of kind
// TooLarge.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, fault.New(fault.TooLarge, "the body has more than %d bytes", limit)
	}
	return text, nil
}

// bodyReadError returns the error to answer with when the body of a request
// could not be read. It is InvalidInput if err has no kind of its own.
func bodyReadError(err error) *fault.Error {
	known := fault.From(err)
	if known.Kind == fault.Internal {
		return fault.Wrap(fault.InvalidInput, err, "read the request")
	}
	return known
}

func bodyDigest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func writeJobHeaders(header http.Header, job Job, now time.Time) {
	header.Set(HeaderRequestID, string(job.Request))
	header.Set(HeaderTimeLeft, formatMicros(job.Deadline.Sub(now)))
	if !job.Aim.IsZero() {
		header.Set(headerAimLeft, formatMicros(job.Aim.Sub(now)))
	}
	header.Set(headerEntry, string(job.Entry))
	header.Set(headerService, string(job.Route.Service))
	header.Set(headerRoute, string(job.Route.Name))
	header.Set(headerImportance, job.Route.Importance.String())
	header.Set(headerIdempotent, strconv.FormatBool(job.Route.Idempotent))
	header.Set(headerMethod, job.Method)
	header.Set(headerURI, job.URI)
	header.Set(headerHost, job.Host)
	if key, ok := job.Key.Get(); ok {
		header.Set(HeaderKey, string(key))
	}
	if job.Last {
		header.Set(headerLast, "true")
	}
	for _, id := range job.Passed.Sorted() {
		header.Add(headerPassed, string(id))
	}
}

func readJobHeaders(header http.Header, now time.Time) (Job, error) {
	left, err := strconv.ParseInt(header.Get(HeaderTimeLeft), 10, 64)
	if err != nil {
		return Job{}, fault.New(fault.InvalidInput, "the time left %q is not a number", header.Get(HeaderTimeLeft))
	}
	importance, ok := conf.ParseImportance(header.Get(headerImportance))
	if !ok {
		return Job{}, fault.New(fault.InvalidInput, "the importance %q is not known", header.Get(headerImportance))
	}
	idempotent, err := strconv.ParseBool(header.Get(headerIdempotent))
	if err != nil {
		return Job{}, fault.New(fault.InvalidInput, "the idempotent mark %q is not true or false", header.Get(headerIdempotent))
	}
	job := Job{
		Request: types.RequestID(header.Get(HeaderRequestID)),
		Entry:   types.InstanceID(header.Get(headerEntry)),
		Route: conf.Route{
			Name:       types.RouteName(header.Get(headerRoute)),
			Service:    types.ServiceName(header.Get(headerService)),
			Importance: importance,
			Idempotent: idempotent,
		},
		Key:      idempotencyKey(header),
		Deadline: now.Add(time.Duration(left) * time.Microsecond),
		Method:   header.Get(headerMethod),
		Last:     header.Get(headerLast) != "",
		Passed:   passedOwners(header),
		URI:      header.Get(headerURI),
		Host:     header.Get(headerHost),
		Header:   header,
	}
	if aim, err := strconv.ParseInt(header.Get(headerAimLeft), 10, 64); err == nil {
		job.Aim = now.Add(time.Duration(aim) * time.Microsecond)
	}
	stripInternalHeaders(header)
	if job.Request == "" || job.Method == "" || job.URI == "" || job.Route.Service == "" {
		return Job{}, fault.New(fault.InvalidInput, "a header of the forwarded call is missing")
	}
	return job, nil
}

func idempotencyKey(header http.Header) types.Option[types.Key] {
	if text := header.Get(HeaderKey); text != "" {
		return types.Some(types.Key(text))
	}
	return types.None[types.Key]()
}

func passedOwners(header http.Header) types.Set[types.InstanceID] {
	var passed types.Set[types.InstanceID]
	for _, id := range header.Values(headerPassed) {
		passed = passed.With(types.InstanceID(id))
	}
	return passed
}

func (ow *Owner) writeReply(ctx context.Context, writer http.ResponseWriter, request types.RequestID, reply Reply) {
	header := writer.Header()
	for name, values := range reply.Answer.Header {
		header[name] = values
	}
	header.Set(HeaderRequestID, string(request))
	header.Set(headerVerdict, reply.Verdict.String())
	header.Set(headerOutstanding, strconv.Itoa(reply.Load.Outstanding))
	header.Set(headerQueued, strconv.Itoa(reply.Load.Queued))
	header.Set(headerLinkWait, formatMicros(reply.Load.LinkWait))
	header.Set(headerFaults, strconv.FormatFloat(reply.Load.FaultShare, 'f', 3, 64))
	header.Set(headerAtOwner, formatMicros(reply.AtOwner))
	body := reply.Answer.Body
	if reply.Err != nil {
		body = []byte(reply.Err.Message)
		header.Set(HeaderErrorKind, reply.Err.Kind.String())
		header.Set(HeaderOutcome, reply.Err.Outcome.String())
		header.Set(headerRetryAfter, strconv.FormatInt(reply.Err.RetryAfter.Milliseconds(), 10))
	}
	if reply.Reached {
		header.Set(headerReached, "true")
	}
	if reply.PassedOn {
		header.Set(headerPassedOn, "true")
	}
	if length, ok := reply.Answer.Length.Get(); ok {
		header.Set(headerLength, strconv.FormatInt(length, 10))
	}
	header.Set(headerStatus, strconv.Itoa(reply.Answer.Status))
	header.Set(headerDigest, bodyDigest(body))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(http.StatusOK)
	if ow.link.write(ctx, writer, body, ow.now) != nil {
		// Close the connection, so that the entry node sees a truncated reply.
		panic(http.ErrAbortHandler)
	}
}

func readReply(response *http.Response, request types.RequestID, limit int64) (Reply, error) {
	body, err := readBody(response.Body, limit)
	if err != nil {
		return Reply{}, err
	}
	header := response.Header
	if header.Get(HeaderRequestID) != string(request) {
		return Reply{}, fault.New(fault.BrokenAnswer, "the answer is for the request %q", header.Get(HeaderRequestID))
	}
	if header.Get(headerDigest) != bodyDigest(body) {
		return Reply{}, fault.New(fault.BrokenAnswer, "the answer's digest does not match")
	}
	atOwner, _ := strconv.ParseInt(header.Get(headerAtOwner), 10, 64)
	reply := Reply{Load: parseLoad(header), AtOwner: time.Duration(atOwner) * time.Microsecond}
	switch header.Get(headerVerdict) {
	case flow.Answered.String():
		status, err := strconv.Atoi(header.Get(headerStatus))
		if err != nil || status < http.StatusOK {
			return Reply{}, fault.New(fault.BrokenAnswer, "the answer's status is %q", header.Get(headerStatus))
		}
		reply.Verdict = flow.Answered
		reply.Answer = Answer{Status: status, Header: header, Body: body}
		if length, err := strconv.ParseInt(header.Get(headerLength), 10, 64); err == nil {
			reply.Answer.Length = types.Some(length)
		}
		stripInternalHeaders(header)
		return reply, nil
	case flow.NotRun.String():
		reply.Verdict = flow.NotRun
		reply.PassedOn = header.Get(headerPassedOn) != ""
		reply.Reached = header.Get(headerReached) != ""
	default:
		reply.Verdict = flow.Lost
	}
	reply.Err = parseError(header, body)
	return reply, nil
}

// parseLoad reads the load of an owner's upstream from the headers of a reply.
// Values that are missing or invalid count as 0.
func parseLoad(header http.Header) route.Load {
	outstanding, _ := strconv.Atoi(header.Get(headerOutstanding))
	queued, _ := strconv.Atoi(header.Get(headerQueued))
	linkWait, _ := strconv.ParseInt(header.Get(headerLinkWait), 10, 64)
	faults, _ := strconv.ParseFloat(header.Get(headerFaults), 64)
	return route.Load{
		FaultShare:  min(max(0, faults), 1),
		Outstanding: max(0, outstanding),
		Queued:      max(0, queued),
		LinkWait:    time.Duration(max(0, linkWait)) * time.Microsecond,
	}
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
