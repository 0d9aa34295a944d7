package conf_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
	_ "time/tzdata"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/codec"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
)

const minuteLayout = "2006-01-02T15:04"

func TestValidate(t *testing.T) {
	datadriven.Walk(t, "testdata/validate", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, data *datadriven.TestData) string {
			config, err := codec.ReadFile("input.yaml", []byte(data.Input))
			if err == nil {
				err = conf.Validate(config)
			}
			if err == nil {
				return "ok\n"
			}
			return strings.ReplaceAll(fault.From(err).Error(), "; ", "\n") + "\n"
		})
	})
}

func TestHours(t *testing.T) {
	datadriven.Walk(t, "testdata/hours", func(t *testing.T, path string) {
		var hours conf.Hours
		datadriven.RunTest(t, path, func(_ *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "at" {
				return formatStates(hours, data.Input)
			}
			text := "upstream-rules: [{name: r, service: s, hours: {" + strings.ReplaceAll(data.Input, "\n", ", ") + "}}]"
			config, err := codec.ReadFile("input.yaml", []byte(text))
			if err != nil {
				return err.Error() + "\n"
			}
			hours, _ = config.UpstreamRules[0].Hours.Get()
			return "ok\n"
		})
	})
}

// formatStates returns one line for each of the given times, which says whether
// the hours are open at that time and when they next close or open.
func formatStates(hours conf.Hours, times string) string {
	var out strings.Builder
	for line := range strings.Lines(times) {
		at, err := time.Parse(time.RFC3339, strings.TrimSpace(line))
		if err != nil {
			return err.Error()
		}
		state := "closed"
		next, ok := hours.OpensAt(at)
		if hours.OpenAt(at) {
			state = "open"
			next, ok = hours.ClosesAt(at)
		}
		until := "for good"
		if ok {
			until = "until " + next.In(hours.Location).Format(time.RFC3339)
		}
		fmt.Fprintf(&out, "%s %s %s\n", at.In(hours.Location).Format(time.RFC3339), state, until)
	}
	return out.String()
}

var zoneNames = []string{"Asia/Kolkata", "Asia/Colombo", "Europe/Berlin", "America/New_York", "Australia/Lord_Howe", "America/Havana"}

func drawHours(t *rapid.T) conf.Hours {
	clock := rapid.Custom(func(t *rapid.T) conf.TimeOfDay {
		return conf.TimeOfDay(time.Duration(rapid.IntRange(0, 95).Draw(t, "quarter")) * 15 * time.Minute)
	})
	spans := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) conf.Span {
		days := rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 0, 3, rapid.ID[int]).Draw(t, "days")
		span := conf.Span{From: clock.Draw(t, "from"), To: clock.Draw(t, "to")}
		for _, day := range days {
			span.Days = append(span.Days, time.Weekday(day))
		}
		return span
	}), 1, 3).Draw(t, "spans")
	name := rapid.SampledFrom(zoneNames).Draw(t, "time zone")
	location, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return conf.Hours{TimeZone: name, Location: location, Spans: spans}
}

// TestChangesMatchOpenAt checks that OpensAt and ClosesAt return the first minute at
// which the result of OpenAt changes.
func TestChangesMatchOpenAt(t *testing.T) {
	const horizon = 8 * 24 * time.Hour
	rapid.Check(t, func(t *rapid.T) {
		hours := drawHours(t)
		minute := rapid.IntRange(0, 2*365*24*60).Draw(t, "minute")
		at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(minute) * time.Minute)
		open := hours.OpenAt(at)
		next, found := hours.OpensAt(at)
		if open {
			next, found = hours.ClosesAt(at)
		}
		if !found {
			next = at.Add(horizon)
		}
		for step := at; step.Before(next); step = step.Add(time.Minute) {
			if hours.OpenAt(step) != open {
				t.Fatalf("OpenAt changes at %s, before the computed time %s", step, next)
			}
		}
		if found && next.Sub(at) < horizon && hours.OpenAt(next) == open {
			t.Fatalf("OpenAt does not change at the computed time %s", next.Format(minuteLayout))
		}
	})
}
