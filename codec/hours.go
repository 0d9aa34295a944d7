package codec

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/conf"
)

func (w hoursWire) toConf() (conf.Hours, []error) {
	var problems []error
	location, err := time.LoadLocation(w.TimeZone)
	if err != nil || w.TimeZone == "" || w.TimeZone == "Local" {
		problems = append(problems, errors.Errorf("time-zone %q is not known", w.TimeZone))
	}
	hours := conf.Hours{TimeZone: w.TimeZone, Location: location}
	for _, item := range w.Spans {
		span, faults := item.toConf()
		hours.Spans = append(hours.Spans, span)
		problems = append(problems, faults...)
	}
	return hours, problems
}

func (w spanWire) toConf() (conf.Span, []error) {
	var problems []error
	timeOfDay := func(text string) conf.TimeOfDay {
		parsed, err := parseTimeOfDay(text)
		if err != nil {
			problems = append(problems, err)
		}
		return parsed
	}
	span := conf.Span{From: timeOfDay(w.From), To: timeOfDay(w.To)}
	for _, name := range w.Days {
		weekday, err := parseDay(name)
		if err != nil {
			problems = append(problems, err)
		}
		span.Days = append(span.Days, weekday)
	}
	return span, problems
}

func hoursToWire(hours conf.Hours) *hoursWire {
	wire := &hoursWire{TimeZone: hours.TimeZone}
	for _, span := range hours.Spans {
		item := spanWire{From: formatTimeOfDay(span.From), To: formatTimeOfDay(span.To)}
		for _, weekday := range span.Days {
			item.Days = append(item.Days, formatDay(weekday))
		}
		wire.Spans = append(wire.Spans, item)
	}
	return wire
}

func parseTimeOfDay(text string) (conf.TimeOfDay, error) {
	var hour, minute int
	var rest string
	count, _ := fmt.Sscanf(text+" end", "%d:%d %s", &hour, &minute, &rest)
	valid := count == 3 && rest == "end" && len(text) == len("00:00") && hour >= 0 && minute >= 0 && minute < 60
	if !valid || hour*60+minute > 24*60 {
		return 0, errors.Errorf("time of day %q is not of the form 15:04", text)
	}
	return conf.TimeOfDay(time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute), nil
}

func formatTimeOfDay(timeOfDay conf.TimeOfDay) string {
	minutes := int(time.Duration(timeOfDay) / time.Minute)
	return fmt.Sprintf("%02d:%02d", minutes/60, minutes%60)
}

func parseDay(name string) (time.Weekday, error) {
	for weekday := time.Sunday; weekday <= time.Saturday; weekday++ {
		if formatDay(weekday) == name {
			return weekday, nil
		}
	}
	return 0, errors.Errorf("day %q is not one of mon, tue, wed, thu, fri, sat, sun", name)
}

func formatDay(weekday time.Weekday) string {
	return strings.ToLower(weekday.String()[:3])
}
