package bench

import (
	"context"
	"time"
)

const (
	peakProcessingTime = 250 * time.Millisecond
	peakDeadline       = time.Second
	// peakBaseLoad and peakMaxLoad are multiples of the capacity.
	peakBaseLoad = 0.6
	peakMaxLoad  = 3.0
	// importantWeight is the share of important calls in all calls.
	// nonIdempotentWeight is the share in all calls of those important calls
	// that are not idempotent.
	importantWeight     = 0.25
	nonIdempotentWeight = 0.1
	peakStart           = time.Second
	// recoveryBin is the length of the time bins in which recovery counts calls.
	recoveryBin    = 200 * time.Millisecond
	recoveredShare = 0.99
	important      = "important"
	bulk           = "bulk"
)

// capacity returns the number of calls per second that the slots of all upstreams
// can process if each call takes the given processing time.
func (l Layout) capacity(processingTime time.Duration) float64 {
	return float64(l.Size()*l.Slots) / processingTime.Seconds()
}

// importanceClasses returns three call classes for every service: important
// idempotent calls, important calls that are not idempotent and carry an
// idempotency key, and bulk calls.
func (l Layout) importanceClasses(processingTime time.Duration) []CallClass {
	var classes []CallClass
	for _, class := range l.classes(processingTime) {
		path, weight := class.Path, class.Weight
		class.Name, class.Weight = important, weight*(importantWeight-nonIdempotentWeight)
		classes = append(classes, class)
		class.Path, class.Weight, class.NonIdempotent = path+nonIdempotentPath, weight*nonIdempotentWeight, true
		classes = append(classes, class)
		class.Name, class.Path, class.Weight, class.NonIdempotent = bulk, path+bulkPath, weight*(1-importantWeight), false
		classes = append(classes, class)
	}
	return classes
}

// demandPeak is a load whose rate rises above the capacity for some time. The
// rate starts to rise at begin and starts to fall at end.
type demandPeak struct {
	load       Load
	begin, end time.Duration
	capacity   float64
	deadline   time.Duration
}

func (rn *Runner) demandPeak(layout Layout, run int) demandPeak {
	dp := demandPeak{
		begin:    peakStart,
		end:      peakStart + rn.duration(2500*time.Millisecond, 10*time.Second),
		capacity: layout.capacity(peakProcessingTime),
		deadline: layout.Deadline,
	}
	dp.load = Load{
		Classes:  layout.importanceClasses(peakProcessingTime),
		Rate:     RateWithPeak(peakBaseLoad*dp.capacity, peakMaxLoad*dp.capacity, dp.begin, dp.end),
		Duration: dp.end + 3500*time.Millisecond,
		Seed:     rn.runSeed(run),
	}
	return dp
}

// DemandPeak measures the answers to calls while demand rises to three times the
// capacity and falls again.
func DemandPeak(ctx context.Context, runner *Runner, layout Layout) error {
	layout = layout.WithDeadline(peakDeadline)
	sh := newSheet("crest", layout)
	err := runner.compare(ctx, layout, []Variant{Product, NoAdmission}, func(run int, ft *Fleet) error {
		dp := runner.demandPeak(layout, run)
		results, err := ft.offer(ctx, dp.load)
		dp.addFigures(sh, ft.Variant, results)
		return err
	})
	if err != nil {
		return err
	}
	setPeakTargets(sh)
	return runner.report(sh)
}

func setPeakTargets(sh *sheet) {
	sh.setTarget("completed in deadline", AtLeast(0.95))
	sh.setTarget("important calls whole", AtLeast(0.99))
	sh.setTarget("refusals that say when to come back", AtLeast(1))
	sh.setTarget("back to normal after", AtMost(2))
	sh.setErrorTargets()
}

// addFigures adds the figures of one run to the sheet. The shares and the refusal
// latencies cover only the time at the peak.
func (dp demandPeak) addFigures(sh *sheet, variant Variant, results CallResults) {
	atPeak := results.Between(dp.begin+time.Second, dp.end)
	inTime := atPeak.WithStatus(Completed).Filter(func(result Result) bool { return result.Latency <= dp.deadline })
	seconds := (dp.end - dp.begin - time.Second).Seconds()
	refused := atPeak.WithStatus(Refused)
	withRetryAfter := refused.Filter(func(result Result) bool { return result.HasRetryAfter })
	sh.add(variant, "completed in deadline", "of capacity", float64(len(inTime.Results))/seconds/dp.capacity)
	sh.add(variant, "important calls whole", "share", atPeak.WithClass(important).Share(Completed))
	sh.add(variant, "bulk calls whole", "share", atPeak.WithClass(bulk).Share(Completed))
	sh.add(variant, "refusal p50", "ms", refused.LatencyMillis(medianPercent))
	sh.add(variant, "refusal p99", "ms", refused.LatencyMillis(tailPercent))
	sh.add(variant, "refusals that say when to come back", "share", ratio(len(withRetryAfter.Results), len(refused.Results)))
	sh.add(variant, "back to normal after", "s", recovery(results, dp.end+time.Second, dp.load.Duration).Seconds())
	sh.add(variant, "upstream calls per caller's call", "ratio", ratio(int(results.Upstreams.Runs), len(results.Results)))
	sh.addErrors(variant, results)
}

func ratio(part, whole int) float64 { return float64(part) / float64(whole) }

// recovery examines the calls between two times, in bins of length recoveryBin. It
// returns the time from the start of the first bin to the end of the last bin in
// which fewer than recoveredShare of the calls are Completed, or 0 if there is no
// such bin. Bins without calls do not count.
func recovery(results CallResults, from, until time.Duration) time.Duration {
	recovered := from
	for at := from; at < until; at += recoveryBin {
		span := results.Between(at, at+recoveryBin)
		if len(span.Results) > 0 && span.Share(Completed) < recoveredShare {
			recovered = at + recoveryBin
		}
	}
	return recovered - from
}
