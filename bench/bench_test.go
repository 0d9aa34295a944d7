package bench

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

func TestScrape(t *testing.T) {
	is := is.New(t)
	file, err := os.Open("testdata/metrics.txt")
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	got, err := parseScrape(file)
	is.NoErr(err)
	is.Equal(got.Values["sequoiamill_exchanges_sent_total"], 42.0)
	is.Equal(got.Count(entryResidence), 100.0)
	is.Equal(got.Quantile(entryResidence, 0.5), 0.0002)
	is.Equal(got.Quantile(entryResidence, 0.99), 0.0004)
	is.True(math.IsNaN(got.Quantile("absent", 0.99)))

	twice := got.Add(got)
	is.Equal(twice.Count(entryResidence), 200.0)
	is.Equal(twice.Sub(got).Quantile(entryResidence, 0.99), 0.0004)
	is.Equal(twice.Sub(got).Values["sequoiamill_exchanges_sent_total"], 42.0)
	is.Equal(len(got.Buckets[entryResidence]), 3) // Add and Sub must not modify their operands
}

func TestUsage(t *testing.T) {
	is := is.New(t)
	stat := "7 (a (b) c) S " + strings.Repeat("0 ", 10) + "150 50 " + strings.Repeat("0 ", 8) + "3 0"
	got, err := parseUsage(stat, "rchar: 10\nwchar: 20\nsyscr: 1\n")
	is.NoErr(err)
	want := Usage{CPU: 2 * time.Second, ResidentBytes: 3 * int64(os.Getpagesize()), BytesRead: 10, BytesWritten: 20}
	is.Equal(got, want)
	_, err = parseUsage("7 (a) S 1", "")
	is.True(err != nil)
}

func TestFitLine(t *testing.T) {
	is := is.New(t)
	line := FitLine([]Point{{17, 3.7}, {40, 6}, {80, 10}, {160, 18}})
	is.True(math.Abs(line.Slope-0.1) < 1e-9)
	is.True(math.Abs(line.ValueAt(910)-93) < 1e-6)
	is.Equal(FitLine([]Point{{5, 2}, {5, 4}}), Line{Intercept: 3})
	is.Equal(extrapolate([]Point{{10, 4}, {20, 2}}, 910), 3.0)
	is.Equal(extrapolate([]Point{{10, 2}, {20, 4}}, 910), 182.0)
}

func TestFigure(t *testing.T) {
	is := is.New(t)
	is.Equal(Median([]float64{3, 1, 2}), 2.0)
	is.Equal(Median([]float64{4, 1, 2, 3}), 2.5)
	is.Equal(Median([]float64{4, math.NaN(), 2}), 3.0)
	is.Equal(Figure{Values: []float64{4, math.NaN(), 2}}.Spread(), "2.00 … 4.00")
	is.True(math.IsNaN(CallResults{}.LatencyMillis(99)))
	is.True(!strings.Contains(string(barChart([]Figure{{Values: []float64{math.NaN(), 2}}})), "NaN"))
	is.Equal(Quantile([]float64{4, 1, 2, 3}, 0.99), 4.0)
	is.Equal(Quantile([]float64{4, 1, 2, 3}, 0.5), 2.0)
	is.Equal(Figure{Values: []float64{1, 2, 3}, Target: AtMost(2)}.Verdict(), "met")
	is.Equal(Figure{Values: []float64{1, 2, 3}, Target: AtLeast(2.1)}.Verdict(), "not met")
	is.Equal(Figure{Values: []float64{math.NaN()}, Target: AtMost(2)}.Verdict(), "not measured")
	is.Equal(Figure{Values: []float64{1}}.Verdict(), "")
}

func TestRecovery(t *testing.T) {
	is := is.New(t)
	var results CallResults
	for at := time.Duration(0); at < 4*time.Second; at += 10 * time.Millisecond {
		status := Completed
		if at >= time.Second && at < 1500*time.Millisecond {
			status = Refused
		}
		results.Results = append(results.Results, Result{Arrival: Arrival{At: at}, Status: status})
	}
	is.Equal(recovery(results, time.Second, 4*time.Second), 600*time.Millisecond)
	is.Equal(recovery(results, 2*time.Second, 4*time.Second), time.Duration(0))
}

// TestLoads compares the schedules and latency percentiles of a load with
// testdata/loads: the same seed must always give the same arrivals.
func TestLoads(t *testing.T) {
	datadriven.RunTest(t, "testdata/loads", func(t *testing.T, data *datadriven.TestData) string {
		var seed, seconds int
		data.ScanArgs(t, "seed", &seed)
		data.ScanArgs(t, "seconds", &seconds)
		load := Load{
			Classes:  []CallClass{{Name: short, Weight: 3}, {Name: long, Weight: 1}},
			Rate:     RateWithPeak(100, 300, time.Second, 3*time.Second),
			Duration: time.Duration(seconds) * time.Second,
			Seed:     uint64(seed),
		}
		results := CallResults{Classes: load.Classes}
		for _, arrival := range load.Schedule(3) {
			latency := time.Duration(1+arrival.Class*9) * time.Millisecond
			results.Results = append(results.Results, Result{Arrival: arrival, Latency: latency})
		}
		var out strings.Builder
		for second := range seconds {
			from := time.Duration(second) * time.Second
			part := results.Between(from, from+time.Second)
			_, _ = fmt.Fprintf(&out, "second %d: %d short, %d long, p50 %s ms, p99 %s ms\n", second,
				len(part.WithClass(short).Results), len(part.WithClass(long).Results), formatNumber(part.LatencyMillis(50)), formatNumber(part.LatencyMillis(99)))
		}
		return out.String()
	})
}

func TestLayouts(t *testing.T) {
	is := is.New(t)
	is.Equal(Board().Size(), 17)
	is.Equal(Weerasinghe().Size(), 14)
	is.Equal(Scale(160).Size(), 160)
	is.Equal(len(Scale(160).Config().Services), scaleServices)
	is.Equal(Board().capacity(peakProcessingTime), 680.0)
}
