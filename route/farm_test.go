package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

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

	time    *fakes.Virtual
	source  *rand.Rand
	serving [farmUpstreams]int
	queues  [farmUpstreams][]func()
	past    [farmUpstreams][]route.Load
	short   []time.Duration
	slowed  int
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
	start := fm.time.Now()
	target, _ := balance.Pick(name, candidates, start)
	balance.Began(target, start)
	at := int(target.ID[1] - '0')
	fm.serve(at, work, func() {
		now := fm.time.Now()
		elapsed := now.Sub(start)
		balance.Ended(route.Sample{ID: target.ID, Route: name, Elapsed: elapsed, Load: fm.report(at)}, now)
		if !long {
			fm.short = append(fm.short, elapsed)
		}
	})
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
			for _, known := range policies {
				b.Run(fmt.Sprintf("entries-%d/late-%s/%s", entries, late, known.name), func(b *testing.B) {
					var healthy, slowed *farm
					for b.Loop() {
						healthy = (&farm{entries: entries, rate: rate, late: late, policy: known.policy}).run()
						slowed = (&farm{entries: entries, rate: rate, late: late, policy: known.policy, spells: true}).run()
					}
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(milliseconds(healthy.p99()), "healthy-p99-ms")
					b.ReportMetric(milliseconds(slowed.p99()), "slowed-p99-ms")
					b.ReportMetric(float64(slowed.p99())/float64(healthy.p99()), "ratio")
					b.ReportMetric(100*float64(slowed.slowed)/float64(len(slowed.short)), "slowed-%")
				})
			}
		}
	}
}

// BenchmarkLong measures the tail of short work while 2% of the work is long,
// against the same without long work.
func BenchmarkLong(b *testing.B) {
	const rate = 0.2 * farmUpstreams * farmSlots * float64(time.Second) / float64(farmWork)
	const share = 0.02
	for _, ownRoute := range []bool{false, true} {
		for _, known := range policies {
			b.Run(fmt.Sprintf("own-route-%t/%s", ownRoute, known.name), func(b *testing.B) {
				var without, with *farm
				for b.Loop() {
					without = (&farm{entries: 20, rate: rate, policy: known.policy}).run()
					with = (&farm{entries: 20, rate: rate, policy: known.policy, long: share, ownRoute: ownRoute}).run()
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(milliseconds(without.p99()), "without-p99-ms")
				b.ReportMetric(milliseconds(with.p99()), "with-p99-ms")
				b.ReportMetric(float64(with.p99())/float64(without.p99()), "ratio")
			})
		}
	}
}
