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
	// longDeadline is longer than the experiments that use it, so that no call is
	// canceled.
	longDeadline = 100 * time.Second
	shortWork    = 10 * time.Millisecond
	// window is the length of the windows that Surge.Recovery checks.
	window = 100 * time.Millisecond
	// longShare is the share of long work items.
	longShare = 0.02
	// seeds is the number of seeds with which an experiment runs.
	seeds = 5
)

// surge raises the demand from 70% to three times the capacity.
var surge = farm.Surge{BaseDemand: 0.7, PeakDemand: 3, Start: 5 * time.Second, RampDuration: time.Second, PeakDuration: 8 * time.Second}

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

// oneUpstream returns the settings of an experiment with one upstream.
func oneUpstream(controller func() *admit.Controller) farm.Settings {
	return farm.Settings{
		Upstreams: 1, EntryNodes: 1, Work: shortWork, Demand: farm.ConstantDemand(0.2), Duration: 120 * time.Second, Deadline: time.Second,
		Policy: route.RoundRobin, Controller: controller,
	}
}

// fiveUpstreams returns the settings of an experiment with five upstreams.
func fiveUpstreams(entries int, policy func() route.Policy) farm.Settings {
	return farm.Settings{
		Upstreams: 5, EntryNodes: entries, Work: shortWork, Demand: farm.ConstantDemand(0.5), Duration: 30 * time.Second, Deadline: longDeadline,
		Policy: policy, Controller: newController,
	}
}

// withSurge returns the settings with the surge of demand and the given deadline.
func withSurge(settings farm.Settings, deadline time.Duration) farm.Settings {
	settings.Demand, settings.Duration, settings.Deadline = surge.Demand, 25*time.Second, deadline
	return settings
}

// all selects all calls.
func all(*farm.Call) bool { return true }

// TestServesCapacityDuringSurge checks that the admission controller keeps the
// upstream busy during a surge of demand, serves the critical calls and those of
// high importance first, and recovers within 2 s after the surge.
func TestServesCapacityDuringSurge(t *testing.T) {
	check := is.New(t)
	const deadline = 100 * time.Millisecond
	served, important := 0.0, 0.0
	for seed := range uint64(seeds) {
		settings := withSurge(oneUpstream(newController), deadline)
		settings.Seed = seed
		result := farm.Run(settings)
		peak := surge.AtPeak(result)
		served += surge.PeakDemand * result.InTimeShare(peak) / seeds
		important += result.InTimeShare(peak.And(farm.AtLeast(conf.High))) / seeds
		check.True(result.InTimeShare(peak.And(farm.AtLeast(conf.Critical))) > 0.999)
		check.True(surge.Recovery(result, window, deadline) <= 2*time.Second)
	}
	check.True(served > 0.95)
	check.True(important > 0.99)
}

// TestLongWorkIsNotStarved guards against the starvation of queued long work items
// by short work items that keep arriving.
func TestLongWorkIsNotStarved(t *testing.T) {
	check := is.New(t)
	settings := oneUpstream(newController)
	settings.Demand, settings.LongShare, settings.LongRoute = farm.ConstantDemand(0.3), longShare/2, true
	settings.Deadline, settings.Duration = 100*time.Millisecond, 40*time.Second
	result := farm.Run(settings)
	check.True(result.InTimeShare(farm.Long) > 0.99)
	check.True(result.InTimeShare(farm.Short) > 0.99)
}

// TestSlowedUpstreamIsAvoided checks that slow spells of one of five upstreams
// raise the 99th percentile of the call durations by less than half, although the
// load reports are 500 ms old.
func TestSlowedUpstreamIsAvoided(t *testing.T) {
	check := is.New(t)
	settings := fiveUpstreams(20, route.Adaptive)
	settings.LoadReportAge = 500 * time.Millisecond
	healthy := farm.Run(settings).P99(all)
	settings.SlowSpells = true
	check.True(farm.Run(settings).P99(all) < healthy*3/2)
}

// BenchmarkSurge measures each controller at one upstream during a surge of demand
// to three times the capacity.
func BenchmarkSurge(b *testing.B) {
	cases := []struct{ work, deadline time.Duration }{
		{shortWork, 4 * shortWork},
		{shortWork, 10 * shortWork},
		{250 * time.Millisecond, time.Second},
		{250 * time.Millisecond, 2500 * time.Millisecond},
	}
	for _, run := range cases {
		for _, variant := range controllers {
			b.Run(fmt.Sprintf("work-%s/deadline-%s/%s", run.work, run.deadline, variant.name), func(b *testing.B) {
				settings := withSurge(oneUpstream(variant.controller), run.deadline)
				settings.Work = run.work
				reportSurge(b, settings)
			})
		}
	}
}

// BenchmarkSurgeAtFiveUpstreams measures each controller at five upstreams during
// the surge, with and without an upstream that leaves at the peak.
func BenchmarkSurgeAtFiveUpstreams(b *testing.B) {
	for _, leaves := range []time.Duration{0, surge.Start + surge.RampDuration + surge.PeakDuration/2} {
		for _, variant := range controllers {
			b.Run(fmt.Sprintf("leaves-%s/%s", leaves, variant.name), func(b *testing.B) {
				settings := withSurge(fiveUpstreams(20, route.Adaptive), 100*time.Millisecond)
				settings.Controller, settings.LeaveAfter = variant.controller, leaves
				reportSurge(b, settings)
			})
		}
	}
}

func reportSurge(b *testing.B, settings farm.Settings) {
	b.Helper()
	report(b, func(seed uint64, metrics metricValues) {
		settings.Seed = seed
		result := farm.Run(settings)
		peak := surge.AtPeak(result)
		metrics.add("%capacity", 100*surge.PeakDemand*result.InTimeShare(peak))
		metrics.add("%critical", 100*result.InTimeShare(peak.And(farm.AtLeast(conf.Critical))))
		metrics.add("%important", 100*result.InTimeShare(peak.And(farm.AtLeast(conf.High))))
		metrics.add("attempts", result.MeanAttempts(peak))
		metrics.add("recovery-ms", milliseconds(surge.Recovery(result, window, settings.Deadline)))
	})
}

// BenchmarkLong measures, for each controller, how long work items affect the short
// ones at one upstream. It compares a run in which 2% of the work items are 100
// times longer with a run that has only short work items.
func BenchmarkLong(b *testing.B) {
	for _, ownRoute := range []bool{true, false} {
		for _, variant := range controllers {
			b.Run(fmt.Sprintf("own-route-%t/%s", ownRoute, variant.name), func(b *testing.B) {
				reportLong(b, oneUpstream(variant.controller), ownRoute)
			})
		}
	}
}

// BenchmarkLongAtFiveUpstreams measures the same as BenchmarkLong for each load
// balancing policy at five upstreams.
func BenchmarkLongAtFiveUpstreams(b *testing.B) {
	for _, ownRoute := range []bool{true, false} {
		for _, variant := range policies {
			b.Run(fmt.Sprintf("own-route-%t/%s", ownRoute, variant.name), func(b *testing.B) {
				settings := fiveUpstreams(20, variant.policy)
				settings.Demand, settings.Deadline, settings.Duration = farm.ConstantDemand(0.2), time.Second, 120*time.Second
				reportLong(b, settings, ownRoute)
			})
		}
	}
}

func reportLong(b *testing.B, settings farm.Settings, ownRoute bool) {
	b.Helper()
	report(b, func(seed uint64, metrics metricValues) {
		settings.Seed, settings.LongShare, settings.LongRoute = seed, 0, ownRoute
		without := farm.Run(settings).P99(farm.Short)
		settings.LongShare = longShare
		with := farm.Run(settings)
		metrics.add("without-p99-ms", milliseconds(without))
		metrics.add("ratio", float64(with.P99(farm.Short))/float64(without))
		metrics.add("%short", 100*with.InTimeShare(farm.Short))
		metrics.add("%long", 100*with.InTimeShare(farm.Long))
	})
}

// BenchmarkSlowed measures all calls while one of five upstreams has slow spells,
// and compares them with a run without slow spells.
func BenchmarkSlowed(b *testing.B) {
	for _, entries := range []int{1, 20, 100} {
		for _, late := range []time.Duration{0, 500 * time.Millisecond} {
			for _, controller := range []int{0, len(controllers) - 1} {
				for _, variant := range policies {
					settings := fiveUpstreams(entries, variant.policy)
					settings.LoadReportAge, settings.Controller = late, controllers[controller].controller
					name := fmt.Sprintf("entries-%d/late-%s/%s/%s", entries, late, controllers[controller].name, variant.name)
					b.Run(name, func(b *testing.B) { reportSlowed(b, settings) })
				}
			}
		}
	}
}

func reportSlowed(b *testing.B, settings farm.Settings) {
	b.Helper()
	report(b, func(seed uint64, metrics metricValues) {
		settings.Seed, settings.SlowSpells = seed, false
		healthy := farm.Run(settings).P99(all)
		settings.SlowSpells = true
		slowed := farm.Run(settings)
		metrics.add("healthy-p99-ms", milliseconds(healthy))
		metrics.add("ratio", float64(slowed.P99(all))/float64(healthy))
		metrics.add("slowed-%", 100*slowed.SlowedShare(all))
	})
}

// metricValues holds the values of each metric, one for each seed.
type metricValues map[string][]float64

func (mv metricValues) add(name string, value float64) { mv[name] = append(mv[name], value) }

// report runs an experiment with each seed and reports the mean of each metric
// and the worst ratio.
func report(b *testing.B, experiment func(seed uint64, metrics metricValues)) {
	b.Helper()
	metrics := metricValues{}
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
