package canary

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// DurationClasses is the number of classes of durations. Each is wider than the one
	// before by the factor √2, from 1 ms on.
	DurationClasses  = 32
	classesPerOctave = 2
	// MaxRoutes is the maximum number of routes in a tally.
	MaxRoutes = 16
	// MaxTallies is the maximum number of tallies in a report.
	MaxTallies = 32
)

// Answer is what the owner of an upstream saw of one request that ran there.
type Answer struct {
	Route   types.RouteName
	Elapsed time.Duration
	Failed  bool
	// Cold is true if the process has just started, so that its durations say nothing.
	Cold bool
}

// RouteTally counts the answers on one route since the order.
type RouteTally struct {
	Route    types.RouteName
	Answers  uint64
	Failures uint64
	// Durations counts the answers that did not fail by the class of their duration,
	// without those of cold processes.
	Durations []uint64
}

// Tally counts the answers of one upstream since the order. Epoch is higher for later
// processes of its node, whose counts begin anew.
type Tally struct {
	Instance types.InstanceID
	Epoch    uint64
	Version  types.UpstreamVersion
	Routes   []RouteTally
}

func (t Tally) answers() uint64 {
	var sum uint64
	for _, counted := range t.Routes {
		sum += counted.Answers
	}
	return sum
}

// newer reports whether the tally was taken after another one of the same upstream.
func (t Tally) newer(old Tally) bool {
	if t.Epoch != old.Epoch {
		return t.Epoch > old.Epoch
	}
	return t.answers() > old.answers()
}

// with returns the tally with one more answer. Routes beyond MaxRoutes are not counted.
func (t Tally) with(answer Answer) Tally {
	t.Routes = slices.Clone(t.Routes)
	at, found := slices.BinarySearchFunc(t.Routes, answer.Route, func(counted RouteTally, name types.RouteName) int {
		return cmp.Compare(counted.Route, name)
	})
	if !found {
		if len(t.Routes) >= MaxRoutes {
			return t
		}
		t.Routes = slices.Insert(t.Routes, at, RouteTally{Route: answer.Route})
	}
	t.Routes[at] = t.Routes[at].with(answer)
	return t
}

func (rt RouteTally) with(answer Answer) RouteTally {
	rt.Answers++
	if answer.Failed {
		rt.Failures++
		return rt
	}
	if answer.Cold {
		return rt
	}
	class := durationClass(answer.Elapsed)
	durations := make([]uint64, max(len(rt.Durations), class+1))
	copy(durations, rt.Durations)
	durations[class]++
	rt.Durations = durations
	return rt
}

func durationClass(elapsed time.Duration) int {
	millis := float64(elapsed) / float64(time.Millisecond)
	if millis < 1 {
		return 0
	}
	return min(1+int(classesPerOctave*math.Log2(millis)), DurationClasses-1)
}

// counts are the sums of tallies of several upstreams on one route.
type counts struct {
	answers   float64
	failures  float64
	durations [DurationClasses]float64
}

// add adds a tally's counts, or takes them away if the sign is -1.
func (c *counts) add(counted RouteTally, sign float64) {
	c.answers += float64(sign * float64(counted.Answers))
	c.failures += float64(sign * float64(counted.Failures))
	for class, number := range counted.Durations[:min(len(counted.Durations), DurationClasses)] {
		c.durations[class] += float64(sign * float64(number))
	}
}

// slow returns how many answers took longer than a class, and how many were timed.
func (c *counts) slow(class int) sample {
	var result sample
	for number, count := range c.durations {
		result.total += count
		if number > class {
			result.hits += count
		}
	}
	return result
}

// routeCounts are counts by route.
type routeCounts map[types.RouteName]*counts

func (rc routeCounts) add(tally Tally, sign float64) {
	for _, counted := range tally.Routes {
		if rc[counted.Route] == nil {
			rc[counted.Route] = &counts{}
		}
		rc[counted.Route].add(counted, sign)
	}
}

func (rc routeCounts) routes() []types.RouteName { return slices.Sorted(maps.Keys(rc)) }

func (rc routeCounts) of(route types.RouteName) *counts {
	if found := rc[route]; found != nil {
		return found
	}
	return &counts{}
}

// total returns the counts of all routes together.
func (rc routeCounts) total() *counts {
	sum := &counts{}
	for _, counted := range rc {
		sum.answers += counted.answers
		sum.failures += counted.failures
		for class, number := range counted.durations {
			sum.durations[class] += number
		}
	}
	return sum
}
