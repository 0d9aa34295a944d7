package route

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/cost"
)

const (
	// lastingWeight is the weight of a report in the lasting speed of an upstream.
	lastingWeight = 0.2
	// maxLasting limits the lasting speed to the range of 1/e to e times the usual one.
	maxLasting = 1.0

	// A report of one upstream that is as old as trustAge says a quarter about it, and
	// the reports of the others near or far say the rest. In these, a report that is as
	// old as groupAge weighs a quarter of a fresh one, and from groupExpiry on it is
	// ignored.
	trustAge    = 600 * time.Millisecond
	groupAge    = 2 * time.Second
	groupExpiry = 4 * time.Second
	// minGroupWeight is the weight of the reports of the others of a group from which
	// they tell something about an upstream.
	minGroupWeight = 2.0
)

// observeCost learns what the request of an answered attempt cost and how fast the
// upstream is.
func (b *Balancer) observeCost(state *UpstreamState, sample Sample, now time.Time) {
	if sample.AtUpstream <= 0 {
		return
	}
	b.costs.Observe(sample.Route, sample.Features, sample.AtUpstream, state.lasting, now)
	usual, known := b.costs.Estimate(sample.Route, cost.Features{})
	if !known || sample.Lasting <= 0 {
		return
	}
	slowness := math.Log(float64(sample.Lasting) / float64(usual.Typical))
	state.lasting += float64(lastingWeight * (min(max(slowness, -maxLasting), maxLasting) - state.lasting))
}

// usualElapsed returns how long the attempt of a sample would have lasted with the usual
// work on its route, so that an upstream that got dear requests is not taken for slow.
func (b *Balancer) usualElapsed(sample Sample) time.Duration {
	if sample.AtUpstream <= 0 {
		return sample.Elapsed
	}
	estimate, known := b.costs.Estimate(sample.Route, sample.Features)
	if !known || estimate.Basis == 0 {
		return sample.Elapsed
	}
	usual := time.Duration(float64(sample.AtUpstream) / estimate.Factor)
	return sample.Elapsed - sample.AtUpstream + usual
}

// group holds what recent reports say of the upstreams of one zone or of the others: the
// weighted sums of the load for each slot and of the wait.
type group struct{ weight, load, wait float64 }

// add adds the report of one upstream, or takes it away if sign is -1.
func (g *group) add(r *Rating, sign float64) {
	if r.groupWeight == 0 {
		return
	}
	weight := float64(sign * r.groupWeight)
	g.weight += weight
	g.load += float64(weight * r.reportedLoad)
	g.wait += float64(weight * r.reportedWait)
}

// believe fills the beliefs about the load of the candidates. A report tells less the
// older it is. Then what is known of the others near or far tells more, as their load
// moves alike: an upstream of which nothing was heard for a second is not idle for that.
func believe(ratings []Rating) {
	var groups [2]group
	for i := range ratings {
		ratings[i].readReport()
		groups[ratings[i].group()].add(&ratings[i], 1)
	}
	for i := range ratings {
		others := groups[ratings[i].group()]
		others.add(&ratings[i], -1)
		ratings[i].blend(others)
	}
}

func (r *Rating) group() int {
	if r.Candidate.SameZone {
		return 0
	}
	return 1
}

func (r *Rating) slots() float64 { return float64(max(r.Candidate.Slots, 1)) }

// readReport fills the beliefs with what the last report and the attempts of this node
// since then say of the upstream.
func (r *Rating) readReport() {
	state, slots := r.State, r.slots()
	r.believed = true
	r.usual = float64(r.TypicalDuration)
	if speed := r.speed(); speed != 0 {
		r.usual *= math.Exp(speed)
	}
	age := r.Now.Sub(state.LoadReportedAt)
	ahead := state.aheadAt(age)
	r.reportAge = age
	r.counted, r.Ahead, r.Wait = float64(ahead), float64(ahead), r.waitBehind(ahead)
	if age >= groupExpiry {
		return
	}
	reported := state.Load.Outstanding + state.Load.Queued
	r.groupWeight, r.reportedLoad, r.reportedWait = faded(age, groupAge), float64(reported)/slots, r.waitBehind(reported)
	left, known := state.Load.Left.Get()
	if !known {
		return
	}
	r.reportedWait = float64(left.SlotWait)
	if r.fresh = age < loadExpiry; r.fresh {
		free := max(0, r.Candidate.Slots-state.Load.Outstanding)
		since := max(0, state.Outstanding-state.outstandingAtReport-free)
		r.Wait = float64(left.SlotWait) + float64(float64(since)/slots*r.usual)
	}
}

// blend moves the belief from the upstream's own report to its group's, as the age of
// the report makes that likely.
func (r *Rating) blend(g group) {
	if g.weight < minGroupWeight {
		return
	}
	trust := faded(r.reportAge, trustAge)
	own := r.State.Outstanding
	r.Ahead = math.Max(float64(own), float64(trust*r.Ahead)+float64((1-trust)*g.load/g.weight*r.slots()))
	r.Wait = math.Max(r.waitBehind(own), float64(trust*r.Wait)+(1-trust)*g.wait/g.weight)
}

// waitBehind returns how long a new attempt waits behind a number of others of the usual
// duration, in nanoseconds.
func (r *Rating) waitBehind(ahead int) float64 {
	return math.Max(0, (float64(ahead+1)/r.slots()-1)*r.usual)
}

// faded returns a weight that falls with the age, to a quarter at the age of quarter.
func faded(age, quarter time.Duration) float64 {
	root := float64(quarter) / float64(quarter+max(0, age))
	return float64(root * root)
}
