package bench

import (
	"context"
	"net/http"
	"time"

	"sequoiamill.example/sequoiamill/fakes"
)

const (
	sampleInterval = 100 * time.Millisecond
	churnInterval  = 500 * time.Millisecond
	// steadyNodeRate is in calls per second and node.
	steadyNodeRate       = 30
	normalProcessingTime = 20 * time.Millisecond
	// platformReadTarget and platformWriteTarget are in calls per second.
	platformReadTarget  = 2000
	platformWriteTarget = 300
	// joinTarget is in seconds.
	joinTarget = 10
)

// DemandPeakLeavingUpstream measures the same as DemandPeak while one upstream
// leaves at the peak.
func DemandPeakLeavingUpstream(ctx context.Context, runner *Runner, layout Layout) error {
	runner = runner.withFewerRuns()
	layout = layout.WithDeadline(peakDeadline)
	sh := newSheet("crest-leaving", layout)
	err := runner.compare(ctx, layout, []Variant{Product, NoAdmission}, func(run int, ft *Fleet) error {
		dp := runner.demandPeak(layout, run)
		dp.capacity *= float64(layout.Size()-1) / float64(layout.Size())
		leave := time.AfterFunc(dp.begin+time.Second, func() {
			_ = ft.changeUpstream(upstreamChange{Leaving: true, Announce: true})
		})
		defer leave.Stop()
		results, err := ft.offer(ctx, dp.load)
		if err != nil {
			return err
		}
		dp.addFigures(sh, ft.Variant, results)
		sh.add(ft.Variant, "calls begun at the leaving upstream after 2 s", "count", float64(results.Upstreams.Late))
		if err := ft.changeUpstream(upstreamChange{Announce: true}); err != nil {
			return err
		}
		return ft.AwaitReady(ctx)
	})
	if err != nil {
		return err
	}
	setPeakTargets(sh)
	sh.setTarget("calls begun at the leaving upstream after 2 s", AtMost(0))
	return runner.report(sh)
}

// platformPeak samples the platform's counters and keeps the highest rates of
// reads and writes per second.
type platformPeak struct {
	reads, writes float64
	done          chan struct{}
}

func (ft *Fleet) samplePlatformPeak(ctx context.Context) *platformPeak {
	peak := &platformPeak{done: make(chan struct{})}
	go func() {
		defer close(peak.done)
		last, err := ft.platformCounts()
		when := time.Now()
		for sleep(ctx, time.Second) && err == nil {
			var next fakes.CallCounts
			next, err = ft.platformCounts()
			seconds := time.Since(when).Seconds()
			peak.reads = max(peak.reads, float64(next.Reads-last.Reads)/seconds)
			peak.writes = max(peak.writes, float64(next.Writes-last.Writes)/seconds)
			last, when = next, time.Now()
		}
	}()
	return peak
}

// FleetRestart measures the recovery of a fleet whose nodes are all killed and
// restarted at the demand peak.
func FleetRestart(ctx context.Context, runner *Runner, layout Layout) error {
	runner = runner.withFewerRuns()
	layout = layout.WithDeadline(peakDeadline)
	sh := newSheet("herd", layout)
	err := runner.compare(ctx, layout, []Variant{Product}, func(run int, ft *Fleet) error {
		return runner.measureRestart(ctx, sh, run, ft)
	})
	if err != nil {
		return err
	}
	sh.setTarget("platform reads, greatest", AtMost(platformReadTarget))
	sh.setTarget("platform writes, greatest", AtMost(platformWriteTarget))
	sh.setErrorTargets()
	return runner.report(sh)
}

func (rn *Runner) measureRestart(ctx context.Context, sh *sheet, run int, ft *Fleet) error {
	dp := rn.demandPeak(ft.Layout, run)
	dp.load.Duration = dp.end + 6*time.Second
	killAt := dp.begin + time.Second
	following, stop := context.WithCancel(ctx)
	defer stop()
	peak := ft.samplePlatformPeak(following)
	restarted := make(chan error, 1)
	var ready time.Duration
	go func() {
		sleep(ctx, killAt)
		began := time.Now()
		err := ft.RestartAll()
		if err == nil {
			err = ft.AwaitReady(ctx)
		}
		ready = time.Since(began)
		restarted <- err
	}()
	results, err := ft.offer(ctx, dp.load)
	if restartErr := <-restarted; err == nil {
		err = restartErr
	}
	stop()
	<-peak.done
	if err != nil {
		return err
	}
	served := results.WithClass(important)
	sh.add(ft.Variant, "all nodes know all upstreams again after", "s", ready.Seconds())
	sh.add(ft.Variant, "important calls served again after", "s", recovery(served, killAt, dp.load.Duration).Seconds())
	sh.add(ft.Variant, "back to normal after the crest", "s", recovery(results, dp.end+time.Second, dp.load.Duration).Seconds())
	sh.add(ft.Variant, "platform reads, greatest", "per s", peak.reads)
	sh.add(ft.Variant, "platform writes, greatest", "per s", peak.writes)
	sh.add(ft.Variant, "upstream calls per caller's call", "ratio", ratio(int(results.Upstreams.Runs), len(results.Results)))
	sh.addErrors(ft.Variant, results)
	return nil
}

// steadyLoad returns a low, constant load of all call classes.
func (rn *Runner) steadyLoad(layout Layout, run int, duration time.Duration) Load {
	return Load{
		Classes:  layout.importanceClasses(normalProcessingTime),
		Rate:     ConstantRate(steadyNodeRate * float64(layout.Size())),
		Duration: duration,
		Seed:     rn.runSeed(run),
	}
}

// Outage measures the calls during a platform outage while upstreams leave and
// return and one node restarts.
func Outage(ctx context.Context, runner *Runner, layout Layout) error {
	runner = runner.withFewerRuns()
	sh := newSheet("outage", layout)
	err := runner.compare(ctx, layout, []Variant{Product}, func(run int, ft *Fleet) error {
		return runner.measureOutage(ctx, sh, run, ft)
	})
	if err != nil {
		return err
	}
	sh.setTarget("whole answers", AtLeast(0.99))
	sh.setTarget("a node started in the outage serves after", AtMost(joinTarget))
	sh.setTarget("version in force after the outage, over before", AtLeast(1))
	sh.setErrorTargets()
	return runner.report(sh)
}

func (rn *Runner) measureOutage(ctx context.Context, sh *sheet, run int, ft *Fleet) error {
	span := rn.duration(12*time.Second, 60*time.Second)
	version := ft.version
	if err := ft.setFaults(fakes.Faults{Down: true}); err != nil {
		return err
	}
	churn, end := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- ft.churnUpstreams(churn) }()
	restarted := make(chan time.Duration, 1)
	go func() { restarted <- ft.restartOne(churn, time.Second) }()
	results, err := ft.offer(ctx, rn.steadyLoad(ft.Layout, run, span))
	end()
	started := <-restarted
	if churnErr := <-done; err == nil {
		err = churnErr
	}
	if err != nil {
		return err
	}
	if err := ft.setFaults(fakes.Faults{}); err != nil {
		return err
	}
	back := time.Now()
	if err := await(ctx, "a change after the outage", func() error { _, err := ft.applySmallChange(ctx, run); return err }); err != nil {
		return err
	}
	if err := ft.AwaitReady(ctx); err != nil {
		return err
	}
	sh.add(ft.Variant, "whole answers", "share", results.Share(Completed))
	sh.add(ft.Variant, "p99", "ms", results.LatencyMillis(tailPercent))
	sh.add(ft.Variant, "a node started in the outage serves after", "s", started.Seconds())
	sh.add(ft.Variant, "change in force everywhere after the outage", "s", time.Since(back).Seconds())
	sh.add(ft.Variant, "version in force after the outage, over before", "ratio", float64(ft.version)/float64(version))
	sh.addErrors(ft.Variant, results)
	return nil
}

// churnUpstreams makes the upstreams leave and return in turn, one at a time,
// until the context ends.
func (ft *Fleet) churnUpstreams(ctx context.Context) error {
	for number := 1; ctx.Err() == nil; number++ {
		leaving := number % len(ft.Instances)
		for _, left := range []bool{true, false} {
			if err := ft.changeUpstream(upstreamChange{Upstream: leaving, Leaving: left, Announce: true}); err != nil {
				return err
			}
			sleep(ctx, churnInterval)
		}
	}
	return nil
}

// restartOne waits for the given time, stops the first node gracefully and starts
// it again. It returns the time from this start until the node was ready. If the
// node cannot be started, or if the context ends before the node is ready,
// restartOne returns maxRecordedLatency.
func (ft *Fleet) restartOne(ctx context.Context, wait time.Duration) time.Duration {
	sleep(ctx, wait)
	first := ft.Instances[0]
	first.process.stop()
	began := time.Now()
	if ft.startNode(first) != nil {
		return maxRecordedLatency
	}
	for sleep(ctx, pollInterval) {
		response, err := ft.http.Get("http://" + first.AdminAddress + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return time.Since(began)
		}
	}
	return maxRecordedLatency
}

// Churn measures calls and the propagation of configuration changes at one change
// per second.
func Churn(ctx context.Context, runner *Runner, layout Layout) error {
	runner = runner.withFewerRuns()
	sh := newSheet("churn", layout)
	span := runner.duration(3*time.Second, 30*time.Second)
	err := runner.compare(ctx, layout, []Variant{Product, AllNodesWatch}, func(run int, ft *Fleet) error {
		quiet, err := ft.offer(ctx, runner.steadyLoad(layout, run, span))
		if err != nil {
			return err
		}
		var accepted []appliedChange
		done := make(chan error, 1)
		go func() {
			var err error
			count := int(span / changeInterval)
			accepted, err = ft.applyChanges(ctx, run*count, count, changeInterval)
			done <- err
		}()
		busy, err := ft.offer(ctx, runner.steadyLoad(layout, run, span))
		if changeErr := <-done; err == nil {
			err = changeErr
		}
		if err != nil {
			return err
		}
		times, err := ft.propagation(ctx, accepted)
		times.add(sh, ft.Variant)
		sh.add(ft.Variant, "whole answers", "share", busy.Share(Completed))
		sh.add(ft.Variant, "p99, changing over quiet", "ratio", busy.LatencyMillis(tailPercent)/quiet.LatencyMillis(tailPercent))
		sh.addErrors(ft.Variant, busy)
		return err
	})
	if err != nil {
		return err
	}
	sh.setTarget("whole answers", AtLeast(0.99))
	sh.setTarget("accepted to in force everywhere, p99", AtMost(convergeTarget))
	sh.setErrorTargets()
	return runner.report(sh)
}
