package bench

import (
	"context"
	"time"
)

const (
	entryResidence = "sequoiamill_entry_residence_seconds"
	ownerResidence = "sequoiamill_owner_residence_seconds"

	addedLatencyProcessingTime = 5 * time.Millisecond
	// lowNodeRate and highNodeRate are in calls per second and node.
	lowNodeRate     = 20
	highNodeRate    = 264
	millisPerSecond = 1000
	// addedLatencyTarget is in milliseconds.
	addedLatencyTarget = 0.56
	p99Share           = 0.99
	medianPercent      = 50
	tailPercent        = 99
)

// classes returns one call class for each service of the layout, weighted by
// the service's number of upstreams.
func (l Layout) classes(processingTime time.Duration) []CallClass {
	classes := make([]CallClass, 0, len(l.Groups))
	for _, group := range l.Groups {
		classes = append(classes, CallClass{
			Name:           string(group.Service),
			Path:           "/" + string(group.Service),
			Weight:         float64(group.Upstreams),
			ProcessingTime: processingTime,
		})
	}
	return classes
}

// AddedLatency measures the latency that the mesh adds to a call: the time spent
// inside the entry node and the owner node, and the difference in end-to-end
// latency from calls sent directly to the upstreams.
func AddedLatency(ctx context.Context, runner *Runner, layout Layout) error {
	sh := newSheet("added", layout)
	layout = layout.WithLatency(0)
	firstGroup := layout.WithFirstGroupOnly()
	err := runner.compare(ctx, layout, []Variant{Product}, func(run int, ft *Fleet) error {
		load := Load{
			Classes:  layout.classes(addedLatencyProcessingTime),
			Rate:     ConstantRate(lowNodeRate * float64(layout.Size())),
			Duration: runner.duration(2*time.Second, 10*time.Second),
			Seed:     runner.runSeed(run),
		}
		if err := measureAddedLatency(ctx, sh, ft.variantAtRate("20 calls/s per node"), ft, load, layout.Size()); err != nil {
			return err
		}
		load.Classes = firstGroup.classes(addedLatencyProcessingTime)
		load.Rate = ConstantRate(highNodeRate * float64(firstGroup.Size()))
		return measureAddedLatency(ctx, sh, ft.variantAtRate("264 calls/s per node"), ft, load, firstGroup.Size())
	})
	if err != nil {
		return err
	}
	for i := range sh.figures {
		if sh.figures[i].Name == "entry + owner p99" {
			sh.figures[i].Target = AtMost(addedLatencyTarget)
		}
	}
	return runner.report(sh)
}

// variantAtRate returns a variant that names the call rate. If the fleet does not
// run the product variant, the name begins with the fleet's variant.
func (ft *Fleet) variantAtRate(rate string) Variant {
	if ft.Variant.Name == Product.Name {
		return Variant{Name: rate}
	}
	return Variant{Name: ft.Variant.Name + ", " + rate}
}

// measureAddedLatency sends the load directly to the upstreams of the first
// nodes, then sends the same load through those nodes, and adds the figures of
// both to the sheet.
func measureAddedLatency(ctx context.Context, sh *sheet, variant Variant, ft *Fleet, load Load, nodes int) error {
	upstreams := make([]string, 0, nodes)
	for _, instance := range ft.Instances[:nodes] {
		upstreams = append(upstreams, instance.UpstreamAddress)
	}
	direct := newCaller(load, upstreams, ft.Layout.Deadline).run(ctx)
	before, err := ft.readUsage(true)
	if err != nil {
		return err
	}
	through := newCaller(load, ft.callerAddresses()[:nodes], ft.Layout.Deadline).run(ctx)
	after, err := ft.readUsage(true)
	if err != nil {
		return err
	}
	counted := after.Metrics.Sub(before.Metrics)
	entry, owner := counted.Quantile(entryResidence, p99Share), counted.Quantile(ownerResidence, p99Share)
	sh.add(variant, "entry p99", "ms", millisPerSecond*entry)
	sh.add(variant, "owner p99", "ms", millisPerSecond*owner)
	sh.add(variant, "entry + owner p99", "ms", millisPerSecond*(entry+owner))
	sh.add(variant, "entry + owner median", "ms", millisPerSecond*(counted.Quantile(entryResidence, 0.5)+counted.Quantile(ownerResidence, 0.5)))
	sh.add(variant, "end to end, median over direct", "ms", through.LatencyMillis(medianPercent)-direct.LatencyMillis(medianPercent))
	sh.add(variant, "end to end, p99 over direct", "ms", through.LatencyMillis(tailPercent)-direct.LatencyMillis(tailPercent))
	cpu := after.Usage.Sub(before.Usage).CPU.Seconds()
	sh.add(variant, "processor time of the nodes per call", "µs", 1e6*cpu/float64(len(through.Results)))
	sh.add(variant, "whole answers", "share", through.Share(Completed))
	sh.add(variant, "wrong answers", "count", float64(through.WrongAnswers+direct.WrongAnswers))
	return nil
}
