package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// ageMemory is the number of requests of a route after which older ones
	// count half, and ageKinds bounds the limits that are told apart.
	ageMemory = 256
	ageKinds  = 64
	// ageShare is the part of a route's requests that must leave the same time
	// for it to be taken for that of first attempts.
	ageShare = 0.2
	// ageLeast is the number of such requests that must have been seen.
	ageLeast = 8
	ageUnit  = time.Millisecond
)

// Ages estimates for how long a caller has been asking. Callers of a route
// mostly leave the same time with their first attempt and less with the next.
type Ages struct {
	routes map[types.RouteName]*limits
}

// limits counts the limits of a route's requests.
type limits struct {
	counts map[time.Duration]float64
	total  float64
}

// NewAges returns estimates that know no routes.
func NewAges() *Ages { return &Ages{routes: map[types.RouteName]*limits{}} }

// Observe notes the limit of a request and returns how long ago its caller
// sent the first attempt, or 0 if that can't be told.
func (ag *Ages) Observe(route types.RouteName, limit time.Duration) time.Duration {
	known, ok := ag.routes[route]
	if !ok {
		known = &limits{counts: map[time.Duration]float64{}}
		ag.routes[route] = known
	}
	limit = limit.Truncate(ageUnit)
	known.add(limit)
	usual, count := known.most()
	if count < max(ageLeast, ageShare*known.total) {
		return 0
	}
	return max(0, usual-limit)
}

// Keep forgets the routes that are not configured.
func (ag *Ages) Keep(snapshot conf.Snapshot) {
	kept := make(map[types.RouteName]*limits, len(ag.routes))
	for _, route := range snapshot.Routes() {
		if known, ok := ag.routes[route.Name]; ok {
			kept[route.Name] = known
		}
	}
	ag.routes = kept
}

func (li *limits) add(limit time.Duration) {
	li.counts[limit]++
	li.total++
	if li.total < ageMemory && len(li.counts) <= ageKinds {
		return
	}
	li.total = 0
	for known, count := range li.counts {
		if count /= 2; count < 1 {
			delete(li.counts, known)
			continue
		}
		li.counts[known] = count
		li.total += count
	}
}

// most returns the limit that was seen most often, the longest of several.
func (li *limits) most() (time.Duration, float64) {
	var usual time.Duration
	best := 0.0
	for limit, count := range li.counts {
		if count > best || count == best && limit > usual {
			usual, best = limit, count
		}
	}
	return usual, best
}
