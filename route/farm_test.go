package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

const (
	farmUpstreams = 5
	farmSlots     = 10
	farmWork      = 10 * time.Millisecond
	farmTime      = 30 * time.Second
	farmSlower    = 10
	longFactor    = 100
)

// farm is five upstreams with slots and a queue each, called by some entries.
type farm struct {
	entries int
	rate    float64
	// long is the share of work that runs 100 times longer.
	long float64
	// ownRoute states that long work has a route of its own.
	ownRoute bool
	// spells lets one upstream be slower for 2 of every 6 seconds.
	spells bool
	// late is how old the reported loads are.
	late   time.Duration
	policy func() route.Policy
	// gates puts a gate before each upstream, as its owner does.
	gates bool

	time    *fakes.Virtual
	source  *rand.Rand
	serving [farmUpstreams]int
	queues  [farmUpstreams][]func()
	past    [farmUpstreams][]route.Load
	short   []time.Duration
	slowed  int
	owners  [farmUpstreams]*owner
	lost    int
	tries   int
}

func (fm *farm) run() *farm {
	fm.time = fakes.NewVirtual(time.Unix(0, 0))
	fm.source = rand.New(rand.NewPCG(11, 17))
	var candidates []route.Candidate
	for at := range farmUpstreams {
		candidates = append(candidates, route.Candidate{
			ID: types.InstanceID(fmt.Sprintf("u%d", at)), SameZone: true, Slots: farmSlots,
		})
	}
	if fm.gates {
		for at := range fm.owners {
			fm.owners[at] = newOwner(fm, at)
		}
	}
	for entry := range fm.entries {
		balance := route.NewBalance(fm.policy(), route.WithSeed(uint64(entry)))
		fm.arrive(balance, candidates)
	}
	fm.note()
	fm.time.RunUntil(time.Unix(0, 0).Add(farmTime))
	slices.Sort(fm.short)
	return fm
}

// note records the loads, so that reports can be late.
func (fm *farm) note() {
	for at := range fm.past {
		load := route.Load{Outstanding: fm.serving[at], Queued: len(fm.queues[at])}
		if fm.gates {
			load.Queued = fm.owners[at].gate.Queued()
		}
		fm.past[at] = append(fm.past[at], load)
	}
	fm.time.After(time.Millisecond, fm.note)
}

func (fm *farm) report(at int) route.Load {
	seen := fm.past[at]
	return seen[max(0, len(seen)-1-int(fm.late/time.Millisecond))]
}

func (fm *farm) arrive(balance *route.Balance, candidates []route.Candidate) {
	gap := fm.source.ExpFloat64() * float64(fm.entries) / fm.rate
	fm.time.After(time.Duration(gap*float64(time.Second)), func() {
		fm.call(balance, candidates)
		fm.arrive(balance, candidates)
	})
}

func (fm *farm) call(balance *route.Balance, candidates []route.Candidate) {
	long := fm.source.Float64() < fm.long
	work := time.Duration(float64(farmWork) * (0.5 + fm.source.ExpFloat64()/2))
	name := types.RouteName("short")
	if long {
		work *= longFactor
	}
	if long && fm.ownRoute {
		name = "long"
	}
	fm.attempt(&call{balance: balance, left: candidates, name: name, work: work, long: long, start: fm.time.Now()})
}

// call is one request with the upstreams that it was not sent to.
type call struct {
	balance *route.Balance
	left    []route.Candidate
	name    types.RouteName
	work    time.Duration
	long    bool
	start   time.Time
}

func (fm *farm) attempt(cl *call) {
	began := fm.time.Now()
	target, ok := cl.balance.Pick(cl.name, cl.left, began)
	if !ok {
		fm.lost++
		return
	}
	fm.tries++
	cl.balance.Began(target, began)
	at := int(target.ID[1] - '0')
	end := func(refused bool) {
		now := fm.time.Now()
		sample := route.Sample{ID: target.ID, Route: cl.name, Elapsed: now.Sub(began), Load: fm.report(at), Refused: refused}
		cl.balance.Ended(sample, now)
		switch {
		case refused:
			cl.left = slices.DeleteFunc(slices.Clone(cl.left), func(c route.Candidate) bool { return c.ID == target.ID })
			fm.attempt(cl)
		case !cl.long:
			fm.short = append(fm.short, now.Sub(cl.start))
		}
	}
	if fm.gates {
		fm.owners[at].arrive(cl, end)
		return
	}
	fm.serve(at, cl.work, func() { end(false) })
}

// owner is a gate with the calls that it holds.
type owner struct {
	farm *farm
	at   int
	gate *admit.Gate
	last types.WorkID
	ends map[types.WorkID]func(refused bool)
	work map[types.WorkID]time.Duration
}

func newOwner(fm *farm, at int) *owner {
	ow := &owner{
		farm: fm, at: at, gate: admit.NewGate(),
		ends: map[types.WorkID]func(bool){}, work: map[types.WorkID]time.Duration{},
	}
	ow.gate.SetSlots(farmSlots, fm.time.Now())
	return ow
}

func (ow *owner) arrive(cl *call, end func(refused bool)) {
	ow.last++
	ow.ends[ow.last], ow.work[ow.last] = end, cl.work
	work := admit.Work{ID: ow.last, Route: cl.name, Importance: conf.Normal, Deadline: cl.start.Add(longFactor * time.Second)}
	ow.apply(ow.gate.Arrive(work, ow.farm.time.Now()))
}

func (ow *owner) apply(effects []types.Effect) {
	fm := ow.farm
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			began := fm.time.Now()
			fm.serve(ow.at, ow.work[ef.Work.ID], func() {
				ow.ends[ef.Work.ID](false)
				ow.apply(ow.gate.End(ef.Work.ID, fm.time.Now().Sub(began), fm.time.Now()))
			})
		case admit.Refuse:
			ow.ends[ef.Work.ID](true)
		}
	}
}

func (fm *farm) serve(at int, work time.Duration, done func()) {
	run := func() {
		if fm.slow(at) {
			work *= farmSlower
			fm.slowed++
		}
		fm.serving[at]++
		fm.time.After(work, func() {
			fm.serving[at]--
			done()
			if len(fm.queues[at]) > 0 {
				next := fm.queues[at][0]
				fm.queues[at] = fm.queues[at][1:]
				next()
			}
		})
	}
	if fm.serving[at] < farmSlots {
		run()
		return
	}
	fm.queues[at] = append(fm.queues[at], run)
}

func (fm *farm) slow(at int) bool {
	const period, spell = 6 * time.Second, 2 * time.Second
	return fm.spells && at == 0 && fm.time.Now().Sub(time.Unix(0, 0))%period > period-spell
}

func (fm *farm) p99() time.Duration { return fm.short[len(fm.short)*99/100] }

var policies = []struct {
	name   string
	policy func() route.Policy
}{
	{"round-robin", route.RoundRobin},
	{"least-outstanding", route.LeastOutstanding},
	{"join-idle", route.JoinIdle},
	{"peak-ewma", route.PeakEWMA},
	{"adaptive-lowest", func() route.Policy {
		policy := route.Adaptive()
		policy.Choose = route.Blurred
		return policy
	}},
	{"adaptive", route.Adaptive},
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkSlowed measures the tail of all work while one upstream is slower in
// spells, against the same without spells.
func BenchmarkSlowed(b *testing.B) {
	const rate = 0.5 * farmUpstreams * farmSlots * float64(time.Second) / float64(farmWork)
	for _, entries := range []int{1, 20, 100} {
		for _, late := range []time.Duration{0, 500 * time.Millisecond} {
			for _, gates := range []bool{false, true} {
				for _, known := range policies {
					base := farm{entries: entries, rate: rate, late: late, policy: known.policy, gates: gates}
					name := fmt.Sprintf("entries-%d/late-%s/gates-%t/%s", entries, late, gates, known.name)
					b.Run(name, func(b *testing.B) { compareSlowed(b, base) })
				}
			}
		}
	}
}

func compareSlowed(b *testing.B, base farm) {
	var healthy, slowed *farm
	for b.Loop() {
		first, second := base, base
		second.spells = true
		healthy, slowed = first.run(), second.run()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(milliseconds(healthy.p99()), "healthy-p99-ms")
	b.ReportMetric(milliseconds(slowed.p99()), "slowed-p99-ms")
	b.ReportMetric(float64(slowed.p99())/float64(healthy.p99()), "ratio")
	b.ReportMetric(100*float64(slowed.slowed)/float64(len(slowed.short)), "slowed-%")
	b.ReportMetric(100*float64(slowed.lost)/float64(len(slowed.short)), "lost-%")
}

// BenchmarkLong measures the tail of short work while 2% of the work is long,
// against the same without long work.
func BenchmarkLong(b *testing.B) {
	const rate = 0.2 * farmUpstreams * farmSlots * float64(time.Second) / float64(farmWork)
	const share = 0.02
	for at := range 4 * len(policies) {
		known, ownRoute, gates := policies[at/4], at%2 == 0, at/2%2 == 0
		b.Run(fmt.Sprintf("own-route-%t/gates-%t/%s", ownRoute, gates, known.name), func(b *testing.B) {
			var without, with *farm
			for b.Loop() {
				without = (&farm{entries: 20, rate: rate, policy: known.policy, gates: gates}).run()
				with = (&farm{entries: 20, rate: rate, policy: known.policy, gates: gates, long: share, ownRoute: ownRoute}).run()
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(milliseconds(without.p99()), "without-p99-ms")
			b.ReportMetric(milliseconds(with.p99()), "with-p99-ms")
			b.ReportMetric(float64(with.p99())/float64(without.p99()), "ratio")
			b.ReportMetric(100*float64(with.lost)/float64(len(with.short)), "lost-%")
		})
	}
}
