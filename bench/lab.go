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

// Mode is how long experiments take.
type Mode int

// The modes, from the shortest to the longest.
const (
	Smoke Mode = iota
	Quick
	Full
)

const (
	defaultRuns  = 5
	combinedRuns = 3
)

// Lab runs experiments and reports their figures.
type Lab struct {
	out  io.Writer
	dir  string
	mode Mode
	runs int
	seed uint64
	// also holds further variants that every comparison runs.
	also []Variant
	// busy holds the load average of the machine after each measurement since
	// the last report.
	busy []float64
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

// WithSeed sets the seed of the first run; later ones count up from it.
func WithSeed(seed uint64) Option {
	return func(lb *Lab) { lb.seed = seed }
}

// WithDir sets the directory for tables, results and charts.
func WithDir(dir string) Option {
	return func(lb *Lab) { lb.dir = dir }
}

// WithAlso adds a variant with these flags of the nodes to every comparison.
func WithAlso(flags ...string) Option {
	return func(lb *Lab) {
		if len(flags) > 0 {
			lb.also = append(lb.also, Variant{Name: strings.Join(flags, " "), Flags: flags})
		}
	}
}

// NewLab returns a lab that prints its tables.
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

// span returns a time for the lab's mode.
func (lb *Lab) span(quick, full time.Duration) time.Duration {
	if lb.mode == Full {
		return full
	}
	return quick
}

// count returns a number for the lab's mode.
func (lb *Lab) count(smoke, quick, full int) int {
	return []int{smoke, quick, full}[lb.mode]
}

// fewer returns a lab whose quick mode has fewer runs.
func (lb *Lab) fewer() *Lab {
	few := *lb
	if lb.mode == Quick {
		few.runs = min(lb.runs, combinedRuns)
	}
	return &few
}

func (lb *Lab) seedOf(run int) uint64 { return lb.seed + uint64(run) }

func (lb *Lab) report(sh *sheet) error {
	if len(lb.busy) > 0 {
		sh.figures = append(sh.figures, Figure{
			Experiment: sh.experiment, Layout: sh.layout, Variant: "machine", Name: "load average of a minute", Unit: "processes", Runs: lb.busy,
		})
	}
	lb.busy = nil
	title := sh.experiment + " on " + sh.layout
	writeTable(lb.out, title, sh.figures)
	if lb.dir == "" {
		return nil
	}
	return writeFiles(lb.dir, title, lb.seed, sh.figures)
}

// compare starts one fleet for each variant and calls measure for each of them
// in turn, run after run.
func (lb *Lab) compare(ctx context.Context, layout Layout, variants []Variant, measure func(run int, ft *Fleet) error) error {
	var fleets []*Fleet
	defer func() {
		for _, ft := range fleets {
			ft.Stop()
		}
	}()
	for _, variant := range slices.Concat(variants, lb.also) {
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
			lb.busy = append(lb.busy, loadAverage())
			if dead := ft.deadNodes(); dead != "" {
				_, _ = fmt.Fprintf(lb.out, "ended by themselves (%s): %s\n", ft.Variant.Name, dead)
			}
		}
	}
	return ctx.Err()
}

// loadAverage returns the machine's load average of a minute.
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

// offer runs a load against the nodes of a fleet.
func (ft *Fleet) offer(ctx context.Context, load Load) (Outcome, error) {
	before, err := ft.groupCounts()
	if err != nil {
		return Outcome{}, err
	}
	outcome := newCaller(load, ft.callers(), ft.Layout.Deadline).run(ctx)
	after, err := ft.groupCounts()
	outcome.Upstreams = after.sub(before)
	return outcome, err
}

// sheet collects the figures of one experiment in the order of their first
// values.
type sheet struct {
	experiment string
	layout     string
	figures    []Figure
}

func newSheet(experiment string, layout Layout) *sheet {
	return &sheet{experiment: experiment, layout: layout.Name}
}

// add adds the value of one run.
func (sh *sheet) add(variant Variant, name, unit string, value float64) {
	for number := range sh.figures {
		if figure := &sh.figures[number]; figure.Variant == variant.Name && figure.Name == name {
			figure.Runs = append(figure.Runs, value)
			return
		}
	}
	sh.figures = append(sh.figures, Figure{
		Experiment: sh.experiment, Layout: sh.layout, Variant: variant.Name, Name: name, Unit: unit, Runs: []float64{value},
	})
}

// hold sets the target of a quantity of the product.
func (sh *sheet) hold(name string, target *Target) {
	for number := range sh.figures {
		if figure := &sh.figures[number]; figure.Variant == Product.Name && figure.Name == name {
			figure.Target = target
		}
	}
}

// addTrust adds what must be zero in every run.
func (sh *sheet) addTrust(variant Variant, outcome Outcome) {
	sh.add(variant, "wrong answers", "count", float64(outcome.Wrong))
	sh.add(variant, "keys run twice", "count", float64(outcome.Upstreams.Duplicates))
	sh.add(variant, "no answer", "count", float64(len(outcome.With(Broken).Results)))
	sh.add(variant, "refused", "count", float64(len(outcome.With(Refused).Results)))
	sh.add(variant, "outcome unknown", "count", float64(len(outcome.With(Unknown).Results)))
	kinds := outcome.kinds()
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		sh.add(variant, "errors "+kind+", in runs with any", "count", float64(kinds[kind]))
	}
}

func (sh *sheet) holdTrust() {
	sh.hold("wrong answers", AtMost(0))
	sh.hold("keys run twice", AtMost(0))
}
