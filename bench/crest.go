package bench

import (
	"context"
	"time"
)

const (
	peakWork     = 250 * time.Millisecond
	peakDeadline = time.Second
	// peakBaseLoad and peakMaxLoad are multiples of the capacity.
	peakBaseLoad = 0.6
	peakMaxLoad  = 3.0
	// importantWeight is the share of the important calls in all calls,
	// onceWeight that of the important calls that are not idempotent.
	importantWeight = 0.25
	onceWeight      = 0.1
	peakStart       = time.Second
	// recoveryBin is the length of the time bins in which recovery counts calls.
	recoveryBin    = 200 * time.Millisecond
	recoveredShare = 0.99
	important      = "important"
	bulk           = "bulk"
)

// capacity returns the number of calls per second that the slots of all upstreams
// can process if each call takes the given work time.
func (l Layout) capacity(work time.Duration) float64 {
	return float64(l.Size()*l.Slots) / work.Seconds()
}

// importanceClasses returns three call classes for every service: important
// idempotent calls, important calls that are not idempotent and carry an
// idempotency key, and bulk calls.
func (l Layout) importanceClasses(work time.Duration) []Class {
	var classes []Class
	for _, class := range l.classes(work) {
		path, weight := class.Path, class.Weight
		class.Name, class.Weight = important, weight*(importantWeight-onceWeight)
		classes = append(classes, class)
		class.Path, class.Weight, class.Once = path+nonIdempotentPath, weight*onceWeight, true
		classes = append(classes, class)
		class.Name, class.Path, class.Weight, class.Once = bulk, path+bulkPath, weight*(1-importantWeight), false
		classes = append(classes, class)
	}
	return classes
}

// demandPeak is a load whose rate rises above the capacity for some time, with
// the times at which the rise begins and the fall begins.
type demandPeak struct {
	load       Load
	begin, end time.Duration
	capacity   float64
	deadline   time.Duration
}

func (lb *Lab) demandPeak(layout Layout, run int) demandPeak {
	dp := demandPeak{
		begin:    peakStart,
		end:      peakStart + lb.duration(2500*time.Millisecond, 10*time.Second),
		capacity: layout.capacity(peakWork),
		deadline: layout.Deadline,
	}
	dp.load = Load{
		Classes: layout.importanceClasses(peakWork),
		Rate:    Swing(peakBaseLoad*dp.capacity, peakMaxLoad*dp.capacity, dp.begin, dp.end),
		Length:  dp.end + 3500*time.Millisecond,
		Seed:    lb.runSeed(run),
	}
	return dp
}

// Crest measures the answers to calls while demand rises to three times the
// capacity and falls again.
func Crest(ctx context.Context, lab *Lab, layout Layout) error {
	layout = layout.WithDeadline(peakDeadline)
	sh := newSheet("crest", layout)
	err := lab.compare(ctx, layout, []Variant{Product, NoAdmission}, func(run int, ft *Fleet) error {
		dp := lab.demandPeak(layout, run)
		outcome, err := ft.offer(ctx, dp.load)
		dp.addFigures(sh, ft.Variant, outcome)
		return err
	})
	if err != nil {
		return err
	}
	setPeakTargets(sh)
	return lab.report(sh)
}

func setPeakTargets(sh *sheet) {
	sh.setTarget("completed in deadline", AtLeast(0.95))
	sh.setTarget("important calls whole", AtLeast(0.99))
	sh.setTarget("refusals that say when to come back", AtLeast(1))
	sh.setTarget("back to normal after", AtMost(2))
	sh.setErrorTargets()
}

// addFigures adds the figures of one run to the sheet. The shares
// and the refusal latencies cover only the time at the peak.
func (dp demandPeak) addFigures(sh *sheet, variant Variant, outcome Outcome) {
	top := outcome.Between(dp.begin+time.Second, dp.end)
	inTime := top.With(Whole).Select(func(result Result) bool { return result.Latency <= dp.deadline })
	seconds := (dp.end - dp.begin - time.Second).Seconds()
	refused := top.With(Refused)
	promised := refused.Select(func(result Result) bool { return result.Promised })
	sh.add(variant, "completed in deadline", "of capacity", float64(len(inTime.Results))/seconds/dp.capacity)
	sh.add(variant, "important calls whole", "share", top.Class(important).Share(Whole))
	sh.add(variant, "bulk calls whole", "share", top.Class(bulk).Share(Whole))
	sh.add(variant, "refusal p50", "ms", refused.Millis(medianPercent))
	sh.add(variant, "refusal p99", "ms", refused.Millis(tailPercent))
	sh.add(variant, "refusals that say when to come back", "share", ratio(len(promised.Results), len(refused.Results)))
	sh.add(variant, "back to normal after", "s", recovery(outcome, dp.end+time.Second, dp.load.Length).Seconds())
	sh.add(variant, "upstream calls per caller's call", "ratio", ratio(int(outcome.Upstreams.Runs), len(outcome.Results)))
	sh.addErrors(variant, outcome)
}

func ratio(part, whole int) float64 { return float64(part) / float64(whole) }

// recovery returns the duration, counted from the parameter from, after which at
// least recoveredShare of the calls in every later bin succeed.
func recovery(outcome Outcome, from, until time.Duration) time.Duration {
	recovered := from
	for at := from; at < until; at += recoveryBin {
		span := outcome.Between(at, at+recoveryBin)
		if len(span.Results) > 0 && span.Share(Whole) < recoveredShare {
			recovered = at + recoveryBin
		}
	}
	return recovered - from
}
