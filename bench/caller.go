package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/heads"
	"sequoiamill.example/sequoiamill/proxy"
)

const (
	maxIdleConnsPerHost = 1024
	// maxRecordedLatency is the upper limit of the latency histograms.
	maxRecordedLatency = 60 * time.Second
	// histogramDigits is the number of significant digits of the latencies.
	histogramDigits = 3
	maxInFlight     = 12000
	// callerGrace is how long after the call's deadline a caller still waits for
	// the answer.
	callerGrace = 2 * time.Second
	// maxEntryAttempts is the maximum number of entry nodes that a caller tries
	// for one call.
	maxEntryAttempts = 3
)

// CallStatus classifies the result of one call, as the caller sees it.
type CallStatus int

// The statuses of a call.
const (
	// Completed means that the caller received the complete answer to its own call.
	Completed CallStatus = iota
	// Refused means that the call was refused and did not run at an upstream.
	Refused
	// Unknown means that the call failed and may have run at an upstream.
	Unknown
	// Failed means that the caller received no answer, an incomplete answer or
	// the answer to another call, or that it did not send the call because
	// maxInFlight calls were in flight.
	Failed
	callStatusCount
)

// Result is the result of one call. The latency counts from the scheduled time
// of the call, so that it includes the delay of calls that were sent late.
type Result struct {
	Arrival Arrival
	Status  CallStatus
	Latency time.Duration
	// HasRetryAfter is true if the error answer has a Retry-After header.
	HasRetryAfter bool
	// EntryAttempts is the number of entry nodes to which the caller sent the
	// call. The caller tries the next entry node if it cannot connect or if the
	// entry node is stopping or not ready.
	EntryAttempts int
	// ErrorKind is the error kind in the answer; empty if there was no error.
	ErrorKind string
}

// CallResults holds the results of all calls of one run.
type CallResults struct {
	Classes []CallClass
	Results []Result
	// WrongAnswers is the number of answers whose body is not the one expected for
	// the call.
	WrongAnswers int
	// Upstreams holds what the upstreams counted during the run.
	Upstreams upstreamCounts
}

// caller is an open-loop load generator: it sends each call at its scheduled
// time, whether or not earlier calls have ended.
type caller struct {
	client   *http.Client
	load     Load
	entries  []string
	deadline time.Duration
	start    time.Time
	mu       sync.Mutex
	results  CallResults
	inFlight chan struct{}
}

func newCaller(load Load, entries []string, deadline time.Duration) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	return &caller{
		client:   &http.Client{Transport: heads.NewTransport(transport)},
		load:     load,
		entries:  entries,
		deadline: deadline,
		results:  CallResults{Classes: load.Classes},
		inFlight: make(chan struct{}, maxInFlight),
	}
}

// run sends all calls of the schedule and waits until each has ended.
func (cl *caller) run(ctx context.Context) CallResults {
	defer cl.client.CloseIdleConnections()
	var calls sync.WaitGroup
	cl.start = time.Now()
	for number, arrival := range cl.load.Schedule(len(cl.entries)) {
		if !sleep(ctx, time.Until(cl.start.Add(arrival.At))) {
			break
		}
		select {
		case cl.inFlight <- struct{}{}:
		default:
			cl.record(Result{Arrival: arrival, Status: Failed, Latency: cl.deadline}, false)
			continue
		}
		calls.Go(func() {
			cl.call(number, arrival)
			<-cl.inFlight
		})
	}
	calls.Wait()
	return cl.results
}

func (cl *caller) call(number int, arrival Arrival) {
	ctx, cancel := context.WithTimeout(context.Background(), cl.deadline+callerGrace)
	defer cancel()
	id := fmt.Sprintf("%d-%d", cl.load.Seed, number)
	result := Result{Arrival: arrival, Status: Failed}
	wrong := false
	header := cl.header(id, arrival)
	for entry := arrival.Entry; ; entry++ {
		result.EntryAttempts++
		request, err := cl.request(ctx, entry, id, arrival)
		if err != nil {
			break
		}
		request.Header = header
		wrong, err = cl.send(request, id, &result)
		if result.EntryAttempts == maxEntryAttempts || !isDialError(err) && !result.refusedByEntry() {
			break
		}
	}
	result.Latency = time.Since(cl.start.Add(arrival.At))
	cl.record(result, wrong)
}

// refusedByEntry reports whether the entry node refused the call because it is
// stopping or not ready. The caller then tries another entry node.
func (rs Result) refusedByEntry() bool {
	return rs.Status == Refused && (rs.ErrorKind == fault.Stopping.String() || rs.ErrorKind == fault.NotReady.String())
}

// isDialError reports whether err means that no connection was established.
func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func (cl *caller) request(ctx context.Context, entry int, id string, arrival Arrival) (*http.Request, error) {
	class := cl.load.Classes[arrival.Class]
	method := http.MethodGet
	if class.NonIdempotent {
		method = http.MethodPost
	}
	url := "http://" + cl.entries[entry%len(cl.entries)] + class.Path + "/" + id
	return http.NewRequestWithContext(ctx, method, url, nil)
}

func (cl *caller) header(id string, arrival Arrival) http.Header {
	class := cl.load.Classes[arrival.Class]
	header := http.Header{}
	header.Set(headerCall, id)
	header.Set(headerWork, strconv.FormatInt(class.ProcessingTime.Microseconds(), 10))
	header.Set(headerSize, strconv.Itoa(arrival.AnswerBytes))
	if class.NonIdempotent {
		header.Set(headerKey, newIdempotencyKey())
	}
	return header
}

func newIdempotencyKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		key = uuid.New()
	}
	return key.String()
}

// send sends a request, stores the status of the call in result, and reports
// whether the answer has the wrong body.
func (cl *caller) send(request *http.Request, id string, result *Result) (wrong bool, err error) {
	response, err := cl.client.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false, err
	}
	if response.StatusCode == http.StatusOK {
		if string(body) != answerBody(id, result.Arrival.AnswerBytes) {
			return true, nil
		}
		result.Status, result.ErrorKind = Completed, ""
		return false, nil
	}
	result.ErrorKind = response.Header.Get(proxy.HeaderErrorKind)
	result.HasRetryAfter = response.Header.Get("Retry-After") != ""
	result.Status = Unknown
	if response.Header.Get(proxy.HeaderOutcome) == fault.NotRun.String() {
		result.Status = Refused
	}
	return false, nil
}

func (cl *caller) record(result Result, wrong bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.results.Results = append(cl.results.Results, result)
	if wrong {
		cl.results.WrongAnswers++
	}
}

// Filter returns a copy with only the results for which match returns true.
func (cr CallResults) Filter(match func(Result) bool) CallResults {
	var chosen []Result
	for _, result := range cr.Results {
		if match(result) {
			chosen = append(chosen, result)
		}
	}
	cr.Results = chosen
	return cr
}

// WithClass returns a copy with only the calls of the named class.
func (cr CallResults) WithClass(name string) CallResults {
	return cr.Filter(func(result Result) bool { return cr.Classes[result.Arrival.Class].Name == name })
}

// Between returns a copy with only the calls that were scheduled at or after from
// and before to.
func (cr CallResults) Between(from, to time.Duration) CallResults {
	return cr.Filter(func(result Result) bool { return result.Arrival.At >= from && result.Arrival.At < to })
}

// WithStatus returns a copy with only the calls that have the given status.
func (cr CallResults) WithStatus(status CallStatus) CallResults {
	return cr.Filter(func(result Result) bool { return result.Status == status })
}

// Share returns the fraction of the calls that have the given status.
func (cr CallResults) Share(status CallStatus) float64 {
	return float64(len(cr.WithStatus(status).Results)) / float64(len(cr.Results))
}

// errorKindCounts returns the number of error answers of each kind.
func (cr CallResults) errorKindCounts() map[string]int {
	counts := map[string]int{}
	for _, result := range cr.Results {
		if result.ErrorKind != "" {
			counts[result.ErrorKind]++
		}
	}
	return counts
}

// LatencyMillis returns a percentile (0 to 100) of the latencies in milliseconds,
// or NaN if there are no calls.
func (cr CallResults) LatencyMillis(percentile float64) float64 {
	if len(cr.Results) == 0 {
		return math.NaN()
	}
	histogram := hdrhistogram.New(1, maxRecordedLatency.Microseconds(), histogramDigits)
	for _, result := range cr.Results {
		_ = histogram.RecordValue(min(max(result.Latency.Microseconds(), 1), maxRecordedLatency.Microseconds()))
	}
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}
