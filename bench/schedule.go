package bench

import (
	"math/rand/v2"
	"time"
)

// Class is one kind of call in a load.
type Class struct {
	Name string
	// Path is what the caller asks for.
	Path string
	// Weight is the share of the calls, relative to the other classes.
	Weight float64
	Work   time.Duration
	// Once marks calls with an idempotency key.
	Once bool
}

// Arrival is one call of a schedule.
type Arrival struct {
	At    time.Duration
	Class int
	// Entry is the number of the node that the caller is connected to.
	Entry int
	Bytes int
}

// Load is a fixed schedule of calls.
type Load struct {
	Classes []Class
	// Rate returns the calls a second at an instant of the run.
	Rate   func(at time.Duration) float64
	Length time.Duration
	Seed   uint64
}

const (
	minimumAnswer = 100
	answerSpread  = 2000
)

// Steady returns a rate that does not change.
func Steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Swing returns a rate that climbs from base to crest within a second, stays,
// and falls again within a second.
func Swing(base, crest float64, begin, end time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		share := min((at - begin).Seconds(), (end + time.Second - at).Seconds())
		return base + (crest-base)*min(max(share, 0), 1)
	}
}

// Schedule returns the arrivals of a load, which depend on its seed only.
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
		if at >= l.Length {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{
			At:    at,
			Class: l.pick(source.Float64() * total),
			Entry: source.IntN(entries),
			Bytes: minimumAnswer + source.IntN(answerSpread),
		})
	}
}

func (l Load) pick(at float64) int {
	for number, class := range l.Classes {
		if at -= class.Weight; at < 0 {
			return number
		}
	}
	return len(l.Classes) - 1
}
