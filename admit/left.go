package admit

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// lastingWeight is the least weight of a sample in the estimate of lasting speed. A
	// slow spell of less than a second hardly shows in it.
	lastingWeight = 0.005
	// minPaceSamples is the number of samples from which the lasting speed is reported.
	minPaceSamples = 30

	// minOverrunSamples is the number of samples of a route from which it is counted by
	// how much work on it lasts longer than expected.
	minOverrunSamples = 10
	// overruns are counted in bins of the ratio of the actual to the expected duration.
	// A bin is overrunStep times as wide as the one before, from overrunMin on.
	overrunBins = 32
	overrunStep = 1.25
	overrunMin  = 0.1
	// overrunMemory is the number of samples after which the weight of one has fallen to
	// 1/e.
	overrunMemory = 500.0
	// priorWeight is the weight of the assumed tail beside the samples, in which the
	// work that has run for a time is expected to run as long again.
	priorWeight = 1.0
)

// WorkLeft is what an upstream still has to do, as time and not as a count.
type WorkLeft struct {
	// SlotWait is the expected time until a slot is free for new work.
	SlotWait time.Duration
	// Drain is the expected time to end all running and queued work on all slots.
	Drain time.Duration
}

// paces estimates how fast the upstream runs work, apart from what the work costs.
type paces struct {
	// recent and lasting are the typical durations of work of the usual cost.
	recent, lasting *stat.Durations
	overruns        overruns
}

func newPaces() paces {
	return paces{recent: stat.NewDurations(), lasting: stat.NewDurations(stat.WithLeastWeight(lastingWeight))}
}

// factor returns the cost of the work in relation to that of the usual work on its
// route. It is 1 where the entry node knows none.
func (w WorkItem) factor() float64 {
	if w.CostFactor <= 0 {
		return 1
	}
	return w.CostFactor
}

// observe adds the duration of an ended work item.
func (p *paces) observe(ended *runningItem, elapsed time.Duration, now time.Time) {
	usual := time.Duration(float64(elapsed) / ended.work.factor())
	p.recent.Observe(ended.work.Route, usual, now)
	p.lasting.Observe(ended.work.Route, usual, now)
	if p.recent.Samples(ended.work.Route) > minOverrunSamples {
		p.overruns.observe(float64(elapsed) / float64(max(ended.expected, 1)))
	}
}

// LastingDuration returns how long usual work on a route lasts at the upstream apart
// from short spells, or 0 if too little is known.
func (ct *Controller) LastingDuration(route types.RouteName) time.Duration {
	if ct.paces.lasting.Samples(route) < minPaceSamples {
		return 0
	}
	typical, _ := ct.paces.lasting.Typical(route)
	return typical
}

// expectedDuration returns how long a work item is likely to run: by its cost where the
// entry node knows it, else as long as work on its route usually does.
func (ct *Controller) expectedDuration(work WorkItem) time.Duration {
	usual, known := ct.paces.recent.Typical(work.Route)
	if work.CostFactor <= 0 || !known {
		return ct.TypicalDuration(work.Route)
	}
	return time.Duration(float64(usual) * work.CostFactor)
}

// Left returns what the upstream still has to do.
func (ct *Controller) Left(now time.Time) WorkLeft {
	if ct.slots <= 0 {
		return WorkLeft{}
	}
	var buffer [maxStackSlots]float64
	rests, total, rate := buffer[:0], 0.0, 0.0
	for _, active := range ct.running {
		rest := ct.paces.overruns.rest(active.expected, now.Sub(active.startedAt))
		rests = append(rests, rest)
		total += rest
		rate += 1 / rest
	}
	for _, item := range ct.queue {
		total += float64(item.ExpectedDuration)
	}
	left := WorkLeft{Drain: time.Duration(total / float64(ct.slots))}
	if ct.free() <= 0 {
		left.SlotWait = time.Duration(ct.slotWait(rests, rate))
	}
	return left
}

// maxStackSlots is the number of slots up to which the scratch buffer of a report stays
// on the stack.
const maxStackSlots = 32

// slotWait returns the time until a slot is free after the queued work has started,
// given the expected rests of the running work in nanoseconds and the sum of their
// inverses. The first of many ends sooner than any of them is expected to.
func (ct *Controller) slotWait(rests []float64, rate float64) float64 {
	first, soonest := 1/rate, rests[earliest(rests)]
	for _, item := range ct.queue {
		rests[earliest(rests)] += float64(item.ExpectedDuration)
	}
	return rests[earliest(rests)] - soonest + first
}

// earliest returns the index of the least value.
func earliest(values []float64) int {
	least := 0
	for i, value := range values {
		if value < values[least] {
			least = i
		}
	}
	return least
}

// overruns counts by how much work lasts longer than expected.
type overruns struct{ weights [overrunBins]float64 }

func (o *overruns) observe(ratio float64) {
	for i := range o.weights {
		o.weights[i] *= 1 - 1/overrunMemory
	}
	bin := int(math.Log(max(ratio, overrunMin)/overrunMin) / math.Log(overrunStep))
	o.weights[min(bin, overrunBins-1)]++
}

// rest returns how much longer work is likely to run, in nanoseconds, given its expected
// duration and how long it has run. Work that has outrun its expectation belongs to the
// part that does: with a heavy tail, the rest grows with the age.
func (o *overruns) rest(expected, age time.Duration) float64 {
	ratio := math.Max(0, float64(age)/float64(max(expected, 1)))
	weight, sum := o.prior(ratio)
	middle := overrunMin * math.Sqrt(overrunStep)
	for i := range o.weights {
		if middle > ratio {
			weight += o.weights[i]
			sum += float64(o.weights[i] * (middle - ratio))
		}
		middle *= overrunStep
	}
	return math.Max(sum/weight*float64(expected), 1)
}

// prior returns the weight and the weighted rest that are assumed without samples, for
// work that has run for a multiple of its expected duration.
func (o *overruns) prior(ratio float64) (weight, sum float64) {
	if ratio < 0.5 {
		return priorWeight, priorWeight * (1 - ratio)
	}
	weight = priorWeight * 0.25 / (ratio * ratio)
	return weight, weight * ratio
}

// rankDuration returns the duration by which a work item is ranked in the queue. Among
// work of one route that has a soft deadline, the time to spare decides, so that dear
// work starts before cheap work that can wait for it. Without one, the shortest is first.
func (w QueueItem) rankDuration() time.Duration {
	if w.Work.CostFactor <= 0 || w.Work.SoftDeadline.IsZero() {
		return w.ExpectedDuration
	}
	return 2*w.UsualDuration - w.ExpectedDuration
}

// dear reports whether the cost of a work item alone keeps its soft deadline from being
// met, while usual work would meet it. Such work waits behind all that can meet theirs, but
// it is not refused for them.
func (w QueueItem) dear(now time.Time) bool {
	return w.Work.CostFactor > 0 && w.missesSoftDeadline(now) && !now.Add(w.UsualDuration).After(w.Work.SoftDeadline)
}
