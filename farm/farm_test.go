package farm_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/farm"
	"sequoiamill.example/sequoiamill/route"
)

const (
	patience  = 100 * time.Second
	shortWork = 10 * time.Millisecond
	window    = 100 * time.Millisecond
	longWork  = 0.02
	seeds     = 5
)

var swing = farm.Swing{Usual: 0.7, Highest: 3, Begin: 5 * time.Second, Ramp: time.Second, Stay: 8 * time.Second}

var controllers = []struct {
	name       string
	controller func() *admit.Controller
}{
	{"none", func() *admit.Controller { return admit.NewController(admit.WithoutAdmission()) }},
	{"fifo", func() *admit.Controller { return admit.NewController(admit.WithoutShedding()) }},
	{"shed-fifo", func() *admit.Controller { return admit.NewController(admit.WithDiscipline(admit.FIFO())) }},
	{"shed-codel", func() *admit.Controller { return admit.NewController(admit.WithDiscipline(admit.CoDel())) }},
	{"shed", newController},
}

func newController() *admit.Controller { return admit.NewController() }

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
		policy.Choose = route.LowestWithJitter
		return policy
	}},
	{"adaptive", route.Adaptive},
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// one returns an experiment with one controller.
func one(controller func() *admit.Controller) farm.Settings {
	return farm.Settings{
		Upstreams: 1, Entries: 1, Work: shortWork, Demand: farm.Steady(0.2), Length: 120 * time.Second, Deadline: time.Second,
		Policy: route.RoundRobin, Controller: controller,
	}
}

// five returns an experiment with five upstreams.
func five(entries int, policy func() route.Policy) farm.Settings {
	return farm.Settings{
		Upstreams: 5, Entries: entries, Work: shortWork, Demand: farm.Steady(0.5), Length: 30 * time.Second, Deadline: patience,
		Policy: policy, Controller: newController,
	}
}

func crest(settings farm.Settings, deadline time.Duration) farm.Settings {
	settings.Demand, settings.Length, settings.Deadline = swing.Demand, 25*time.Second, deadline
	return settings
}

func all(*farm.Call) bool { return true }

func TestCrestIsServed(t *testing.T) {
	check := is.New(t)
	const deadline = 100 * time.Millisecond
	served, important := 0.0, 0.0
	for seed := range uint64(seeds) {
		settings := crest(one(newController), deadline)
		settings.Seed = seed
		result := farm.Run(settings)
		height := swing.Height(result)
		served += swing.Highest * result.Share(height) / seeds
		important += result.Share(height.And(farm.AtLeast(conf.High))) / seeds
		check.True(result.Share(height.And(farm.AtLeast(conf.Critical))) > 0.999)
		check.True(swing.Recovery(result, window, deadline) <= 2*time.Second)
	}
	check.True(served > 0.95)
	check.True(important > 0.99)
}

// TestLongWorkIsServed lets short work arrive without end while long work
// waits.
func TestLongWorkIsServed(t *testing.T) {
	check := is.New(t)
	settings := one(newController)
	settings.Demand, settings.Long, settings.LongRoute = farm.Steady(0.3), longWork/2, true
	settings.Deadline, settings.Length = 100*time.Millisecond, 40*time.Second
	result := farm.Run(settings)
	check.True(result.Share(farm.Long) > 0.99)
	check.True(result.Share(farm.Short) > 0.99)
}

func TestSlowedUpstreamIsAvoided(t *testing.T) {
	check := is.New(t)
	settings := five(20, route.Adaptive)
	settings.Late = 500 * time.Millisecond
	healthy := farm.Run(settings).P99(all)
	settings.Spells = true
	check.True(farm.Run(settings).P99(all) < healthy*3/2)
}

// BenchmarkCrest measures a swing of demand to three times the capacity at one
// controller.
func BenchmarkCrest(b *testing.B) {
	cases := []struct{ work, deadline time.Duration }{
		{shortWork, 4 * shortWork},
		{shortWork, 10 * shortWork},
		{250 * time.Millisecond, time.Second},
		{250 * time.Millisecond, 2500 * time.Millisecond},
	}
	for _, run := range cases {
		for _, known := range controllers {
			b.Run(fmt.Sprintf("work-%s/deadline-%s/%s", run.work, run.deadline, known.name), func(b *testing.B) {
				settings := crest(one(known.controller), run.deadline)
				settings.Work = run.work
				reportCrest(b, settings)
			})
		}
	}
}

// BenchmarkCrestOfFive measures the swing over five upstreams of which one
// leaves at its height.
func BenchmarkCrestOfFive(b *testing.B) {
	for _, leaves := range []time.Duration{0, swing.Begin + swing.Ramp + swing.Stay/2} {
		for _, known := range controllers {
			b.Run(fmt.Sprintf("leaves-%s/%s", leaves, known.name), func(b *testing.B) {
				settings := crest(five(20, route.Adaptive), 100*time.Millisecond)
				settings.Controller, settings.Leaves = known.controller, leaves
				reportCrest(b, settings)
			})
		}
	}
}

func reportCrest(b *testing.B, settings farm.Settings) {
	b.Helper()
	report(b, func(seed uint64, metrics tallies) {
		settings.Seed = seed
		result := farm.Run(settings)
		height := swing.Height(result)
		metrics.add("%capacity", 100*swing.Highest*result.Share(height))
		metrics.add("%critical", 100*result.Share(height.And(farm.AtLeast(conf.Critical))))
		metrics.add("%important", 100*result.Share(height.And(farm.AtLeast(conf.High))))
		metrics.add("attempts", result.Attempts(height))
		metrics.add("recovery-ms", milliseconds(swing.Recovery(result, window, settings.Deadline)))
	})
}

// BenchmarkLong measures short work at one controller while 2% of the work is 100
// times longer, against the same short work without.
func BenchmarkLong(b *testing.B) {
	for _, ownRoute := range []bool{true, false} {
		for _, known := range controllers {
			b.Run(fmt.Sprintf("own-route-%t/%s", ownRoute, known.name), func(b *testing.B) {
				reportLong(b, one(known.controller), ownRoute)
			})
		}
	}
}

// BenchmarkLongOfFive measures the same over five upstreams.
func BenchmarkLongOfFive(b *testing.B) {
	for _, ownRoute := range []bool{true, false} {
		for _, known := range policies {
			b.Run(fmt.Sprintf("own-route-%t/%s", ownRoute, known.name), func(b *testing.B) {
				settings := five(20, known.policy)
				settings.Demand, settings.Deadline, settings.Length = farm.Steady(0.2), time.Second, 120*time.Second
				reportLong(b, settings, ownRoute)
			})
		}
	}
}

func reportLong(b *testing.B, settings farm.Settings, ownRoute bool) {
	b.Helper()
	report(b, func(seed uint64, metrics tallies) {
		settings.Seed, settings.Long, settings.LongRoute = seed, 0, ownRoute
		without := farm.Run(settings).P99(farm.Short)
		settings.Long = longWork
		with := farm.Run(settings)
		metrics.add("without-p99-ms", milliseconds(without))
		metrics.add("ratio", float64(with.P99(farm.Short))/float64(without))
		metrics.add("%short", 100*with.Share(farm.Short))
		metrics.add("%long", 100*with.Share(farm.Long))
	})
}

// BenchmarkSlowed measures all work while one of five upstreams is slower in
// spells, against the same without spells.
func BenchmarkSlowed(b *testing.B) {
	for _, entries := range []int{1, 20, 100} {
		for _, late := range []time.Duration{0, 500 * time.Millisecond} {
			for _, controller := range []int{0, len(controllers) - 1} {
				for _, known := range policies {
					settings := five(entries, known.policy)
					settings.Late, settings.Controller = late, controllers[controller].controller
					name := fmt.Sprintf("entries-%d/late-%s/%s/%s", entries, late, controllers[controller].name, known.name)
					b.Run(name, func(b *testing.B) { reportSlowed(b, settings) })
				}
			}
		}
	}
}

func reportSlowed(b *testing.B, settings farm.Settings) {
	b.Helper()
	report(b, func(seed uint64, metrics tallies) {
		settings.Seed, settings.Spells = seed, false
		healthy := farm.Run(settings).P99(all)
		settings.Spells = true
		slowed := farm.Run(settings)
		metrics.add("healthy-p99-ms", milliseconds(healthy))
		metrics.add("ratio", float64(slowed.P99(all))/float64(healthy))
		metrics.add("slowed-%", 100*slowed.Slowed(all))
	})
}

// tallies holds the values of each metric, one for each seed.
type tallies map[string][]float64

func (ta tallies) add(name string, value float64) { ta[name] = append(ta[name], value) }

// report runs an experiment with each seed and reports the mean of each metric
// and the worst ratio.
func report(b *testing.B, experiment func(seed uint64, metrics tallies)) {
	b.Helper()
	metrics := tallies{}
	for b.Loop() {
		clear(metrics)
		for seed := range uint64(seeds) {
			experiment(seed, metrics)
		}
	}
	b.ReportMetric(0, "ns/op")
	for name, values := range metrics {
		sum := 0.0
		for _, value := range values {
			sum += value
		}
		b.ReportMetric(sum/float64(len(values)), name)
	}
	if ratios := metrics["ratio"]; ratios != nil {
		b.ReportMetric(slices.Max(ratios), "worst-ratio")
	}
}
