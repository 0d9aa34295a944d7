package conf

import "time"

// Clock is a time of day, counted from midnight.
type Clock time.Duration

// Span is open from one time of day to another on the given days. A span
// whose To is not after its From ends on the next day.
type Span struct {
	Days []time.Weekday
	From Clock
	To   Clock
}

// Hours lists opening spans in one time zone.
type Hours struct {
	TimeZone string
	Location *time.Location
	Spans    []Span
}

// horizon bounds the search for a closing time.
const horizon = 8 * 24 * time.Hour

// OpenAt reports whether the hours are open at an instant.
func (h Hours) OpenAt(at time.Time) bool {
	_, ok := h.closesAfter(at)
	return ok
}

// ClosesAt returns the end of the opening that holds at the instant, or false
// if the hours are closed. Spans that meet are taken as one opening.
func (h Hours) ClosesAt(at time.Time) (time.Time, bool) {
	end, ok := h.closesAfter(at)
	if !ok {
		return time.Time{}, false
	}
	for end.Sub(at) < horizon {
		next, ok := h.closesAfter(end)
		if !ok {
			return end, true
		}
		end = next
	}
	return end, true
}

func (h Hours) closesAfter(at time.Time) (time.Time, bool) {
	var latest time.Time
	local := at.In(h.Location)
	for _, span := range h.Spans {
		for back := 0; back <= 1; back++ {
			from, to := span.on(local.AddDate(0, 0, -back), h.Location)
			if !span.has(from.Weekday()) || at.Before(from) || !at.Before(to) {
				continue
			}
			if to.After(latest) {
				latest = to
			}
		}
	}
	return latest, !latest.IsZero()
}

func (s Span) has(day time.Weekday) bool {
	if len(s.Days) == 0 {
		return true
	}
	for _, known := range s.Days {
		if known == day {
			return true
		}
	}
	return false
}

func (s Span) on(day time.Time, loc *time.Location) (from, to time.Time) {
	from = s.From.on(day, 0, loc)
	if s.To > s.From {
		return from, s.To.on(day, 0, loc)
	}
	return from, s.To.on(day, 1, loc)
}

func (c Clock) on(day time.Time, plus int, loc *time.Location) time.Time {
	hour := int(time.Duration(c) / time.Hour)
	minute := int(time.Duration(c) % time.Hour / time.Minute)
	return time.Date(day.Year(), day.Month(), day.Day()+plus, hour, minute, 0, 0, loc)
}
