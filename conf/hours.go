package conf

import (
	"slices"
	"time"
)

// TimeOfDay is a time of day on the local wall clock, as the duration since 00:00.
type TimeOfDay time.Duration

// Span is a period of the day, from From (inclusive) to To (exclusive). It starts on
// each of the given weekdays, or on every day if Days is empty. If To is not after
// From, the period ends on the next day.
type Span struct {
	Days []time.Weekday
	From TimeOfDay
	To   TimeOfDay
}

// Hours are weekly opening hours in one time zone. They are open while the local
// wall clock shows a time within one of the spans. If a span is within the time
// that is skipped when daylight saving time starts, it does not open on that day.
// If a span is within the time that is repeated when daylight saving time ends,
// it opens twice.
type Hours struct {
	TimeZone string
	Location *time.Location
	Spans    []Span
}

const (
	// closeHorizon limits how far ahead ClosesAt searches for a closing time.
	closeHorizon = 8 * 24 * time.Hour
	// openHorizon limits how far ahead OpensAt searches for an opening time. It
	// exceeds two weeks because the start of daylight saving time can skip one
	// opening of a span that is open once a week. The search then still finds the
	// opening in the following week.
	openHorizon = 15 * 24 * time.Hour

	day         = 24 * time.Hour
	daysPerWeek = 7
)

// OpenAt reports whether the hours are open at the given time.
func (h Hours) OpenAt(at time.Time) bool {
	local := at.In(h.Location)
	weekday, clock := local.Weekday(), localTimeOfDay(local)
	return slices.ContainsFunc(h.Spans, func(span Span) bool { return span.contains(weekday, clock) })
}

// ClosesAt returns the next time at which the hours close. It returns false if
// they are already closed at the given time. Adjacent and overlapping spans count
// as one opening period. If the hours stay open for eight days or longer,
// ClosesAt returns some time at least eight days ahead.
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

// OpensAt returns the next time at which the hours open. It returns false if they
// are already open at the given time, or if they do not open within 15 days.
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

// nextChange returns the next time at which the hours may open or close: the start
// or end of a span, midnight, or a change of the time zone's UTC offset.
func (h Hours) nextChange(at time.Time) time.Time {
	local := at.In(h.Location)
	clock := localTimeOfDay(local)
	wait := day - time.Duration(clock)
	for _, span := range h.Spans {
		for _, bound := range [...]TimeOfDay{span.From, span.To} {
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

// contains reports whether a time of day on a weekday is within the span, including
// the part of an overnight span that started on the day before.
func (s Span) contains(weekday time.Weekday, clock TimeOfDay) bool {
	if s.From < s.To {
		return s.startsOn(weekday) && s.From <= clock && clock < s.To
	}
	yesterday := (weekday + daysPerWeek - 1) % daysPerWeek
	return s.startsOn(weekday) && s.From <= clock || s.startsOn(yesterday) && clock < s.To
}

// startsOn reports whether the span starts on a weekday.
func (s Span) startsOn(weekday time.Weekday) bool {
	return len(s.Days) == 0 || slices.Contains(s.Days, weekday)
}

// localTimeOfDay returns the time of day that local shows in its location.
func localTimeOfDay(local time.Time) TimeOfDay {
	hour, minute, second := local.Clock()
	clock := time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute + time.Duration(second)*time.Second
	return TimeOfDay(clock + time.Duration(local.Nanosecond()))
}
