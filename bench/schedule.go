package bench

import (
	"math/rand/v2"
	"time"
)

// CallClass describes the calls of one kind in a load.
type CallClass struct {
	Name string
	// Path is the beginning of the request path.
	Path string
	// Weight is the share of this class in all calls, relative to the weights of
	// the other classes.
	Weight         float64
	ProcessingTime time.Duration
	// NonIdempotent is true if the calls are not idempotent and carry an
	// idempotency key.
	NonIdempotent bool
}

// Arrival is one scheduled call.
type Arrival struct {
	At    time.Duration
	Class int
	// Entry is the index of the entry node to which the call is sent.
	Entry int
	// AnswerBytes is the number of bytes that follow the call identifier in the
	// answer.
	AnswerBytes int
}

// Load describes the calls of one run. The seed fixes their schedule.
type Load struct {
	Classes []CallClass
	// Rate returns the number of calls per second at the given time, which
	// counts from the start of the run.
	Rate     func(at time.Duration) float64
	Duration time.Duration
	Seed     uint64
}

const (
	minAnswerSize   = 100
	answerSizeRange = 2000
)

// ConstantRate returns a constant rate, for Load.Rate.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// RateWithPeak returns a rate, for Load.Rate, that rises from base to peak within
// one second from begin, stays at peak, and falls back to base within one second
// from end.
func RateWithPeak(base, peak float64, begin, end time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		share := min((at - begin).Seconds(), (end + time.Second - at).Seconds())
		return base + (peak-base)*min(max(share, 0), 1)
	}
}

// Schedule returns the calls of the load, spread over the given number of entry
// nodes. The same load always gives the same schedule.
func (l Load) Schedule(entries int) []Arrival {
	source := rand.New(rand.NewPCG(l.Seed, l.Seed))
	total := 0.0
	for _, class := range l.Classes {
		total += class.Weight
	}
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		rate := max(l.Rate(at), 1)
		at += time.Duration(source.ExpFloat64() / rate * float64(time.Second))
		if at >= l.Duration {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{
			At:          at,
			Class:       l.pickClass(source.Float64() * total),
			Entry:       source.IntN(entries),
			AnswerBytes: minAnswerSize + source.IntN(answerSizeRange),
		})
	}
}

func (l Load) pickClass(at float64) int {
	for i, class := range l.Classes {
		if at -= class.Weight; at < 0 {
			return i
		}
	}
	return len(l.Classes) - 1
}
