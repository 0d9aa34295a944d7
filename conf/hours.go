package conf

import (
	"slices"
	"time"
)

// Clock is a time of day, counted from midnight as a wall clock shows it.
type Clock time.Duration

// Span is open from one time of day to another on the given days; no days
// means every day. A span whose To is not after its From ends on the next day.
type Span struct {
	Days []time.Weekday
	From Clock
	To   Clock
}

// Hours lists opening spans in one time zone. The hours are open while the
// local wall clock shows a time within a span, so a time that the clock skips
// never opens them and a time that it shows twice opens them twice.
type Hours struct {
	TimeZone string
	Location *time.Location
	Spans    []Span
}

const (
	// closeHorizon bounds the search for a closing time.
	closeHorizon = 8 * 24 * time.Hour
	// openHorizon bounds the search for an opening time. It holds a weekly
	// span that a change of the clock skips once.
	openHorizon = 15 * 24 * time.Hour

	day         = 24 * time.Hour
	daysPerWeek = 7
)

// OpenAt reports whether the hours are open at an instant.
func (h Hours) OpenAt(at time.Time) bool {
	local := at.In(h.Location)
	weekday, clock := local.Weekday(), clockOf(local)
	return slices.ContainsFunc(h.Spans, func(span Span) bool { return span.holds(weekday, clock) })
}

// ClosesAt returns the end of the opening that holds at the instant, or false
// if the hours are closed. Spans that meet are one opening. An end further
// away than eight days is given as an instant after that.
func (h Hours) ClosesAt(at time.Time) (time.Time, bool) {
	if !h.OpenAt(at) {
		return time.Time{}, false
	}
	end := at
	for h.OpenAt(end) && end.Sub(at) < closeHorizon {
		end = h.nextChange(end)
	}
	return end, true
}

// OpensAt returns the begin of the next opening after an instant at which the
// hours are closed, or false if they are open or do not open within 15 days.
func (h Hours) OpensAt(at time.Time) (time.Time, bool) {
	if h.OpenAt(at) {
		return time.Time{}, false
	}
	for next := h.nextChange(at); next.Sub(at) < openHorizon; next = h.nextChange(next) {
		if h.OpenAt(next) {
			return next, true
		}
	}
	return time.Time{}, false
}

// nextChange returns the next instant at which the hours may open or close:
// the bound of a span, midnight or a change of the clock.
func (h Hours) nextChange(at time.Time) time.Time {
	local := at.In(h.Location)
	clock := clockOf(local)
	wait := day - time.Duration(clock)
	for _, span := range h.Spans {
		for _, bound := range [...]Clock{span.From, span.To} {
			if bound > clock {
				wait = min(wait, time.Duration(bound-clock))
			}
		}
	}
	next := at.Add(wait)
	if _, change := local.ZoneBounds(); !change.IsZero() && change.Before(next) {
		return change
	}
	return next
}

func (s Span) holds(weekday time.Weekday, clock Clock) bool {
	if s.From < s.To {
		return s.has(weekday) && s.From <= clock && clock < s.To
	}
	yesterday := (weekday + daysPerWeek - 1) % daysPerWeek
	return s.has(weekday) && s.From <= clock || s.has(yesterday) && clock < s.To
}

func (s Span) has(day time.Weekday) bool {
	return len(s.Days) == 0 || slices.Contains(s.Days, day)
}

// clockOf returns what a wall clock shows at a local time.
func clockOf(local time.Time) Clock {
	hour, minute, second := local.Clock()
	clock := time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute + time.Duration(second)*time.Second
	return Clock(clock + time.Duration(local.Nanosecond()))
}
