package proxy

import (
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

const headerForwardedFor = "X-Forwarded-For"

// CallMetadata is the metadata that the headers of a caller's request carry.
type CallMetadata struct {
	Request types.RequestID
	Key     types.Option[types.Key]
	// Limit is how long the caller waits for the answer, if the request states
	// it.
	Limit types.Option[time.Duration]
	// Credential is the digest of the key by which the caller shows its team, if the
	// request has one.
	Credential types.Option[types.KeyDigest]
	// Caller is a hash of what the request says about who sends it, or 0 if it says
	// nothing.
	Caller uint64
}

// Dialect defines the header conventions used with callers and upstreams.
type Dialect struct {
	// ReadCall reads the headers of a caller's request, and changes in place the
	// headers that are forwarded to the upstream. If ReadCall returns an error,
	// the error response carries the request identifier of the returned
	// CallMetadata. That identifier is empty if the dialect requires the caller to
	// send one and the caller did not.
	ReadCall func(request *http.Request) (CallMetadata, *fault.Error)
	// WriteWork sets the headers of the request that sends job to the given
	// process of the upstream. now is the current time, from which the time left
	// until the job's deadline is computed.
	WriteWork func(header http.Header, job Job, process types.ProcessID, now time.Time)
	// Echo returns the request identifier that an upstream's response echoes, or
	// "" if it echoes none.
	Echo func(header http.Header) types.RequestID
	// Refusal returns an error if the upstream's response states that the
	// upstream did not run the request, and nil otherwise.
	Refusal func(response *http.Response) *fault.Error
	// Demand returns what the upstream's response says about the work that it takes,
	// or false if the response says nothing that can be relied on.
	Demand func(response *http.Response) (admit.Demand, bool)
	// WriteAnswer sets the headers that are added to an upstream's response before
	// it is sent to the caller.
	WriteAnswer func(header http.Header, request types.RequestID)
	// WriteFault writes an error response to a caller.
	WriteFault func(writer http.ResponseWriter, request types.RequestID, err *fault.Error)
	// RequireEcho is true if responses that do not echo the request identifier
	// are rejected.
	RequireEcho bool
}

// DefaultDialect returns the dialect that uses the headers of this package.
func DefaultDialect() Dialect {
	return Dialect{
		ReadCall:    readCall,
		WriteWork:   writeWork,
		Echo:        func(header http.Header) types.RequestID { return types.RequestID(header.Get(HeaderRequestID)) },
		Refusal:     parseRefusal,
		Demand:      parseDemand,
		WriteAnswer: writeAnswer,
		WriteFault:  writeFault,
	}
}

func readCall(request *http.Request) (CallMetadata, *fault.Error) {
	metadata := CallMetadata{Request: newRequestID(), Key: idempotencyKey(request.Header), Caller: callerHash(request.Header), Credential: ReadCredential(request.Header)}
	limit, err := parseTimeLeft(request.Header)
	metadata.Limit = limit
	if host, _, splitErr := net.SplitHostPort(request.RemoteAddr); splitErr == nil {
		chain := append(request.Header.Values(headerForwardedFor), host)
		request.Header.Set(headerForwardedFor, strings.Join(chain, ", "))
	}
	return metadata, err
}

func newRequestID() types.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return types.RequestID(id.String())
}

func parseTimeLeft(header http.Header) (types.Option[time.Duration], *fault.Error) {
	text := header.Get(HeaderTimeLeft)
	if text == "" {
		return types.None[time.Duration](), nil
	}
	micros, err := strconv.ParseInt(text, 10, 64)
	if err != nil || micros <= 0 || micros > math.MaxInt64/int64(time.Microsecond) {
		return types.None[time.Duration](), fault.New(fault.InvalidInput, "header %s: %q is not a positive number", HeaderTimeLeft, text)
	}
	return types.Some(time.Duration(micros) * time.Microsecond), nil
}

func formatMicros(left time.Duration) string {
	return strconv.FormatInt(left.Microseconds(), 10)
}

func writeWork(header http.Header, job Job, _ types.ProcessID, now time.Time) {
	header.Set(HeaderRequestID, string(job.Request))
	header.Set(HeaderTimeLeft, formatMicros(job.Deadline.Sub(now)))
	if job.Team != "" {
		header.Set(HeaderTeam, string(job.Team))
	}
	if key, ok := job.Key.Get(); ok {
		header.Set(HeaderIdempotencyKey, string(key))
	}
}

func parseRefusal(response *http.Response) *fault.Error {
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == fault.NotRun.String() {
		return shedError(response.Header)
	}
	return nil
}

// shedError returns the error for a response in which the upstream states that it
// did not run the request.
func shedError(header http.Header) *fault.Error {
	err := fault.New(fault.Overloaded, "the upstream shed the request")
	if millis, parseErr := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64); parseErr == nil && millis > 0 {
		return err.WithRetryAfter(time.Duration(millis) * time.Millisecond)
	}
	if seconds, parseErr := strconv.Atoi(header.Get("Retry-After")); parseErr == nil && seconds > 0 {
		return err.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return err
}

func parseDemand(response *http.Response) (admit.Demand, bool) {
	limit, ok := ParseRateLimit(response.Header.Get(HeaderRateLimit))
	return admit.Demand{RateLimit: limit, Leaving: response.Header.Get(HeaderLeaving) == SetFlag}, ok
}

// ParseRateLimit parses a decimal number of requests per second that an upstream takes.
// An empty text is no limit, that is 0. A limit of 0 requests is returned as the smallest
// limit above it. ParseRateLimit returns false for any other text.
func ParseRateLimit(text string) (float64, bool) {
	if text == "" {
		return 0, true
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 1) {
		return 0, false
	}
	return max(limit, math.SmallestNonzeroFloat64), true
}

func writeAnswer(header http.Header, request types.RequestID) {
	header.Set(HeaderRequestID, string(request))
	header.Set(HeaderOutcome, fault.Ran.String())
}

// errorBody is the JSON body of an error response to a caller.
type errorBody struct {
	Kind             string `json:"kind"`
	Message          string `json:"message"`
	Outcome          string `json:"outcome"`
	RequestID        string `json:"request-id"`
	RetryAfterMillis int64  `json:"retry-after-millis,omitempty"`
}

// writeFault writes an error response to a caller.
func writeFault(writer http.ResponseWriter, request types.RequestID, err *fault.Error) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, string(request))
	header.Set(HeaderErrorKind, err.Kind.String())
	header.Set(HeaderOutcome, err.Outcome.String())
	if err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
		header.Set(headerRetryAfter, strconv.FormatInt(err.RetryAfter.Milliseconds(), 10))
	}
	writer.WriteHeader(fault.StatusOf(err.Kind).HTTPStatus)
	_ = json.NewEncoder(writer).Encode(errorBody{
		Kind:             err.Kind.String(),
		Message:          err.Message,
		Outcome:          err.Outcome.String(),
		RequestID:        string(request),
		RetryAfterMillis: err.RetryAfter.Milliseconds(),
	})
}
