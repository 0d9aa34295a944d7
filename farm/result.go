package farm

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// Call is one simulated call and its result.
type Call struct {
	// Long is true if the call's work item runs LongFactor times as long as a short one.
	Long       bool
	Importance conf.Importance
	Arrived    time.Time
	Deadline   time.Time
	// Ended is when the call's work item was completed; zero means never.
	Ended time.Time
	// Slowed is true if an upstream started the call's work item in a slow spell.
	Slowed bool
	// Attempts is the number of upstreams that the call was sent to.
	Attempts int

	balancer *route.Balancer
	route    types.RouteName
	// remaining holds the candidates that have not refused the call.
	remaining []route.Candidate
	// work is the duration of the call's work item outside slow spells.
	work   time.Duration
	target route.Candidate
	// attemptStart is when the latest attempt started.
	attemptStart time.Time
	// cancel cancels the latest attempt if it has not ended.
	cancel func()
}

// InTime reports whether the call was answered by its deadline.
func (cl *Call) InTime() bool { return !cl.Ended.IsZero() && !cl.Ended.After(cl.Deadline) }

// Choice is a filter that reports whether a call is selected.
type Choice func(*Call) bool

// Short reports whether the call is not long.
func Short(cl *Call) bool { return !cl.Long }

// Long reports whether the call is long.
func Long(cl *Call) bool { return cl.Long }

// AtLeast selects the calls with the given importance or a higher one.
func AtLeast(importance conf.Importance) Choice {
	return func(cl *Call) bool { return cl.Importance >= importance }
}

// And selects the calls that both filters select.
func (ch Choice) And(other Choice) Choice {
	return func(cl *Call) bool { return ch(cl) && other(cl) }
}

// Result holds the calls of an experiment and its start and end in virtual time.
type Result struct {
	Start time.Time
	End   time.Time
	Calls []*Call
}

// Between selects the calls that arrived at or after from and before to, counted
// from the start of the experiment.
func (re Result) Between(from, to time.Duration) Choice {
	return func(cl *Call) bool {
		since := cl.Arrived.Sub(re.Start)
		return since >= from && since < to
	}
}

// Share returns the share of the selected calls that were answered by their
// deadline. It ignores calls whose deadline is after the end of the experiment.
func (re Result) Share(choice Choice) float64 {
	decided := func(cl *Call) bool { return !cl.Deadline.After(re.End) }
	return re.fraction(choice.And(decided), (*Call).InTime)
}

// Slowed returns the share of the selected calls that an upstream ran in a slow
// spell.
func (re Result) Slowed(choice Choice) float64 {
	return re.fraction(choice, func(cl *Call) bool { return cl.Slowed })
}

// fraction returns the share of the selected calls that are also wanted, or 0 if
// no call is selected.
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

// Attempts returns the mean number of attempts of the selected calls.
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

// P99 returns the 99th percentile of the durations of the selected calls that were
// answered by their deadline.
func (re Result) P99(choice Choice) time.Duration {
	var durations []time.Duration
	for _, cl := range re.Calls {
		if choice(cl) && cl.InTime() {
			durations = append(durations, cl.Ended.Sub(cl.Arrived))
		}
	}
	slices.Sort(durations)
	return durations[len(durations)*99/100]
}

// Steady returns a constant demand, as a share of the capacity.
func Steady(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// Swing is a surge of demand: it rises linearly from the usual to the highest share
// of the capacity, stays there and falls back.
type Swing struct {
	// Usual is the demand before and after the surge.
	Usual float64
	// Highest is the demand at the peak.
	Highest float64
	// Begin is the time since the start at which the demand begins to rise.
	Begin time.Duration
	// Ramp is the duration of the rise, and also that of the fall.
	Ramp time.Duration
	// Stay is the duration of the peak.
	Stay time.Duration
}

// End returns the time since the start at which the demand is back at Usual.
func (sw Swing) End() time.Duration { return sw.Begin + 2*sw.Ramp + sw.Stay }

// Height selects the calls that arrived during the peak of the demand.
func (sw Swing) Height(re Result) Choice {
	return re.Between(sw.Begin+sw.Ramp, sw.Begin+sw.Ramp+sw.Stay)
}

// Demand returns the demand at a time since the start, as a share of the capacity.
func (sw Swing) Demand(since time.Duration) float64 {
	rise := float64(since-sw.Begin) / float64(sw.Ramp)
	fall := float64(sw.End()-since) / float64(sw.Ramp)
	return sw.Usual + (sw.Highest-sw.Usual)*min(1, max(0, min(rise, fall)))
}

// Recovery returns how long after the end of the surge the last window ends in
// which fewer than 99% of the calls were answered by their deadline, or 0 if there
// is no such window.
func (sw Swing) Recovery(re Result, window, deadline time.Duration) time.Duration {
	const minShare = 0.99
	recovered := time.Duration(0)
	for from := sw.End(); from < re.End.Sub(re.Start)-deadline-window; from += window {
		if re.Share(re.Between(from, from+window)) < minShare {
			recovered = from + window - sw.End()
		}
	}
	return recovered
}
