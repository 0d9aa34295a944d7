package route

import (
	"math"
	"math/rand/v2"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

// Splitter chooses a service for each request on a route that has a
// traffic split, in proportion to the weights of the split's services. For each
// route, it steps through a golden-ratio sequence instead of drawing random
// numbers, so that even a short run of requests matches the weights.
type Splitter struct {
	source *rand.Rand
	// points holds the last point in [0, 1) of each route's sequence.
	points map[types.RouteName]float64
}

// NewSplitter returns a splitter whose sequences start at points drawn
// with seed.
func NewSplitter(seed uint64) *Splitter {
	return &Splitter{source: rand.New(rand.NewPCG(seed, ^seed)), points: map[types.RouteName]float64{}}
}

// Choose returns the service of the next request on a route with a split.
func (sp *Splitter) Choose(route conf.Route) types.ServiceName {
	point, known := sp.points[route.Name]
	if !known {
		point = sp.source.Float64()
	}
	_, point = math.Modf(point + 1/math.Phi)
	sp.points[route.Name] = point
	total := 0
	for _, share := range route.Split {
		total += share.Weight
	}
	remaining := point * float64(total)
	for _, share := range route.Split {
		if remaining -= float64(share.Weight); remaining < 0 {
			return share.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// Prune deletes the sequence points of the routes that are not in snapshot or
// have no traffic split there.
func (sp *Splitter) Prune(snapshot conf.Snapshot) {
	kept := make(map[types.RouteName]float64, len(sp.points))
	for _, route := range snapshot.Routes() {
		if point, known := sp.points[route.Name]; known && len(route.Split) > 0 {
			kept[route.Name] = point
		}
	}
	sp.points = kept
}
