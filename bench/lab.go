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
	// reducedRuns is the number of runs in Quick mode of the experiments that use
	// withFewerRuns.
	reducedRuns = 3
)

// Lab runs experiments and reports their figures.
type Lab struct {
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

// Option changes a setting of a lab.
type Option func(*Lab)

// WithMode sets how long experiments take.
func WithMode(mode Mode) Option {
	return func(lb *Lab) { lb.mode = mode }
}

// WithRuns sets the number of runs of each experiment.
func WithRuns(runs int) Option {
	return func(lb *Lab) { lb.runs = runs }
}

// WithSeed sets the seed of the first run. The seed of each later run is one
// higher.
func WithSeed(seed uint64) Option {
	return func(lb *Lab) { lb.seed = seed }
}

// WithDir sets the directory for tables, results and charts.
func WithDir(dir string) Option {
	return func(lb *Lab) { lb.dir = dir }
}

// WithAlso adds a variant that runs the nodes with the given flags to every
// comparison.
func WithAlso(flags ...string) Option {
	return func(lb *Lab) {
		if len(flags) > 0 {
			lb.extraVariants = append(lb.extraVariants, Variant{Name: strings.Join(flags, " "), Flags: flags})
		}
	}
}

// NewLab returns a lab that prints its tables to out.
func NewLab(out io.Writer, opts ...Option) *Lab {
	lb := &Lab{out: out, mode: Quick, runs: defaultRuns, seed: 1}
	for _, opt := range opts {
		opt(lb)
	}
	if lb.mode == Smoke {
		lb.runs = 1
	}
	return lb
}

// duration returns full in Full mode and quick in the other modes.
func (lb *Lab) duration(quick, full time.Duration) time.Duration {
	if lb.mode == Full {
		return full
	}
	return quick
}

// count returns the argument for the lab's mode.
func (lb *Lab) count(smoke, quick, full int) int {
	return []int{smoke, quick, full}[lb.mode]
}

// withFewerRuns returns a copy of the lab with at most reducedRuns runs in Quick
// mode.
func (lb *Lab) withFewerRuns() *Lab {
	few := *lb
	if lb.mode == Quick {
		few.runs = min(lb.runs, reducedRuns)
	}
	return &few
}

func (lb *Lab) runSeed(run int) uint64 { return lb.seed + uint64(run) }

func (lb *Lab) report(sh *sheet) error {
	if len(lb.loadAverages) > 0 {
		sh.figures = append(sh.figures, Figure{
			Experiment: sh.experiment, Layout: sh.layout, Variant: "machine", Name: "load average of a minute", Unit: "processes", Runs: lb.loadAverages,
		})
	}
	lb.loadAverages = nil
	title := sh.experiment + " on " + sh.layout
	writeTable(lb.out, title, sh.figures)
	if lb.dir == "" {
		return nil
	}
	return writeFiles(lb.dir, title, lb.seed, sh.figures)
}

// compare starts one fleet for each variant and calls measure once per run for
// each fleet. Each run begins with a different fleet, so that no variant is always
// measured first.
func (lb *Lab) compare(ctx context.Context, layout Layout, variants []Variant, measure func(run int, ft *Fleet) error) error {
	var fleets []*Fleet
	defer func() {
		for _, ft := range fleets {
			ft.Stop()
		}
	}()
	for _, variant := range slices.Concat(variants, lb.extraVariants) {
		ft, err := StartFleet(ctx, layout, variant)
		if err != nil {
			return err
		}
		fleets = append(fleets, ft)
	}
	for run := range lb.runs {
		for turn := range fleets {
			ft := fleets[(run+turn)%len(fleets)]
			if err := measure(run, ft); err != nil {
				return err
			}
			lb.loadAverages = append(lb.loadAverages, loadAverage())
			if dead := ft.exitedNodes(); dead != "" {
				_, _ = fmt.Fprintf(lb.out, "nodes that exited unexpectedly (%s): %s\n", ft.Variant.Name, dead)
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
func (ft *Fleet) offer(ctx context.Context, load Load) (Outcome, error) {
	before, err := ft.upstreamCounts()
	if err != nil {
		return Outcome{}, err
	}
	outcome := newCaller(load, ft.callers(), ft.Layout.Deadline).run(ctx)
	after, err := ft.upstreamCounts()
	outcome.Upstreams = after.sub(before)
	return outcome, err
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
			figure.Runs = append(figure.Runs, value)
			return
		}
	}
	sh.figures = append(sh.figures, Figure{
		Experiment: sh.experiment, Layout: sh.layout, Variant: variant.Name, Name: name, Unit: unit, Runs: []float64{value},
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
func (sh *sheet) addErrors(variant Variant, outcome Outcome) {
	sh.add(variant, "wrong answers", "count", float64(outcome.Wrong))
	sh.add(variant, "keys run twice", "count", float64(outcome.Upstreams.Duplicates))
	sh.add(variant, "no answer", "count", float64(len(outcome.With(Broken).Results)))
	sh.add(variant, "refused", "count", float64(len(outcome.With(Refused).Results)))
	sh.add(variant, "outcome unknown", "count", float64(len(outcome.With(Unknown).Results)))
	kinds := outcome.errorKindCounts()
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		sh.add(variant, "errors "+kind+", in runs with any", "count", float64(kinds[kind]))
	}
}

// setErrorTargets requires that no answer is wrong and that no idempotency key
// runs twice.
func (sh *sheet) setErrorTargets() {
	sh.setTarget("wrong answers", AtMost(0))
	sh.setTarget("keys run twice", AtMost(0))
}
