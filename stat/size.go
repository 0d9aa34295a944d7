package stat

import "sequoiamill.example/sequoiamill/types"

// sizeWeight is the weight of a new size in the average.
const sizeWeight = 0.05

// Sizes estimates how large the answers of each route are, as a decaying mean.
type Sizes struct{ routes map[types.RouteName]float64 }

// NewSizes returns an empty set of estimates.
func NewSizes() *Sizes { return &Sizes{routes: map[types.RouteName]float64{}} }

// Observe adds the size of an answer in bytes.
func (si *Sizes) Observe(route types.RouteName, size int) {
	mean, known := si.routes[route]
	switch {
	case known:
		si.routes[route] = mean + sizeWeight*(float64(size)-mean)
	case len(si.routes) < maxRoutes:
		si.routes[route] = float64(size)
	}
}

// Mean returns the mean size of a route's answers, or 0 if none was observed.
func (si *Sizes) Mean(route types.RouteName) int { return int(si.routes[route]) }
