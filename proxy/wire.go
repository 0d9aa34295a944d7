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
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/memory"
	"sequoiamill.example/sequoiamill/types"
)

// Headers of calls. With DefaultDialect, the exported headers and headerRetryAfter
// are exchanged with callers or upstreams; of these, a caller may send
// HeaderTimeLeft and HeaderIdempotencyKey. All other headers are exchanged between
// nodes only.
const (
	HeaderRequestID      = "Sequoiamill-Request-Id"
	HeaderTimeLeft       = "Sequoiamill-Time-Left-Micros"
	HeaderOutcome        = "Sequoiamill-Outcome"
	HeaderErrorKind      = "Sequoiamill-Error-Kind"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRateLimit is set by an upstream to the number of requests per second that
	// it takes.
	HeaderRateLimit = "Sequoiamill-Rate-Limit"
	// HeaderLeaving is set by an upstream to SetFlag if it accepts no new work.
	HeaderLeaving = "Sequoiamill-Leaving"

	// headerPrefix is the prefix of every header name except Idempotency-Key.
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
	// headerOutstanding, headerQueued, headerLinkWait, headerFaultShare and
	// headerRateWait report the load of the owner's upstream to the entry node.
	headerOutstanding = "Sequoiamill-Outstanding"
	headerQueued      = "Sequoiamill-Queued"
	headerLinkWait    = "Sequoiamill-Link-Wait-Micros"
	headerFaultShare  = "Sequoiamill-Fault-Share"
	headerRateWait    = "Sequoiamill-Rate-Wait-Micros"
	headerRetryAfter  = "Sequoiamill-Retry-After-Millis"
	// headerWorkLeft reports the work that the owner's upstream still has to do, as the
	// wait for a slot and the time to end all work, in microseconds. Owners of earlier
	// builds do not send it.
	headerWorkLeft = "Sequoiamill-Left"
	// headerRan is how long the upstream ran the job and how long it usually runs jobs of
	// the route, in microseconds.
	headerRan = "Sequoiamill-Ran"
	// headerCostFactor is what the job is likely to cost in relation to the usual job of
	// its route.
	headerCostFactor = "Sequoiamill-Cost-Factor"
	// headerLastOwner is set if the entry node will send the call's idempotency
	// key to no other owner.
	headerLastOwner = "Sequoiamill-Last"
	// headerKeyDeclinedBy names an owner that will never run a job with the
	// idempotency key. The header appears once for each such owner.
	headerKeyDeclinedBy = "Sequoiamill-Passed"
	// headerKeyDeclined is set if the replying owner will never run a job with
	// the idempotency key.
	headerKeyDeclined = "Sequoiamill-Passed-On"
	// headerContentLength is the Content-Length of a response without a body.
	headerContentLength = "Sequoiamill-Length"
	headerAtOwner       = "Sequoiamill-At-Owner-Micros"
	// headerRefusedByUpstream is set if the upstream itself refused the job.
	headerRefusedByUpstream = "Sequoiamill-Reached"
	// headerSoftDeadlineLeft is the time left until the soft deadline, in
	// microseconds.
	headerSoftDeadlineLeft = "Sequoiamill-Aim-Left-Micros"
	// headerContent identifies the request when it comes again, as a
	// types.ContentHash.
	headerContent = "Sequoiamill-Content"
	// HeaderTeam names the team of the request, to the owner and to the upstream.
	HeaderTeam = "Sequoiamill-Team"
	// headerUpstreamEnded is set if the upstream's process ended during the attempt.
	headerUpstreamEnded = "Sequoiamill-Upstream-Ended"
)

// SetFlag is the value of a header of an upstream that is either set or absent.
const SetFlag = "1"

// ForwardPath is the HTTP path at which a node accepts jobs from other nodes.
const ForwardPath = "/forward"

const defaultMaxBody = 8 << 20

const (
	// minCostFactor and maxCostFactor limit the cost factors that an owner believes.
	minCostFactor = 0.01
	maxCostFactor = 100.0
	// maxMicros limits the times that a reply reports.
	maxMicros = int64(time.Hour / time.Microsecond)
)

// hopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Response is a complete response of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// ContentLength is the Content-Length of a response that states a length
	// although it has no body: a response to a HEAD request, or a 304.
	ContentLength types.Option[int64]
}

// Job is one attempt at a call, with all that its owner needs to run it.
type Job struct {
	Request   types.RequestID
	EntryNode types.InstanceID
	Route     conf.Route
	Key       types.Option[types.Key]
	Deadline  time.Time
	// SoftDeadline is the time after which the answer is worth less to the
	// caller. Zero means that there is none.
	SoftDeadline time.Time
	// Content identifies the request when it comes again.
	Content types.ContentHash
	// Team is the team of the request, or empty if there is none.
	Team types.TeamName
	// CostFactor is what the job is likely to cost in relation to the usual job of its
	// route, or 0 if that is not known.
	CostFactor float64
	// Credential is the digest of the caller's key. It is not sent to the owner.
	Credential types.Option[types.KeyDigest]
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	// Room is what Body takes of the node's budget. It is nil if there is no body.
	Room *memory.Room
	// LastOwner is true if the entry node will send the idempotency key to no
	// other owner.
	LastOwner bool
	// KeyDeclinedBy holds the owners that declined the idempotency key: they
	// have not run a job with the key and never will.
	KeyDeclinedBy types.Set[types.InstanceID]
}

// keyed reports whether the job is non-idempotent and has an idempotency key,
// under which it runs at most once.
func (j Job) keyed() bool { return !j.Route.Idempotent && j.Key.IsSome() }

// fingerprint returns a hash of the request, by which the owner detects that an
// idempotency key is reused for a different request.
func (j Job) fingerprint() uint64 { return j.hash(0, j.Method, j.Host, j.URI) }

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

// stripInternalHeaders removes the headers that stripHopHeaders removes, and all
// headers whose names start with headerPrefix.
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

func bodyDigest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func writeJobHeaders(header http.Header, job Job, now time.Time) {
	header.Set(HeaderRequestID, string(job.Request))
	header.Set(HeaderTimeLeft, formatMicros(job.Deadline.Sub(now)))
	if !job.SoftDeadline.IsZero() {
		header.Set(headerSoftDeadlineLeft, formatMicros(job.SoftDeadline.Sub(now)))
	}
	header.Set(headerContent, job.Content.String())
	if job.Team != "" {
		header.Set(HeaderTeam, string(job.Team))
	}
	if job.CostFactor > 0 {
		header.Set(headerCostFactor, strconv.FormatFloat(job.CostFactor, 'f', 3, 64))
	}
	header.Set(headerEntry, string(job.EntryNode))
	header.Set(headerService, string(job.Route.Service))
	header.Set(headerRoute, string(job.Route.Name))
	header.Set(headerImportance, job.Route.Importance.String())
	header.Set(headerIdempotent, strconv.FormatBool(job.Route.Idempotent))
	header.Set(headerMethod, job.Method)
	header.Set(headerURI, job.URI)
	header.Set(headerHost, job.Host)
	if key, ok := job.Key.Get(); ok {
		header.Set(HeaderIdempotencyKey, string(key))
	}
	if job.LastOwner {
		header.Set(headerLastOwner, "true")
	}
	for _, id := range job.KeyDeclinedBy.Sorted() {
		header.Add(headerKeyDeclinedBy, string(id))
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
		Request:   types.RequestID(header.Get(HeaderRequestID)),
		EntryNode: types.InstanceID(header.Get(headerEntry)),
		Route: conf.Route{
			Name:       types.RouteName(header.Get(headerRoute)),
			Service:    types.ServiceName(header.Get(headerService)),
			Importance: importance,
			Idempotent: idempotent,
		},
		Team:          types.TeamName(header.Get(HeaderTeam)),
		Key:           idempotencyKey(header),
		Deadline:      now.Add(time.Duration(left) * time.Microsecond),
		Method:        header.Get(headerMethod),
		LastOwner:     header.Get(headerLastOwner) != "",
		KeyDeclinedBy: keyDeclinedBy(header),
		URI:           header.Get(headerURI),
		Host:          header.Get(headerHost),
		Header:        header,
	}
	if softLeft, err := strconv.ParseInt(header.Get(headerSoftDeadlineLeft), 10, 64); err == nil {
		job.SoftDeadline = now.Add(time.Duration(softLeft) * time.Microsecond)
	}
	job.Content, _ = types.ParseContentHash(header.Get(headerContent))
	job.CostFactor = parseCostFactor(header.Get(headerCostFactor))
	stripInternalHeaders(header)
	if job.Request == "" || job.Method == "" || job.URI == "" || job.Route.Service == "" {
		return Job{}, fault.New(fault.InvalidInput, "a header of the forwarded call is missing")
	}
	return job, nil
}

// parseCostFactor returns a cost factor, limited to what estimates reach, or 0 if text is
// missing or is none.
func parseCostFactor(text string) float64 {
	factor, err := strconv.ParseFloat(text, 64)
	if err != nil || !(factor > 0) {
		return 0
	}
	return min(max(factor, minCostFactor), maxCostFactor)
}

func idempotencyKey(header http.Header) types.Option[types.Key] {
	if text := header.Get(HeaderIdempotencyKey); text != "" {
		return types.Some(types.Key(text))
	}
	return types.None[types.Key]()
}

func keyDeclinedBy(header http.Header) types.Set[types.InstanceID] {
	var passed types.Set[types.InstanceID]
	for _, id := range header.Values(headerKeyDeclinedBy) {
		passed = passed.With(types.InstanceID(id))
	}
	return passed
}
