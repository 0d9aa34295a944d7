package farm

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/cost"
	"sequoiamill.example/sequoiamill/route"
)

const (
	// meshRoute is the route of all requests of a mesh.
	meshRoute = "mesh"
	// noiseFactor is how many times longer work runs that starts in a spell of noise of a
	// neighbor, noiseSpell how long such a spell lasts, and noisePeriod the time from the
	// start of one to that of the next.
	noiseFactor = 2.5
	noiseSpell  = 600 * time.Millisecond
	noisePeriod = 2 * time.Second
	// zoneDelay is the time of one way between zones, and hopDelay that within a zone.
	zoneDelay = 1400 * time.Microsecond
	hopDelay  = 200 * time.Microsecond
	// swingPeriod is the period of the waves of demand of the zones.
	swingPeriod = 15 * time.Second
)

// Mesh describes an experiment with the requests of one route, entries and upstreams in
// zones, and costs that differ between requests.
type Mesh struct {
	// Nodes is the number of entry nodes, and Upstreams that of upstreams.
	Nodes, Upstreams, Zones int
	// Work is the mean duration of a request's work.
	Work time.Duration
	// Aim is the time within which an answer is of full use, and Deadline that for which
	// callers wait.
	Aim, Deadline time.Duration
	// Demand is the demand as a share of the capacity. Swing is by how much of that the
	// demand of each zone rises and falls.
	Demand, Swing float64
	Duration      time.Duration
	Seed          uint64
	// HeavyShare is the share of the requests whose work is HeavyFactor times longer.
	HeavyShare, HeavyFactor float64
	// Spread is the standard deviation of the logarithm of the work besides.
	Spread float64
	// Seen is true if the cost follows the path of a request. Kinds is the number of paths.
	Seen  bool
	Kinds int
	// NoiseShare is the share of the upstreams that have spells of noise, and SlowShare
	// that of upstreams that are slower for good. Their speeds lie between 1.5 and 0.5.
	NoiseShare float64
	Speeds     bool
	// ReportAge is how late a report of load reaches an entry.
	ReportAge time.Duration
	// Way is the way in which upstreams are chosen.
	Way Way
}

// Way is a way to choose upstreams.
type Way struct {
	Name   string
	Policy func() route.Policy
	// Costs is true if entries tell owners what a request is likely to cost.
	Costs bool
	// Old returns true if a node is of a build that reports counts alone. A nil Old is
	// false for all.
	Old func(node int) bool
	// Intervals is true if the upstreams are divided between cheap and dear requests.
	Intervals bool
}

// meshNode is an entry node.
type meshNode struct {
	index, zone int
	balancer    *route.Balancer
}

type meshRun struct {
	Mesh
	clock  *virtualClock
	start  time.Time
	rng    *rand.Rand
	owners []*meshOwner
	calls  []*MeshCall
	scale  float64
}

// RunMesh simulates a mesh.
func RunMesh(settings Mesh) MeshResult {
	start := time.Unix(1000, 0)
	me := &meshRun{Mesh: settings, start: start, clock: &virtualClock{now: start}, rng: rand.New(rand.NewPCG(settings.Seed, 77))}
	me.scale = me.meanFactor()
	for index := range me.Upstreams {
		me.owners = append(me.owners, me.newOwner(index))
	}
	for index := range me.Nodes {
		me.scheduleCall(&meshNode{index: index, zone: index % me.Zones, balancer: route.NewBalancer(me.Way.Policy(), route.WithSeed(settings.Seed*1009+uint64(index)))})
	}
	me.clock.runUntil(start.Add(me.Duration))
	return MeshResult{Calls: me.calls, aim: me.Aim}
}

// capacity returns how many requests a second the upstreams run.
func (me *meshRun) capacity() float64 {
	sum := 0.0
	for _, ow := range me.owners {
		sum += Slots / ow.slowness
	}
	return sum / me.Work.Seconds()
}

func (me *meshRun) scheduleCall(node *meshNode) {
	wave := 2 * math.Pi * (me.clock.now.Sub(me.start).Seconds()/swingPeriod.Seconds() + float64(node.zone)/float64(me.Zones))
	rate := me.Demand * (1 + float64(me.Swing*math.Sin(wave))) * me.capacity() / float64(me.Nodes)
	me.clock.after(time.Duration(me.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		me.startCall(node)
		me.scheduleCall(node)
	})
}

// meanFactor returns the mean of the factors of the work before it is scaled to Work.
func (me *meshRun) meanFactor() float64 {
	heavy := 1 + float64(me.HeavyShare*(max(me.HeavyFactor, 1)-1))
	return heavy * math.Exp(me.Spread*me.Spread/2)
}

// drawCost sets what a request costs and what is seen of it. The cost of a request whose
// cost is seen is that of its kind, give or take a tenth.
func (me *meshRun) drawCost(cl *MeshCall) {
	kind := me.rng.IntN(me.Kinds)
	source := me.rng
	if me.Seen {
		source = rand.New(rand.NewPCG(uint64(kind), 5))
	}
	cl.Heavy = source.Float64() < me.HeavyShare
	if me.Seen {
		cl.Heavy = float64(kind) < me.HeavyShare*float64(me.Kinds)
	}
	factor := math.Exp(me.Spread * source.NormFloat64())
	if cl.Heavy {
		factor *= me.HeavyFactor
	}
	cl.work = time.Duration(float64(me.Work) * factor / me.scale * (0.9 + float64(0.2*me.rng.Float64())))
	cl.features = cost.Describe("GET", fmt.Sprintf("/things/%d", kind), 0)
}

func (me *meshRun) startCall(node *meshNode) {
	now := me.clock.now
	cl := &MeshCall{ArrivedAt: now, node: node, Zone: node.zone, due: now.Add(me.Deadline), aim: now.Add(me.Aim)}
	me.drawCost(cl)
	if estimate, known := node.balancer.Cost(meshRoute, cl.features); known && estimate.Basis > 0 && me.Way.Costs {
		cl.factor = estimate.Factor
	}
	cl.remaining = me.candidates(cl)
	me.calls = append(me.calls, cl)
	me.attempt(cl)
}

// candidates returns the upstreams that a request may go to.
func (me *meshRun) candidates(cl *MeshCall) []route.Candidate {
	var candidates []route.Candidate
	for _, ow := range me.owners {
		if me.Way.Intervals && (cl.factor > intervalBound) != me.forDear(ow) {
			continue
		}
		candidates = append(candidates, route.Candidate{
			ID: ow.id, SameZone: ow.zone == cl.node.zone, Slots: Slots, TargetLatency: me.Aim, CostFactor: cl.factor,
		})
	}
	return candidates
}

// intervalBound is the cost factor above which a request is dear in Way.Intervals.
const intervalBound = 3

// forDear reports whether an upstream is kept for dear requests. Their share of the
// upstreams is that of the work.
func (me *meshRun) forDear(ow *meshOwner) bool {
	dear := me.HeavyShare * me.HeavyFactor / (1 + float64(me.HeavyShare*(me.HeavyFactor-1)))
	kept := int(math.Round(dear * float64(me.Upstreams)))
	return ow.index >= me.Upstreams-kept
}

func (me *meshRun) attempt(cl *MeshCall) {
	now := me.clock.now
	if cl.Attempts == maxAttempts || !now.Before(cl.due) {
		return
	}
	target, ok := cl.node.balancer.Pick(meshRoute, cl.remaining, now)
	if !ok {
		return
	}
	cl.Attempts++
	cl.node.balancer.AttemptStarted(target, now)
	index := slices.IndexFunc(me.owners, func(ow *meshOwner) bool { return ow.id == target.ID })
	ow := me.owners[index]
	cl.OtherZone = cl.OtherZone || ow.zone != cl.node.zone
	job := &meshJob{call: cl, target: target, sent: now}
	me.clock.after(ow.way(cl), func() { ow.submit(job) })
}
