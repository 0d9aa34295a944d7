package stat

import "sequoiamill.example/sequoiamill/types"

// sizeWeight is the weight of a new sample in the exponentially weighted moving
// average.
const sizeWeight = 0.05

// Sizes estimates the mean answer size of each route as an exponentially weighted
// moving average. It stores estimates for up to maxRoutes routes and ignores the
// samples of further ones.
type Sizes struct{ routes map[types.RouteName]float64 }

// NewSizes returns a Sizes without samples.
func NewSizes() *Sizes { return &Sizes{routes: map[types.RouteName]float64{}} }

// Observe adds the size of one answer of a route, in bytes.
func (si *Sizes) Observe(route types.RouteName, size int) {
	mean, known := si.routes[route]
	switch {
	case known:
		si.routes[route] = mean + float64(sizeWeight*(float64(size)-mean))
	case len(si.routes) < maxRoutes:
		si.routes[route] = float64(size)
	}
}

// Mean returns the estimated mean size of a route's answers in bytes, or 0 if no
// sample of the route is stored.
func (si *Sizes) Mean(route types.RouteName) int { return int(si.routes[route]) }
