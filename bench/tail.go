package bench

import (
	"context"
	"time"
)

const (
	shortProcessingTime = 20 * time.Millisecond
	// longProcessingFactor is the processing time of a long call relative to that
	// of a short one.
	longProcessingFactor = 100
	// longShare is the share of the long calls in all calls.
	longShare = 0.02
	// stragglersLoad and slowUpstreamLoad are call rates as shares of the
	// capacity.
	stragglersLoad   = 0.7
	slowUpstreamLoad = 0.4
	slowdownFactor   = 10
	short            = "short"
	long             = "long"
	// The slow upstream alternates between slow and normal periods. slowPeriod is
	// the length of each period.
	slowPeriod     = 700 * time.Millisecond
	p99RatioTarget = 1.5
	// extraCallsTarget is the maximum number of additional calls at the
	// upstreams, such as hedges and retries, as a share of the callers' calls.
	extraCallsTarget       = 0.05
	longLatencyRatioTarget = 3
)

// longCallClasses returns a class of short calls for each service and, if share
// is above 0, a class of long calls on the same route with that share of the calls.
func (l Layout) longCallClasses(share float64) []CallClass {
	var classes []CallClass
	for _, class := range l.classes(shortProcessingTime) {
		weight := class.Weight
		class.Name, class.Weight = short, weight*(1-share)
		classes = append(classes, class)
		if share > 0 {
			class.Name, class.Weight, class.ProcessingTime = long, weight*share, longProcessingFactor*shortProcessingTime
			classes = append(classes, class)
		}
	}
	return classes
}

// Stragglers measures the latency of short calls while 2% of the calls take 100
// times as long.
func Stragglers(ctx context.Context, runner *Runner, layout Layout) error {
	sh := newSheet("stragglers", layout)
	if err := runner.measureStragglers(ctx, sh, layout, (*Fleet).offer); err != nil {
		return err
	}
	sh.setTarget("short p99, with over without", AtMost(p99RatioTarget))
	sh.setTarget("long calls whole", AtLeast(0.99))
	sh.setTarget("long p50 over its work", AtMost(longLatencyRatioTarget))
	sh.setErrorTargets()
	return runner.report(sh)
}

// SlowUpstreamStragglers measures the same as Stragglers while one upstream is
// repeatedly ten times slower for a short period.
func SlowUpstreamStragglers(ctx context.Context, runner *Runner, layout Layout) error {
	runner = runner.withFewerRuns()
	sh := newSheet("slowed-stragglers", layout)
	if err := runner.measureStragglers(ctx, sh, layout, (*Fleet).offerWithSlowUpstream); err != nil {
		return err
	}
	sh.setErrorTargets()
	return runner.report(sh)
}

// offerFunc is the type of Fleet.offer and Fleet.offerWithSlowUpstream, which send
// a load to a fleet.
type offerFunc func(ft *Fleet, ctx context.Context, load Load) (CallResults, error)

func (rn *Runner) measureStragglers(ctx context.Context, sh *sheet, layout Layout, offerLoad offerFunc) error {
	layout = layout.WithDeadline(longDeadline)
	mean := time.Duration((1 - longShare + longShare*longProcessingFactor) * float64(shortProcessingTime))
	rate := stragglersLoad * layout.capacity(mean)
	return rn.compare(ctx, layout, []Variant{Product, FIFORoundRobin}, func(run int, ft *Fleet) error {
		load := Load{Rate: ConstantRate(rate * (1 - longShare)), Duration: rn.duration(2*time.Second, 15*time.Second), Seed: rn.runSeed(run)}
		load.Classes = layout.longCallClasses(0)
		alone, err := ft.offer(ctx, load)
		if err != nil {
			return err
		}
		load.Classes, load.Rate, load.Duration = layout.longCallClasses(longShare), ConstantRate(rate), load.Duration+longProcessingFactor*shortProcessingTime+time.Second
		with, err := offerLoad(ft, ctx, load)
		if err != nil {
			return err
		}
		sh.addStragglerFigures(ft.Variant, alone, with, load.Duration)
		return nil
	})
}

// addStragglerFigures adds the figures of two loads to the sheet. The first load
// has only short calls, and its results are in alone. The second load also has
// long calls, and its results are in with. The latencies and completed shares of
// the second load exclude the calls scheduled before the first long calls can
// have ended.
func (sh *sheet) addStragglerFigures(variant Variant, alone, with CallResults, duration time.Duration) {
	filled := with.Between(longProcessingFactor*shortProcessingTime, duration)
	shorts, longs := filled.WithClass(short), filled.WithClass(long)
	sh.add(variant, "short p99 without long work", "ms", alone.LatencyMillis(tailPercent))
	sh.add(variant, "short p99 with long work", "ms", shorts.LatencyMillis(tailPercent))
	sh.add(variant, "short p99, with over without", "ratio", shorts.LatencyMillis(tailPercent)/alone.LatencyMillis(tailPercent))
	sh.add(variant, "short calls whole", "share", shorts.Share(Completed))
	sh.add(variant, "long calls whole", "share", longs.Share(Completed))
	sh.add(variant, "long p50 over its work", "ratio", longs.WithStatus(Completed).LatencyMillis(medianPercent)/toMillis(longProcessingFactor*shortProcessingTime))
	sh.add(variant, "upstream calls per caller's call", "ratio", ratio(int(with.Upstreams.Runs), len(with.Results)))
	sh.addErrors(variant, with)
}

func toMillis(span time.Duration) float64 { return span.Seconds() * millisPerSecond }

// SlowUpstream measures the tail latency while one upstream of the first service is
// repeatedly ten times slower for a short period.
func SlowUpstream(ctx context.Context, runner *Runner, layout Layout) error {
	layout = layout.WithFirstGroupOnly()
	sh := newSheet("slowed", layout)
	err := runner.compare(ctx, layout, []Variant{Product, NoHedge}, func(run int, ft *Fleet) error {
		load := Load{
			Classes:  layout.classes(shortProcessingTime),
			Rate:     ConstantRate(slowUpstreamLoad * layout.capacity(shortProcessingTime)),
			Duration: runner.duration(2500*time.Millisecond, 15*time.Second),
			Seed:     runner.runSeed(run),
		}
		healthy, err := ft.offer(ctx, load)
		if err != nil {
			return err
		}
		slowed, err := ft.offerWithSlowUpstream(ctx, load)
		if err != nil {
			return err
		}
		sh.add(ft.Variant, "healthy p99", "ms", healthy.LatencyMillis(tailPercent))
		sh.add(ft.Variant, "slowed p99", "ms", slowed.LatencyMillis(tailPercent))
		sh.add(ft.Variant, "p99, slowed over healthy", "ratio", slowed.LatencyMillis(tailPercent)/healthy.LatencyMillis(tailPercent))
		sh.add(ft.Variant, "whole answers", "share", slowed.Share(Completed))
		sh.add(ft.Variant, "extra upstream calls", "share", ratio(int(slowed.Upstreams.Runs), len(slowed.Results))-1)
		sh.addErrors(ft.Variant, slowed)
		return nil
	})
	if err != nil {
		return err
	}
	sh.setTarget("p99, slowed over healthy", AtMost(p99RatioTarget))
	sh.setTarget("extra upstream calls", AtMost(extraCallsTarget))
	sh.setErrorTargets()
	return runner.report(sh)
}

// offerWithSlowUpstream sends a load to the fleet while the first upstream
// alternates between slow and normal speed.
func (ft *Fleet) offerWithSlowUpstream(ctx context.Context, load Load) (CallResults, error) {
	slowPeriods, end := context.WithCancel(ctx)
	failed := make(chan error, 1)
	go func() {
		var err error
		for factor := float64(slowdownFactor); slowPeriods.Err() == nil; factor = slowdownFactor + 1 - factor {
			if err = ft.changeUpstream(upstreamChange{Slowdown: factor}); err != nil {
				break
			}
			sleep(slowPeriods, slowPeriod)
		}
		failed <- err
	}()
	results, err := ft.offer(ctx, load)
	end()
	if slowdownErr := <-failed; err == nil {
		err = slowdownErr
	}
	if changeErr := ft.changeUpstream(upstreamChange{Slowdown: 1}); err == nil {
		err = changeErr
	}
	return results, err
}
