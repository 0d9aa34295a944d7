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

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

const headerForwardedFor = "X-Forwarded-For"

// CallHead is what the headers of a caller's request say.
type CallHead struct {
	Request types.RequestID
	Key     types.Option[types.Key]
	// Limit is the time that the caller waits, if it said so.
	Limit types.Option[time.Duration]
}

// Dialect is how callers and upstreams spell what a call carries.
type Dialect struct {
	// ReadCall reads a caller's headers and changes those that go on to the
	// upstream. The head names the request even if there is an error.
	ReadCall func(request *http.Request) (CallHead, *fault.Error)
	// WriteWork sets the headers that the upstream is told.
	WriteWork func(header http.Header, job Job, process types.ProcessID, now time.Time)
	// Echo returns the request that an answer of the upstream names, if any.
	Echo func(header http.Header) types.RequestID
	// Refusal returns an error if the upstream states that it did not run the
	// request.
	Refusal func(response *http.Response) *fault.Error
	// WriteAnswer sets the headers of an upstream's answer for the caller.
	WriteAnswer func(header http.Header, request types.RequestID)
	// WriteFault answers a caller with an error.
	WriteFault func(writer http.ResponseWriter, request types.RequestID, err *fault.Error)
	// RequireEcho refuses answers that do not name their request.
	RequireEcho bool
}

// OwnDialect returns the dialect of this project's own headers.
func OwnDialect() Dialect {
	return Dialect{
		ReadCall:    readCall,
		WriteWork:   writeWork,
		Echo:        func(header http.Header) types.RequestID { return types.RequestID(header.Get(HeaderRequestID)) },
		Refusal:     refusalOf,
		WriteAnswer: writeAnswer,
		WriteFault:  writeFault,
	}
}

func readCall(request *http.Request) (CallHead, *fault.Error) {
	head := CallHead{Request: newRequestID(), Key: keyOf(request.Header)}
	limit, err := limitOf(request.Header)
	head.Limit = limit
	if host, _, splitErr := net.SplitHostPort(request.RemoteAddr); splitErr == nil {
		chain := append(request.Header.Values(headerForwardedFor), host)
		request.Header.Set(headerForwardedFor, strings.Join(chain, ", "))
	}
	return head, err
}

func newRequestID() types.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return types.RequestID(id.String())
}

func limitOf(header http.Header) (types.Option[time.Duration], *fault.Error) {
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
	if key, ok := job.Key.Get(); ok {
		header.Set(HeaderKey, string(key))
	}
}

func refusalOf(response *http.Response) *fault.Error {
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == fault.NotRun.String() {
		return shedFault(response.Header)
	}
	return nil
}

// shedFault returns the error of an upstream that states not to have run the
// request.
func shedFault(header http.Header) *fault.Error {
	err := fault.New(fault.Overloaded, "the upstream shed the request")
	if millis, parseErr := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64); parseErr == nil && millis > 0 {
		return err.WithRetryAfter(time.Duration(millis) * time.Millisecond)
	}
	if seconds, parseErr := strconv.Atoi(header.Get("Retry-After")); parseErr == nil && seconds > 0 {
		return err.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return err
}

func writeAnswer(header http.Header, request types.RequestID) {
	header.Set(HeaderRequestID, string(request))
	header.Set(HeaderOutcome, fault.Ran.String())
}

type faultWire struct {
	Kind             string `json:"kind"`
	Message          string `json:"message"`
	Outcome          string `json:"outcome"`
	RequestID        string `json:"request-id"`
	RetryAfterMillis int64  `json:"retry-after-millis,omitempty"`
}

// writeFault answers a caller with an error.
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
	writer.WriteHeader(fault.AnswerOf(err.Kind).HTTPStatus)
	_ = json.NewEncoder(writer).Encode(faultWire{
		Kind:             err.Kind.String(),
		Message:          err.Message,
		Outcome:          err.Outcome.String(),
		RequestID:        string(request),
		RetryAfterMillis: err.RetryAfter.Milliseconds(),
	})
}
