package bench

import (
	"context"
	"time"
)

const (
	shortWork = 20 * time.Millisecond
	// longWorkFactor is the work of a long call relative to a short one.
	longWorkFactor = 100
	// longShare is the share of the long calls in all calls.
	longShare = 0.02
	// stragglersLoad and slowUpstreamLoad are shares of the capacity.
	stragglersLoad   = 0.7
	slowUpstreamLoad = 0.4
	slowdownFactor   = 10
	short            = "short"
	long             = "long"
	// slowPeriod is the length of each slow and each normal period of the slow
	// upstream.
	slowPeriod     = 700 * time.Millisecond
	p99RatioTarget = 1.5
	// extraCallsTarget is the share of additional calls at the upstreams, such as
	// hedges and retries.
	extraCallsTarget       = 0.05
	longLatencyRatioTarget = 3
)

// longCallClasses returns a class of short calls for each service and, if share
// is above 0, a class of long calls on the same route with that share of the calls.
func (l Layout) longCallClasses(share float64) []Class {
	var classes []Class
	for _, class := range l.classes(shortWork) {
		weight := class.Weight
		class.Name, class.Weight = short, weight*(1-share)
		classes = append(classes, class)
		if share > 0 {
			class.Name, class.Weight, class.Work = long, weight*share, longWorkFactor*shortWork
			classes = append(classes, class)
		}
	}
	return classes
}

// Stragglers measures the latency of short calls while 2% of the calls take 100
// times as long.
func Stragglers(ctx context.Context, lab *Lab, layout Layout) error {
	sh := newSheet("stragglers", layout)
	if err := lab.measureStragglers(ctx, sh, layout, (*Fleet).offer); err != nil {
		return err
	}
	sh.setTarget("short p99, with over without", AtMost(p99RatioTarget))
	sh.setTarget("long calls whole", AtLeast(0.99))
	sh.setTarget("long p50 over its work", AtMost(longLatencyRatioTarget))
	sh.setErrorTargets()
	return lab.report(sh)
}

// SlowedStragglers measures the same as Stragglers while one upstream is
// repeatedly ten times slower for a short period.
func SlowedStragglers(ctx context.Context, lab *Lab, layout Layout) error {
	lab = lab.withFewerRuns()
	sh := newSheet("slowed-stragglers", layout)
	if err := lab.measureStragglers(ctx, sh, layout, (*Fleet).offerSlowed); err != nil {
		return err
	}
	sh.setErrorTargets()
	return lab.report(sh)
}

// offerFunc is the type of Fleet.offer and Fleet.offerSlowed, which send a load to a
// fleet.
type offerFunc func(ft *Fleet, ctx context.Context, load Load) (Outcome, error)

func (lb *Lab) measureStragglers(ctx context.Context, sh *sheet, layout Layout, offerLoad offerFunc) error {
	layout = layout.WithDeadline(longDeadline)
	mean := time.Duration((1 - longShare + longShare*longWorkFactor) * float64(shortWork))
	rate := stragglersLoad * layout.capacity(mean)
	return lb.compare(ctx, layout, []Variant{Product, FIFORoundRobin}, func(run int, ft *Fleet) error {
		load := Load{Rate: Steady(rate * (1 - longShare)), Length: lb.duration(2*time.Second, 15*time.Second), Seed: lb.runSeed(run)}
		load.Classes = layout.longCallClasses(0)
		alone, err := ft.offer(ctx, load)
		if err != nil {
			return err
		}
		load.Classes, load.Rate, load.Length = layout.longCallClasses(longShare), Steady(rate), load.Length+longWorkFactor*shortWork+time.Second
		with, err := offerLoad(ft, ctx, load)
		if err != nil {
			return err
		}
		sh.addStragglerFigures(ft.Variant, alone, with, load.Length)
		return nil
	})
}

// addStragglerFigures adds the figures of two loads to the sheet: alone has only
// short calls, with also has long calls. It skips the start of the latter, until
// the first long calls can end.
func (sh *sheet) addStragglerFigures(variant Variant, alone, with Outcome, length time.Duration) {
	filled := with.Between(longWorkFactor*shortWork, length)
	shorts, longs := filled.Class(short), filled.Class(long)
	sh.add(variant, "short p99 without long work", "ms", alone.Millis(tailPercent))
	sh.add(variant, "short p99 with long work", "ms", shorts.Millis(tailPercent))
	sh.add(variant, "short p99, with over without", "ratio", shorts.Millis(tailPercent)/alone.Millis(tailPercent))
	sh.add(variant, "short calls whole", "share", shorts.Share(Whole))
	sh.add(variant, "long calls whole", "share", longs.Share(Whole))
	sh.add(variant, "long p50 over its work", "ratio", longs.With(Whole).Millis(medianPercent)/toMillis(longWorkFactor*shortWork))
	sh.add(variant, "upstream calls per caller's call", "ratio", ratio(int(with.Upstreams.Runs), len(with.Results)))
	sh.addErrors(variant, with)
}

func toMillis(span time.Duration) float64 { return span.Seconds() * millisPerSecond }

// Slowed measures the tail latency while one upstream of the first service is
// repeatedly ten times slower for a short period.
func Slowed(ctx context.Context, lab *Lab, layout Layout) error {
	layout = layout.Only()
	sh := newSheet("slowed", layout)
	err := lab.compare(ctx, layout, []Variant{Product, NoHedge}, func(run int, ft *Fleet) error {
		load := Load{
			Classes: layout.classes(shortWork),
			Rate:    Steady(slowUpstreamLoad * layout.capacity(shortWork)),
			Length:  lab.duration(2500*time.Millisecond, 15*time.Second),
			Seed:    lab.runSeed(run),
		}
		healthy, err := ft.offer(ctx, load)
		if err != nil {
			return err
		}
		slowed, err := ft.offerSlowed(ctx, load)
		if err != nil {
			return err
		}
		sh.add(ft.Variant, "healthy p99", "ms", healthy.Millis(tailPercent))
		sh.add(ft.Variant, "slowed p99", "ms", slowed.Millis(tailPercent))
		sh.add(ft.Variant, "p99, slowed over healthy", "ratio", slowed.Millis(tailPercent)/healthy.Millis(tailPercent))
		sh.add(ft.Variant, "whole answers", "share", slowed.Share(Whole))
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
	return lab.report(sh)
}

// offerSlowed sends a load to the fleet while the first upstream alternates
// between slow and normal speed.
func (ft *Fleet) offerSlowed(ctx context.Context, load Load) (Outcome, error) {
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
	outcome, err := ft.offer(ctx, load)
	end()
	if spellErr := <-failed; err == nil {
		err = spellErr
	}
	if changeErr := ft.changeUpstream(upstreamChange{Slowdown: 1}); err == nil {
		err = changeErr
	}
	return outcome, err
}
