// Package stat learns from observed durations.
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
	// maxRoutes bounds the number of routes that are remembered.
	maxRoutes = 1024
	// settledWeight is the weight of a sample once many have been seen.
	settledWeight = 0.02
	// maxStep bounds how far one sample is taken to lie from the estimate, as
	// a logarithm.
	maxStep = 2.0
	// minimumDuration is the shortest duration that is told from zero.
	minimumDuration = 10 * time.Microsecond
)

// Durations estimates how long the work of each route usually takes, as a
// decaying geometric mean, so that a few stragglers hardly move it.
type Durations struct {
	routes  map[types.RouteName]*estimate
	overall estimate
}

type estimate struct {
	log     float64
	typical time.Duration
	samples int
	updated time.Time
}

// NewDurations returns an empty set of estimates.
func NewDurations() *Durations {
	return &Durations{routes: map[types.RouteName]*estimate{}}
}

// Observe adds one duration of a route.
func (du *Durations) Observe(route types.RouteName, elapsed time.Duration, now time.Time) {
	known, ok := du.routes[route]
	if !ok {
		du.makeRoom()
		known = &estimate{}
		du.routes[route] = known
	}
	known.observe(elapsed, now)
	du.overall.observe(elapsed, now)
}

// Typical returns the typical duration of a route, if any was observed.
func (du *Durations) Typical(route types.RouteName) (time.Duration, bool) {
	known, ok := du.routes[route]
	if !ok {
		return 0, false
	}
	return known.typical, true
}

// Overall returns the typical duration over all routes, if any was observed.
func (du *Durations) Overall() (time.Duration, bool) {
	return du.overall.typical, du.overall.samples > 0
}

// Len returns the number of routes that are remembered.
func (du *Durations) Len() int { return len(du.routes) }

// makeRoom forgets the route that was observed least recently if the set is
// full.
func (du *Durations) makeRoom() {
	if len(du.routes) < maxRoutes {
		return
	}
	var oldest types.RouteName
	var found *estimate
	for name, known := range du.routes {
		if found == nil || known.updated.Before(found.updated) || known.updated.Equal(found.updated) && name < oldest {
			oldest, found = name, known
		}
	}
	delete(du.routes, oldest)
}

func (es *estimate) observe(elapsed time.Duration, now time.Time) {
	sample := math.Log(float64(max(elapsed, minimumDuration)))
	es.samples++
	weight := max(1/float64(es.samples), settledWeight)
	if es.samples == 1 {
		es.log = sample
	}
	step := min(max(sample-es.log, -maxStep), maxStep)
	es.log += weight * step
	es.typical = time.Duration(math.Exp(es.log)).Round(time.Microsecond)
	es.updated = now
}
