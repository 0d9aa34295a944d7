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
	"sequoiamill.example/sequoiamill/proxy"
)

const (
	maxIdleConnsPerHost = 1024
	// maxRecordedLatency is the upper limit of the latency histograms.
	maxRecordedLatency = 60 * time.Second
	// histogramDigits is the number of significant digits of the latencies.
	histogramDigits = 3
	maxInFlight     = 12000
	// callerGrace is how long a caller waits for the answer after the deadline.
	callerGrace = 2 * time.Second
	// maxEntryAttempts is the number of entry nodes that a caller tries.
	maxEntryAttempts = 3
)

// Ending classifies the result of one call, as the caller sees it.
type Ending int

// The endings of a call.
const (
	// Whole means that the caller received the complete answer to its own call.
	Whole Ending = iota
	// Refused means that the call was refused and did not run at an upstream.
	Refused
	// Unknown means that the call failed and may have run at an upstream.
	Unknown
	// Broken means that the caller received no answer, an incomplete answer or
	// the answer to another call, or that it did not send the call because
	// maxInFlight calls were in flight.
	Broken
	endingCount
)

// Result is the result of one call. The latency counts from the scheduled time
// of the call, so that it includes the delay of calls that were sent late.
type Result struct {
	Arrival Arrival
	Ending  Ending
	Latency time.Duration
	// Promised is true if the error answer has a Retry-After header.
	Promised bool
	// Tries counts the entry nodes that the caller sent the call to. The caller
	// tries the next entry node if it cannot connect or if the entry node is
	// stopping or not ready.
	Tries int
	// Kind is the error kind in the answer, empty if there was no error.
	Kind string
}

// Outcome holds the results of all calls of one run.
type Outcome struct {
	Classes []Class
	Results []Result
	// Wrong counts answers whose body is not the one expected for the call.
	Wrong int
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
	outcome  Outcome
	inFlight chan struct{}
}

func newCaller(load Load, entries []string, deadline time.Duration) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	return &caller{
		client:   &http.Client{Transport: transport},
		load:     load,
		entries:  entries,
		deadline: deadline,
		outcome:  Outcome{Classes: load.Classes},
		inFlight: make(chan struct{}, maxInFlight),
	}
}

// run sends all calls of the schedule and waits until each has ended.
func (cl *caller) run(ctx context.Context) Outcome {
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
			cl.record(Result{Arrival: arrival, Ending: Broken, Latency: cl.deadline}, false)
			continue
		}
		calls.Go(func() {
			cl.call(number, arrival)
			<-cl.inFlight
		})
	}
	calls.Wait()
	return cl.outcome
}

func (cl *caller) call(number int, arrival Arrival) {
	ctx, cancel := context.WithTimeout(context.Background(), cl.deadline+callerGrace)
	defer cancel()
	id := fmt.Sprintf("%d-%d", cl.load.Seed, number)
	result := Result{Arrival: arrival, Ending: Broken}
	wrong := false
	header := cl.header(id, arrival)
	for entry := arrival.Entry; ; entry++ {
		result.Tries++
		request, err := cl.request(ctx, entry, id, arrival)
		if err != nil {
			break
		}
		request.Header = header
		wrong, err = cl.send(request, id, &result)
		if result.Tries == maxEntryAttempts || !isDialError(err) && !result.refusedByEntry() {
			break
		}
	}
	result.Latency = time.Since(cl.start.Add(arrival.At))
	cl.record(result, wrong)
}

// refusedByEntry reports whether the entry node refused the call because it is
// stopping or not ready. The caller then tries another entry node.
func (rs Result) refusedByEntry() bool {
	return rs.Ending == Refused && (rs.Kind == fault.Stopping.String() || rs.Kind == fault.NotReady.String())
}

// isDialError reports whether err means that no connection was established.
func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func (cl *caller) request(ctx context.Context, entry int, id string, arrival Arrival) (*http.Request, error) {
	class := cl.load.Classes[arrival.Class]
	method := http.MethodGet
	if class.Once {
		method = http.MethodPost
	}
	url := "http://" + cl.entries[entry%len(cl.entries)] + class.Path + "/" + id
	return http.NewRequestWithContext(ctx, method, url, nil)
}

func (cl *caller) header(id string, arrival Arrival) http.Header {
	class := cl.load.Classes[arrival.Class]
	header := http.Header{}
	header.Set(headerCall, id)
	header.Set(headerWork, strconv.FormatInt(class.Work.Microseconds(), 10))
	header.Set(headerSize, strconv.Itoa(arrival.Bytes))
	if class.Once {
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

// send sends a request, stores the kind of its answer in result, and reports
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
		if string(body) != answerBody(id, result.Arrival.Bytes) {
			return true, nil
		}
		result.Ending, result.Kind = Whole, ""
		return false, nil
	}
	result.Kind = response.Header.Get(proxy.HeaderErrorKind)
	result.Promised = response.Header.Get("Retry-After") != ""
	result.Ending = Unknown
	if response.Header.Get(proxy.HeaderOutcome) == fault.NotRun.String() {
		result.Ending = Refused
	}
	return false, nil
}

func (cl *caller) record(result Result, wrong bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.outcome.Results = append(cl.outcome.Results, result)
	if wrong {
		cl.outcome.Wrong++
	}
}

// Select returns a copy of the outcome with only the results for which match
// returns true.
func (oc Outcome) Select(match func(Result) bool) Outcome {
	var chosen []Result
	for _, result := range oc.Results {
		if match(result) {
			chosen = append(chosen, result)
		}
	}
	oc.Results = chosen
	return oc
}

// Class returns a copy of the outcome with only the calls of the named class.
func (oc Outcome) Class(name string) Outcome {
	return oc.Select(func(result Result) bool { return oc.Classes[result.Arrival.Class].Name == name })
}

// Between returns a copy of the outcome with only the calls that were scheduled
// at or after from and before to.
func (oc Outcome) Between(from, to time.Duration) Outcome {
	return oc.Select(func(result Result) bool { return result.Arrival.At >= from && result.Arrival.At < to })
}

// With returns a copy of the outcome with only the calls that ended in the given
// way.
func (oc Outcome) With(ending Ending) Outcome {
	return oc.Select(func(result Result) bool { return result.Ending == ending })
}

// Share returns the fraction of the calls that ended in the given way.
func (oc Outcome) Share(ending Ending) float64 {
	return float64(len(oc.With(ending).Results)) / float64(len(oc.Results))
}

// errorKindCounts returns the number of error answers of each kind.
func (oc Outcome) errorKindCounts() map[string]int {
	counts := map[string]int{}
	for _, result := range oc.Results {
		if result.Kind != "" {
			counts[result.Kind]++
		}
	}
	return counts
}

// Millis returns a percentile (0 to 100) of the latencies in milliseconds, or
// NaN if there are no calls.
func (oc Outcome) Millis(percentile float64) float64 {
	if len(oc.Results) == 0 {
		return math.NaN()
	}
	histogram := hdrhistogram.New(1, maxRecordedLatency.Microseconds(), histogramDigits)
	for _, result := range oc.Results {
		_ = histogram.RecordValue(min(max(result.Latency.Microseconds(), 1), maxRecordedLatency.Microseconds()))
	}
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}
