package farm

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// Call is one call and what became of it.
type Call struct {
	Long       bool
	Importance conf.Importance
	Arrived    time.Time
	Deadline   time.Time
	// Ended is when its work was done, if it was.
	Ended time.Time
	// Slowed states that a slow upstream ran it.
	Slowed   bool
	Attempts int

	balancer *route.Balancer
	route    types.RouteName
	left     []route.Candidate
	work     time.Duration
	target   route.Candidate
	began    time.Time
	cancel   func()
}

// InTime reports whether the call was answered before its deadline.
func (cl *Call) InTime() bool { return !cl.Ended.IsZero() && !cl.Ended.After(cl.Deadline) }

// Choice selects calls.
type Choice func(*Call) bool

// Short selects the calls that are not long.
func Short(cl *Call) bool { return !cl.Long }

// Long selects the long calls.
func Long(cl *Call) bool { return cl.Long }

// AtLeast selects the calls of an importance or above.
func AtLeast(importance conf.Importance) Choice {
	return func(cl *Call) bool { return cl.Importance >= importance }
}

// And selects the calls that both choices select.
func (ch Choice) And(other Choice) Choice {
	return func(cl *Call) bool { return ch(cl) && other(cl) }
}

// Result is what became of the calls of an experiment.
type Result struct {
	Start time.Time
	End   time.Time
	Calls []*Call
}

// Between selects the calls that arrived in a part of the experiment.
func (re Result) Between(from, to time.Duration) Choice {
	return func(cl *Call) bool {
		since := cl.Arrived.Sub(re.Start)
		return since >= from && since < to
	}
}

// Share returns the share of the chosen calls that were answered in time. It
// leaves out those whose deadline is after the end of the experiment.
func (re Result) Share(choice Choice) float64 {
	decided := func(cl *Call) bool { return !cl.Deadline.After(re.End) }
	return re.fraction(choice.And(decided), (*Call).InTime)
}

// Slowed returns the share of the chosen calls that a slow upstream ran.
func (re Result) Slowed(choice Choice) float64 {
	return re.fraction(choice, func(cl *Call) bool { return cl.Slowed })
}

func (re Result) fraction(choice, wanted Choice) float64 {
	total, found := 0, 0
	for _, cl := range re.Calls {
		if !choice(cl) {
			continue
		}
		total++
		if wanted(cl) {
			found++
		}
	}
	return float64(found) / float64(max(total, 1))
}

// Attempts returns the mean number of attempts of the chosen calls.
func (re Result) Attempts(choice Choice) float64 {
	calls, attempts := 0, 0
	for _, cl := range re.Calls {
		if choice(cl) {
			calls++
			attempts += cl.Attempts
		}
	}
	return float64(attempts) / float64(max(calls, 1))
}

// P99 returns that of the chosen calls' durations, of those in time.
func (re Result) P99(choice Choice) time.Duration {
	var all []time.Duration
	for _, cl := range re.Calls {
		if choice(cl) && cl.InTime() {
			all = append(all, cl.Ended.Sub(cl.Arrived))
		}
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

// Steady is a demand that does not change.
func Steady(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// Swing is a demand that rises from its usual to its highest share of the
// capacity and returns.
type Swing struct {
	Usual   float64
	Highest float64
	Begin   time.Duration
	Ramp    time.Duration
	Stay    time.Duration
}

// End returns when the demand is usual again.
func (sw Swing) End() time.Duration { return sw.Begin + 2*sw.Ramp + sw.Stay }

// Height selects the calls of the time in which the demand is highest.
func (sw Swing) Height(re Result) Choice {
	return re.Between(sw.Begin+sw.Ramp, sw.Begin+sw.Ramp+sw.Stay)
}

// Demand returns the share at a time after the start.
func (sw Swing) Demand(since time.Duration) float64 {
	up := float64(since-sw.Begin) / float64(sw.Ramp)
	down := float64(sw.End()-since) / float64(sw.Ramp)
	return sw.Usual + (sw.Highest-sw.Usual)*min(1, max(0, min(up, down)))
}

// Recovery returns the time after the swing until no later window of a length
// has less than 99% of its calls answered in time.
func (sw Swing) Recovery(re Result, window, deadline time.Duration) time.Duration {
	const served = 0.99
	recovered := time.Duration(0)
	for from := sw.End(); from < re.End.Sub(re.Start)-deadline-window; from += window {
		if re.Share(re.Between(from, from+window)) < served {
			recovered = from + window - sw.End()
		}
	}
	return recovered
}
