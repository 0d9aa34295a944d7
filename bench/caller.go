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
	idlePerHost   = 1024
	longestCall   = 60 * time.Second
	digits        = 3
	maxInFlight   = 12000
	callerPatient = 2 * time.Second
	entryTries    = 3
)

// Ending is how one call ended.
type Ending int

// The endings of a call.
const (
	// Whole means that the call's own whole answer came.
	Whole Ending = iota
	// Refused means that the call did not run.
	Refused
	// Unknown means that the call may have run.
	Unknown
	// Broken means that no answer came, or that of another call.
	Broken
	endingCount
)

// Result is one call with its ending. The latency counts from the intended
// time of the call.
type Result struct {
	Arrival Arrival
	Ending  Ending
	Latency time.Duration
	// Promised states that a refusal says when to come back.
	Promised bool
	// Tries counts the entries that the caller turned to; it goes on to the next
	// one when no connection comes about or the entry takes no calls.
	Tries int
	// Kind is the kind of the error that the mesh answered.
	Kind string
}

// Outcome is what a caller saw in one run.
type Outcome struct {
	Classes []Class
	Results []Result
	// Wrong counts answers whose identifier or content is not the call's.
	Wrong int
	// Upstreams is what the upstreams did during the run.
	Upstreams groupCounts
}

// caller sends calls at their intended times whatever becomes of earlier ones.
type caller struct {
	client  *http.Client
	load    Load
	entries []string
	limit   time.Duration
	start   time.Time
	mu      sync.Mutex
	outcome Outcome
	flying  chan struct{}
}

func newCaller(load Load, entries []string, limit time.Duration) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}
	return &caller{
		client:  &http.Client{Transport: transport},
		load:    load,
		entries: entries,
		limit:   limit,
		outcome: Outcome{Classes: load.Classes},
		flying:  make(chan struct{}, maxInFlight),
	}
}

// run sends the whole schedule and waits for the last ending.
func (cl *caller) run(ctx context.Context) Outcome {
	defer cl.client.CloseIdleConnections()
	var calls sync.WaitGroup
	cl.start = time.Now()
	for number, arrival := range cl.load.Schedule(len(cl.entries)) {
		if !sleep(ctx, time.Until(cl.start.Add(arrival.At))) {
			break
		}
		select {
		case cl.flying <- struct{}{}:
		default:
			cl.record(Result{Arrival: arrival, Ending: Broken, Latency: cl.limit}, false)
			continue
		}
		calls.Go(func() {
			cl.call(number, arrival)
			<-cl.flying
		})
	}
	calls.Wait()
	return cl.outcome
}

func (cl *caller) call(number int, arrival Arrival) {
	ctx, cancel := context.WithTimeout(context.Background(), cl.limit+callerPatient)
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
		if result.Tries == entryTries || !unsent(err) && !result.elsewhere() {
			break
		}
	}
	result.Latency = time.Since(cl.start.Add(arrival.At))
	cl.record(result, wrong)
}

// elsewhere reports whether the entry itself takes no calls, so that the call is
// for another one.
func (rs Result) elsewhere() bool {
	return rs.Ending == Refused && (rs.Kind == fault.Stopping.String() || rs.Kind == fault.NotReady.String())
}

// unsent reports whether an error means that no connection came about.
func unsent(err error) bool {
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
		header.Set(headerKey, newKey())
	}
	return header
}

func newKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		key = uuid.New()
	}
	return key.String()
}

// send judges the answer to a request and reports whether it is another
// call's.
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

// Select returns an outcome with only the results that match.
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

// Class returns an outcome with only the calls of a class.
func (oc Outcome) Class(name string) Outcome {
	return oc.Select(func(result Result) bool { return oc.Classes[result.Arrival.Class].Name == name })
}

// Between returns an outcome with only the calls meant for a span of the run.
func (oc Outcome) Between(from, to time.Duration) Outcome {
	return oc.Select(func(result Result) bool { return result.Arrival.At >= from && result.Arrival.At < to })
}

// With returns an outcome with only the calls of an ending.
func (oc Outcome) With(ending Ending) Outcome {
	return oc.Select(func(result Result) bool { return result.Ending == ending })
}

// Share returns the share of the calls that have an ending.
func (oc Outcome) Share(ending Ending) float64 {
	return float64(len(oc.With(ending).Results)) / float64(len(oc.Results))
}

// kinds counts the errors that the mesh answered.
func (oc Outcome) kinds() map[string]int {
	counts := map[string]int{}
	for _, result := range oc.Results {
		if result.Kind != "" {
			counts[result.Kind]++
		}
	}
	return counts
}

// Millis returns a percentile of the latencies in milliseconds, or not-a-number
// without any calls.
func (oc Outcome) Millis(percentile float64) float64 {
	if len(oc.Results) == 0 {
		return math.NaN()
	}
	histogram := hdrhistogram.New(1, longestCall.Microseconds(), digits)
	for _, result := range oc.Results {
		_ = histogram.RecordValue(min(max(result.Latency.Microseconds(), 1), longestCall.Microseconds()))
	}
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}
