// Package stat estimates typical durations, mean sizes and hit rates from observed
// samples, giving recent samples more weight.
//
// # Usage
//
//	durations := stat.NewDurations()
//	durations.Observe("status", 12*time.Millisecond, now)
//	typical, ok := durations.Typical("status")
package stat

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// maxRoutes is the maximum number of routes for which estimates are stored.
	maxRoutes = 1024
	// minWeight is the weight of a new sample after many samples. The first ones
	// weigh more: the n-th sample has weight 1/n.
	minWeight = 0.02
	// maxStep limits the difference between a sample and the estimate, as a
	// natural logarithm, so that an outlier has little effect.
	maxStep = 2.0
	// minimumDuration replaces shorter durations, since the logarithm of zero is
	// not finite.
	minimumDuration = 10 * time.Microsecond
)

// Durations estimates the typical duration of the work of each route as an
// exponentially weighted geometric mean, on which a few slow outliers have little
// effect.
type Durations struct {
	routes  map[types.RouteName]*estimate
	overall estimate
}

// estimate is the estimated duration of one route or of all routes.
type estimate struct {
	logMean float64
	typical time.Duration
	samples int
	updated time.Time
}

// NewDurations returns a Durations without samples.
func NewDurations() *Durations {
	return &Durations{routes: map[types.RouteName]*estimate{}}
}

// Observe adds the duration of one piece of work of a route, which ended now.
func (du *Durations) Observe(route types.RouteName, elapsed time.Duration, now time.Time) {
	stored, ok := du.routes[route]
	if !ok {
		du.evictOldest()
		stored = &estimate{}
		du.routes[route] = stored
	}
	stored.observe(elapsed, now)
	du.overall.observe(elapsed, now)
}

// Typical returns the typical duration of a route and whether any was observed.
func (du *Durations) Typical(route types.RouteName) (time.Duration, bool) {
	stored, ok := du.routes[route]
	if !ok {
		return 0, false
	}
	return stored.typical, true
}

// Overall returns the typical duration over all routes and whether any was
// observed.
func (du *Durations) Overall() (time.Duration, bool) {
	return du.overall.typical, du.overall.samples > 0
}

// Len returns the number of routes for which estimates are stored.
func (du *Durations) Len() int { return len(du.routes) }

// evictOldest removes the least recently observed route if maxRoutes are stored.
func (du *Durations) evictOldest() {
	if len(du.routes) < maxRoutes {
		return
	}
	var oldest types.RouteName
	var oldestEstimate *estimate
	for name, stored := range du.routes {
		if oldestEstimate == nil || stored.updated.Before(oldestEstimate.updated) || stored.updated.Equal(oldestEstimate.updated) && name < oldest {
			oldest, oldestEstimate = name, stored
		}
	}
	delete(du.routes, oldest)
}

// observe adds a sample to the mean of the logarithms.
func (es *estimate) observe(elapsed time.Duration, now time.Time) {
	sample := math.Log(float64(max(elapsed, minimumDuration)))
	es.samples++
	weight := max(1/float64(es.samples), minWeight)
	if es.samples == 1 {
		es.logMean = sample
	}
	step := min(max(sample-es.logMean, -maxStep), maxStep)
	es.logMean += weight * step
	es.typical = time.Duration(math.Exp(es.logMean)).Round(time.Microsecond)
	es.updated = now
}
