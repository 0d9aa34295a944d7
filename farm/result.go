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
	// Team is the team that sent the call, if any.
	Team types.TeamName
	// Repeat is true if the call repeats a refused one.
	Repeat    bool
	ArrivedAt time.Time
	Deadline  time.Time
	// CompletedAt is when the call's work item was completed; zero means never.
	CompletedAt time.Time
	// Slowed is true if an upstream started the call's work item in a slow spell.
	Slowed bool
	// Attempts is the number of upstreams that the call was sent to.
	Attempts int

	balancer *route.Balancer
	route    types.RouteName
	team     Team
	// repeats counts the calls that this one repeats.
	repeats int
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
func (cl *Call) InTime() bool { return !cl.CompletedAt.IsZero() && !cl.CompletedAt.After(cl.Deadline) }

// Filter reports whether a call is selected.
type Filter func(*Call) bool

// Short reports whether the call is not long.
func Short(cl *Call) bool { return !cl.Long }

// Long reports whether the call is long.
func Long(cl *Call) bool { return cl.Long }

// AtLeast selects the calls with the given importance or a higher one.
func AtLeast(importance conf.Importance) Filter {
	return func(cl *Call) bool { return cl.Importance >= importance }
}

// And selects the calls that both filters select.
func (fl Filter) And(other Filter) Filter {
	return func(cl *Call) bool { return fl(cl) && other(cl) }
}

// Result holds the calls of an experiment and its start and end in virtual time.
type Result struct {
	Start time.Time
	End   time.Time
	Calls []*Call
}

// Between selects the calls that arrived in the interval [from, to). Both limits
// are times since the start of the experiment.
func (re Result) Between(from, to time.Duration) Filter {
	return func(cl *Call) bool {
		since := cl.ArrivedAt.Sub(re.Start)
		return since >= from && since < to
	}
}

// InTimeShare returns the share of the selected calls that were answered by their
// deadline. It ignores calls whose deadline is after the end of the experiment.
func (re Result) InTimeShare(filter Filter) float64 {
	decided := func(cl *Call) bool { return !cl.Deadline.After(re.End) }
	return re.fraction(filter.And(decided), (*Call).InTime)
}

// SlowedShare returns the share of the selected calls that an upstream ran in a slow
// spell.
func (re Result) SlowedShare(filter Filter) float64 {
	return re.fraction(filter, func(cl *Call) bool { return cl.Slowed })
}

// fraction returns the share of the calls selected by filter that wanted selects
// as well. It returns 0 if filter selects no call.
func (re Result) fraction(filter, wanted Filter) float64 {
	total, found := 0, 0
	for _, cl := range re.Calls {
		if !filter(cl) {
			continue
		}
		total++
		if wanted(cl) {
			found++
		}
	}
	return float64(found) / float64(max(total, 1))
}

// MeanAttempts returns the mean number of attempts of the selected calls.
func (re Result) MeanAttempts(filter Filter) float64 {
	calls, attempts := 0, 0
	for _, cl := range re.Calls {
		if filter(cl) {
			calls++
			attempts += cl.Attempts
		}
	}
	return float64(attempts) / float64(max(calls, 1))
}

// P99 returns the 99th percentile of the durations of the selected calls that were
// answered by their deadline. It panics if there are no such calls.
func (re Result) P99(filter Filter) time.Duration {
	var durations []time.Duration
	for _, cl := range re.Calls {
		if filter(cl) && cl.InTime() {
			durations = append(durations, cl.CompletedAt.Sub(cl.ArrivedAt))
		}
	}
	slices.Sort(durations)
	return durations[len(durations)*99/100]
}

// ConstantDemand returns a constant demand, as a share of the capacity.
func ConstantDemand(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// Surge is a surge of demand. The demand rises linearly from BaseDemand to
// PeakDemand, stays there for PeakDuration and falls linearly back to BaseDemand.
type Surge struct {
	// BaseDemand is the demand before and after the surge.
	BaseDemand float64
	// PeakDemand is the demand at the peak.
	PeakDemand float64
	// Start is the time from the start of the experiment to the start of the
	// rise.
	Start time.Duration
	// RampDuration is the duration of the rise, and also that of the fall.
	RampDuration time.Duration
	// PeakDuration is the duration of the peak.
	PeakDuration time.Duration
}

// End returns when the demand is back at BaseDemand, as the time since the start of
// the experiment.
func (su Surge) End() time.Duration { return su.Start + 2*su.RampDuration + su.PeakDuration }

// AtPeak selects the calls that arrived during the peak of the demand.
func (su Surge) AtPeak(re Result) Filter {
	return re.Between(su.Start+su.RampDuration, su.Start+su.RampDuration+su.PeakDuration)
}

// Demand returns the demand as a share of the capacity. Its argument is the time
// since the start of the experiment.
func (su Surge) Demand(since time.Duration) float64 {
	rise := float64(since-su.Start) / float64(su.RampDuration)
	fall := float64(su.End()-since) / float64(su.RampDuration)
	return su.BaseDemand + float64((su.PeakDemand-su.BaseDemand)*min(1, max(0, min(rise, fall))))
}

// Recovery returns the time from the end of the surge until the calls are answered
// in time again. It divides the time after the surge into windows. A window fails
// if fewer than 99% of the calls that arrived in it were answered by their
// deadline. The recovery ends with the last failed window; it is 0 if none failed.
func (su Surge) Recovery(re Result, window, deadline time.Duration) time.Duration {
	const minShare = 0.99
	recovered := time.Duration(0)
	for from := su.End(); from < re.End.Sub(re.Start)-deadline-window; from += window {
		if re.InTimeShare(re.Between(from, from+window)) < minShare {
			recovered = from + window - su.End()
		}
	}
	return recovered
}
