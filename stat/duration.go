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
	// minWeight is the lower limit of a sample's weight. The n-th sample has
	// weight 1/n until that falls below minWeight, which is after 50 samples.
	minWeight = 0.02
	// maxStep limits the difference between the natural logarithms of a sample
	// and of the estimate, so that an outlier has little effect. A sample more
	// than e^2 (about 7.4) times longer or shorter than the estimate counts as
	// if it were e^2 times longer or shorter.
	maxStep = 2.0
	// minimumDuration replaces shorter durations, since the logarithm of zero is
	// not finite.
	minimumDuration = 10 * time.Microsecond
)

// Durations estimates the typical duration of work on each route and on all routes
// together. The estimate is an exponentially weighted geometric mean, on which a
// few slow outliers have little effect.
type Durations struct {
	routes      map[types.RouteName]*estimate
	overall     estimate
	leastWeight float64
}

// DurationsOption changes a setting of a Durations.
type DurationsOption func(*Durations)

// WithLeastWeight sets the lower limit of a sample's weight. The lower it is, the less
// a short spell shows.
func WithLeastWeight(weight float64) DurationsOption {
	return func(du *Durations) { du.leastWeight = weight }
}

// estimate is the estimated duration of the work on one route, or on all routes
// together.
type estimate struct {
	logMean float64
	typical time.Duration
	samples int
	updated time.Time
}

// NewDurations returns a Durations without samples.
func NewDurations(opts ...DurationsOption) *Durations {
	du := &Durations{routes: map[types.RouteName]*estimate{}, leastWeight: minWeight}
	for _, opt := range opts {
		opt(du)
	}
	return du
}

// Observe adds a sample: the duration of work on a route that ended at the time
// now. If maxRoutes other routes are stored, the least recently observed one is
// removed.
func (du *Durations) Observe(route types.RouteName, elapsed time.Duration, now time.Time) {
	stored, ok := du.routes[route]
	if !ok {
		du.evictOldest()
		stored = &estimate{}
		du.routes[route] = stored
	}
	stored.observe(elapsed, du.leastWeight, now)
	du.overall.observe(elapsed, du.leastWeight, now)
}

// Typical returns the typical duration of work on a route. It returns false if the
// route has no samples or was removed.
func (du *Durations) Typical(route types.RouteName) (time.Duration, bool) {
	stored, ok := du.routes[route]
	if !ok {
		return 0, false
	}
	return stored.typical, true
}

// Samples returns the number of samples of a route.
func (du *Durations) Samples(route types.RouteName) int {
	if stored, ok := du.routes[route]; ok {
		return stored.samples
	}
	return 0
}

// Overall returns the typical duration of work over all routes. It returns false
// if there are no samples.
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

// observe adds a sample to the weighted mean of the samples' logarithms and updates
// the typical duration. The first sample becomes the estimate without a step limit.
func (es *estimate) observe(elapsed time.Duration, leastWeight float64, now time.Time) {
	sample := math.Log(float64(max(elapsed, minimumDuration)))
	es.samples++
	weight := max(1/float64(es.samples), leastWeight)
	if es.samples == 1 {
		es.logMean = sample
	}
	step := min(max(sample-es.logMean, -maxStep), maxStep)
	es.logMean += float64(weight * step)
	es.typical = time.Duration(math.Exp(es.logMean)).Round(time.Microsecond)
	es.updated = now
}
