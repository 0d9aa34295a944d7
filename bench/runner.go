package bench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"time"
)

// Mode selects how long experiments run.
type Mode int

// The modes, from the shortest to the longest.
const (
	Smoke Mode = iota
	Quick
	Full
)

const (
	defaultRuns = 5
	// reducedRuns is the number of runs, in Quick mode, of each experiment that
	// uses withFewerRuns.
	reducedRuns = 3
)

// Runner runs experiments and reports their figures.
type Runner struct {
	out  io.Writer
	dir  string
	mode Mode
	runs int
	seed uint64
	// extraVariants are run in every comparison, besides the variants of the
	// experiment.
	extraVariants []Variant
	// loadAverages holds the machine's load average after each measurement since
	// the last report.
	loadAverages []float64
}

// Option changes a setting of a runner.
type Option func(*Runner)

// WithMode sets how long experiments take.
func WithMode(mode Mode) Option {
	return func(rn *Runner) { rn.mode = mode }
}

// WithRuns sets the number of runs of each experiment.
func WithRuns(runs int) Option {
	return func(rn *Runner) { rn.runs = runs }
}

// WithSeed sets the seed of the first run. The seed of each later run is one
// higher.
func WithSeed(seed uint64) Option {
	return func(rn *Runner) { rn.seed = seed }
}

// WithDir sets the directory for tables, results and charts.
func WithDir(dir string) Option {
	return func(rn *Runner) { rn.dir = dir }
}

// WithExtraVariant adds a variant that runs the nodes with the given flags to
// every comparison. It does nothing if there are no flags.
func WithExtraVariant(flags ...string) Option {
	return func(rn *Runner) {
		if len(flags) > 0 {
			rn.extraVariants = append(rn.extraVariants, Variant{Name: strings.Join(flags, " "), Flags: flags})
		}
	}
}

// NewRunner returns a runner that prints its tables to out.
func NewRunner(out io.Writer, opts ...Option) *Runner {
	rn := &Runner{out: out, mode: Quick, runs: defaultRuns, seed: 1}
	for _, opt := range opts {
		opt(rn)
	}
	if rn.mode == Smoke {
		rn.runs = 1
	}
	return rn
}

// duration returns full in Full mode and quick in the other modes.
func (rn *Runner) duration(quick, full time.Duration) time.Duration {
	if rn.mode == Full {
		return full
	}
	return quick
}

// count returns smoke, quick or full, depending on the runner's mode.
func (rn *Runner) count(smoke, quick, full int) int {
	return []int{smoke, quick, full}[rn.mode]
}

// withFewerRuns returns a copy of the runner with at most reducedRuns runs in
// Quick mode.
func (rn *Runner) withFewerRuns() *Runner {
	few := *rn
	if rn.mode == Quick {
		few.runs = min(rn.runs, reducedRuns)
	}
	return &few
}

func (rn *Runner) runSeed(run int) uint64 { return rn.seed + uint64(run) }

func (rn *Runner) report(sh *sheet) error {
	if len(rn.loadAverages) > 0 {
		sh.figures = append(sh.figures, Figure{
			Experiment: sh.experiment, Layout: sh.layout, Variant: "machine", Name: "load average of a minute", Unit: "processes", Values: rn.loadAverages,
		})
	}
	rn.loadAverages = nil
	title := sh.experiment + " on " + sh.layout
	writeTable(rn.out, title, sh.figures)
	if rn.dir == "" {
		return nil
	}
	return writeFiles(rn.dir, title, rn.seed, sh.figures)
}

// compare starts one fleet for each variant and, in each run, calls measure once
// for each fleet. The fleet that is measured first changes from run to run, so
// that no variant is always first.
func (rn *Runner) compare(ctx context.Context, layout Layout, variants []Variant, measure func(run int, ft *Fleet) error) error {
	var fleets []*Fleet
	defer func() {
		for _, ft := range fleets {
			ft.Stop()
		}
	}()
	for _, variant := range slices.Concat(variants, rn.extraVariants) {
		ft, err := StartFleet(ctx, layout, variant)
		if err != nil {
			return err
		}
		fleets = append(fleets, ft)
	}
	for run := range rn.runs {
		for turn := range fleets {
			ft := fleets[(run+turn)%len(fleets)]
			if err := measure(run, ft); err != nil {
				return err
			}
			rn.loadAverages = append(rn.loadAverages, loadAverage())
			if dead := ft.exitedNodes(); dead != "" {
				_, _ = fmt.Fprintf(rn.out, "nodes that exited unexpectedly (%s): %s\n", ft.Variant.Name, dead)
			}
		}
	}
	return ctx.Err()
}

// loadAverage returns the machine's load average over one minute, or NaN if it
// cannot be read.
func loadAverage() float64 {
	var average float64
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		_, err = fmt.Sscan(string(text), &average)
	}
	if err != nil {
		return math.NaN()
	}
	return average
}

// offer sends a load to the nodes of the fleet and returns the results of its
// calls.
func (ft *Fleet) offer(ctx context.Context, load Load) (CallResults, error) {
	before, err := ft.upstreamCounts()
	if err != nil {
		return CallResults{}, err
	}
	results := newCaller(load, ft.callerAddresses(), ft.Layout.Deadline).run(ctx)
	after, err := ft.upstreamCounts()
	results.Upstreams = after.sub(before)
	return results, err
}

// sheet collects the figures of one experiment. Figures are in the order in
// which their first values were added.
type sheet struct {
	experiment string
	layout     string
	figures    []Figure
}

func newSheet(experiment string, layout Layout) *sheet {
	return &sheet{experiment: experiment, layout: layout.Name}
}

// add adds the value of one run to the figure with this variant and name.
func (sh *sheet) add(variant Variant, name, unit string, value float64) {
	for i := range sh.figures {
		if figure := &sh.figures[i]; figure.Variant == variant.Name && figure.Name == name {
			figure.Values = append(figure.Values, value)
			return
		}
	}
	sh.figures = append(sh.figures, Figure{
		Experiment: sh.experiment, Layout: sh.layout, Variant: variant.Name, Name: name, Unit: unit, Values: []float64{value},
	})
}

// setTarget sets the target of the named figure of the product variant.
func (sh *sheet) setTarget(name string, target *Target) {
	for i := range sh.figures {
		if figure := &sh.figures[i]; figure.Variant == Product.Name && figure.Name == name {
			figure.Target = target
		}
	}
}

// addErrors adds the numbers of wrong answers, of repeated idempotency keys, of
// calls without a complete answer and of error answers of each kind.
func (sh *sheet) addErrors(variant Variant, results CallResults) {
	sh.add(variant, "wrong answers", "count", float64(results.WrongAnswers))
	sh.add(variant, "keys run twice", "count", float64(results.Upstreams.Duplicates))
	sh.add(variant, "no answer", "count", float64(len(results.WithStatus(Failed).Results)))
	sh.add(variant, "refused", "count", float64(len(results.WithStatus(Refused).Results)))
	sh.add(variant, "outcome unknown", "count", float64(len(results.WithStatus(Unknown).Results)))
	kinds := results.errorKindCounts()
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		sh.add(variant, "errors "+kind+", in runs with any", "count", float64(kinds[kind]))
	}
}

// setErrorTargets sets targets which require that no answer is wrong and that no
// call with the same idempotency key runs twice.
func (sh *sheet) setErrorTargets() {
	sh.setTarget("wrong answers", AtMost(0))
	sh.setTarget("keys run twice", AtMost(0))
}
