package bench

import (
	"context"
	"fmt"
	"time"
)

const (
	// extrapolatedNodes is the fleet size to which the fitted lines are extended.
	extrapolatedNodes = 910
	// loadedNodeRate is in calls per second and node.
	loadedNodeRate     = 10
	quickSettleTimeout = 30 * time.Second
	fullSettleTimeout  = 2 * time.Minute
	// settleSampleSize is the number of nodes whose counters settle reads. It is
	// small, so that reading them adds little to the measured traffic of all nodes.
	settleSampleSize = 3
	settleInterval   = 3 * time.Second
	// settledExchangeRate is in messages per second and node. A node sends one
	// message per second if it has nothing to disseminate, and two if it has.
	settledExchangeRate = 1.4
	quickWindow         = 1500 * time.Millisecond
	fullWindow          = 10 * time.Second
)

// FleetScaling measures the resource usage per node in fleets of several sizes,
// fits a line over the number of nodes and extrapolates it to extrapolatedNodes.
func FleetScaling(ctx context.Context, runner *Runner, sizes []int) error {
	sh := &sheet{experiment: "slopes", layout: "scale"}
	points := map[string][]Point{}
	var order []Figure
	for _, size := range sizes {
		sizeSheet := newSheet("slopes", Scale(size))
		if err := runner.measureSize(ctx, sizeSheet, Scale(size)); err != nil {
			return err
		}
		runner.loadAverages = append(runner.loadAverages, loadAverage())
		order = sizeSheet.figures
		if err := runner.report(sizeSheet); err != nil {
			return err
		}
		for _, figure := range order {
			points[figure.Name] = append(points[figure.Name], Point{X: float64(size), Y: Median(figure.Values)})
		}
	}
	for _, figure := range order {
		sh.addFit(figure, points[figure.Name])
	}
	sh.setExtrapolatedTarget("bytes in and out, "+typicalDay, AtMost(trafficTarget))
	sh.setExtrapolatedTarget("processor, "+typicalDay, AtMost(cpuTarget))
	sh.setExtrapolatedTarget("memory, loaded", AtMost(memoryTarget))
	return runner.report(sh)
}

// extrapolated is the variant name of the extrapolated values.
var extrapolated = fmt.Sprintf("extrapolated to %d nodes", extrapolatedNodes)

// addFit adds the intercept and the slope of the line fitted through the points,
// and the value extrapolated to extrapolatedNodes.
func (sh *sheet) addFit(figure Figure, points []Point) {
	line := FitLine(points)
	sh.add(Variant{Name: "at 0 nodes"}, figure.Name, figure.Unit, line.Intercept)
	sh.add(Variant{Name: "slope"}, figure.Name, figure.Unit+" per 100 nodes", percent*line.Slope)
	sh.add(Variant{Name: extrapolated}, figure.Name, figure.Unit, extrapolate(points, extrapolatedNodes))
}

// extrapolate returns the value of the fitted line at a size beyond the points. If
// the line falls, it returns the mean of the points instead.
func extrapolate(points []Point, size float64) float64 {
	line := FitLine(points)
	if line.Slope >= 0 {
		return line.ValueAt(size)
	}
	sum := 0.0
	for _, point := range points {
		sum += point.Y
	}
	return sum / float64(len(points))
}

// setExtrapolatedTarget sets the target of the extrapolated figures that have the
// given name.
func (sh *sheet) setExtrapolatedTarget(name string, target *Target) {
	for i := range sh.figures {
		if figure := &sh.figures[i]; figure.Variant == extrapolated && figure.Name == name {
			figure.Target = target
		}
	}
}

// measureSize measures a fleet of one size: first idle, then with configuration
// changes until the nodes have disseminated them, then with calls.
func (rn *Runner) measureSize(ctx context.Context, sh *sheet, layout Layout) error {
	ft, err := StartFleet(ctx, layout, Product)
	if err != nil {
		return err
	}
	defer ft.Stop()
	if err := ft.settle(ctx, rn.duration(quickSettleTimeout, fullSettleTimeout)); err != nil {
		return err
	}
	idle, err := rn.measureIdle(ctx, sh, ft)
	if err != nil {
		return err
	}
	if err := rn.measureChanges(ctx, sh, ft, idle); err != nil {
		return err
	}
	return rn.measureCalls(ctx, sh, ft, idle)
}

// settle waits until the nodes have nothing left to disseminate, which it infers
// from their exchange rate, or until the time limit has passed.
func (ft *Fleet) settle(ctx context.Context, limit time.Duration) error {
	began := time.Now()
	for time.Since(began) < limit {
		before, err := ft.sampleExchanges()
		if err != nil {
			return err
		}
		start := time.Now()
		sleep(ctx, settleInterval)
		after, err := ft.sampleExchanges()
		if err != nil {
			return err
		}
		if (after-before)/time.Since(start).Seconds()/settleSampleSize < settledExchangeRate {
			return nil
		}
	}
	return ctx.Err()
}

func (ft *Fleet) sampleExchanges() (float64, error) {
	sum := 0.0
	for i := range settleSampleSize {
		metrics, err := scrape(ft.http, ft.Instances[i*len(ft.Instances)/settleSampleSize].AdminAddress)
		if err != nil {
			return 0, err
		}
		sum += metrics.Values[exchangesSentMetric]
	}
	return sum, nil
}

// measureIdle measures idle nodes in each run. It returns the medians over the
// runs of the processor usage, in CPU, and of the sum of the bytes read and
// written, in BytesRead.
func (rn *Runner) measureIdle(ctx context.Context, sh *sheet, ft *Fleet) (Rates, error) {
	var bytes, cpu []float64
	for range rn.runs {
		idle, err := ft.measureWindow(ctx, rn.duration(quickWindow, fullWindow), nil)
		if err != nil {
			return Rates{}, err
		}
		bytes, cpu = append(bytes, idle.BytesRead+idle.BytesWritten), append(cpu, idle.CPU)
		sh.add(Product, "bytes in and out, idle", "KB/s per node", (idle.BytesRead+idle.BytesWritten)/kilobyte)
		sh.add(Product, "processor, idle", "% of a core per node", percent*idle.CPU)
		sh.add(Product, "exchanges, idle", "per s and node", idle.Exchanges)
		sh.add(Product, "platform calls, idle", "per s, all nodes", idle.PlatformCalls)
	}
	return Rates{BytesRead: Median(bytes), CPU: Median(cpu)}, nil
}

// measureChanges publishes a few changes in each run and measures the usage until
// the nodes have disseminated them. Its figures count only the usage above idle.
func (rn *Runner) measureChanges(ctx context.Context, sh *sheet, ft *Fleet, idle Rates) error {
	const changesPerRun = 2
	for run := range rn.runs {
		var accepted []appliedChange
		used, err := ft.measureWindow(ctx, 0, func() (err error) {
			if accepted, err = ft.applyChanges(ctx, run*changesPerRun, changesPerRun, changePause); err != nil {
				return err
			}
			return ft.settle(ctx, rn.duration(quickSettleTimeout, fullSettleTimeout))
		})
		if err != nil {
			return err
		}
		times, err := ft.propagation(ctx, accepted)
		if err != nil {
			return err
		}
		perChange := used.Duration.Seconds() / changesPerRun
		bytes := max(0, used.BytesRead+used.BytesWritten-idle.BytesRead) * perChange
		cpu := max(0, used.CPU-idle.CPU) * perChange
		const perSecond = float64(changesPerDay) / daySeconds
		sh.add(Product, "bytes per change", "KB per node", bytes/kilobyte)
		sh.add(Product, "time per change", "ms of processor per node", millisPerSecond*cpu)
		sh.add(Product, "platform calls per change", "count, all nodes", used.PlatformCalls*perChange)
		sh.add(Product, "bytes in and out, "+typicalDay, "KB/s per node", (idle.BytesRead+bytes*perSecond)/kilobyte)
		sh.add(Product, "processor, "+typicalDay, "% of a core per node", percent*(idle.CPU+cpu*perSecond))
		sh.add(Product, "accepted to in force everywhere, slowest", "ms", Quantile(times.sinceAccepted, 1))
	}
	return nil
}

func (rn *Runner) measureCalls(ctx context.Context, sh *sheet, ft *Fleet, idle Rates) error {
	span := rn.duration(quickWindow, fullWindow)
	for run := range rn.runs {
		load := Load{
			Classes:  ft.Layout.classes(normalProcessingTime),
			Rate:     ConstantRate(loadedNodeRate * float64(ft.Layout.Size())),
			Duration: span,
			Seed:     rn.runSeed(run),
		}
		calls := 0.0
		used, err := ft.measureWindow(ctx, span, func() error {
			results, err := ft.offer(ctx, load)
			calls = float64(len(results.Results)) / span.Seconds() / float64(ft.Layout.Size())
			return err
		})
		if err != nil {
			return err
		}
		sh.add(Product, "time per call, 10 calls/s per node", "µs of processor", 1e6*(used.CPU-idle.CPU)/calls)
		sh.add(Product, "memory, loaded", "MB per node", used.ResidentBytes/megabyte)
	}
	return nil
}
