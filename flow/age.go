package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// ageTolerance is how far apart the ends of two attempts may lie for them to
	// be one caller's. They differ by how long the attempts were on their way
	// and by the unit in which the time left is said.
	ageTolerance = 2 * time.Millisecond
	ageUnit      = time.Millisecond
	// maxAges bounds the callers that are remembered.
	maxAges = 8192
)

// Ages tells for how long a caller has been asking. A caller that comes back
// leaves less time than before, so that its attempts all end at one instant;
// those that failed are remembered by it.
type Ages struct {
	asked map[ending]time.Time
	// order holds the remembered ends, oldest first.
	order []ending
}

// ending is the instant at which the callers of a route give up, in units.
type ending struct {
	route types.RouteName
	at    int64
}

func endingOf(route types.RouteName, at time.Time) ending {
	return ending{route: route, at: at.UnixNano() / int64(ageUnit)}
}

// NewAges returns a memory of no callers.
func NewAges() *Ages { return &Ages{asked: map[ending]time.Time{}} }

// Failed remembers a caller that may come back: that of a route who gives up at
// an instant and asked first at another.
func (ag *Ages) Failed(route types.RouteName, until, first, now time.Time) {
	ag.forget(now)
	key := endingOf(route, until)
	if _, known := ag.asked[key]; !known {
		ag.order = append(ag.order, key)
	}
	ag.asked[key] = first
}

// First returns when the caller of a route who gives up at an instant asked
// first, which is now unless it failed before.
func (ag *Ages) First(route types.RouteName, until, now time.Time) time.Time {
	for off := int64(0); off <= int64(ageTolerance/ageUnit); off++ {
		for _, sign := range []int64{-1, 1} {
			key := endingOf(route, until)
			key.at += sign * off
			if first, ok := ag.asked[key]; ok {
				delete(ag.asked, key)
				return first
			}
		}
	}
	return now
}

// Len returns the number of callers that are remembered.
func (ag *Ages) Len() int { return len(ag.asked) }

// forget drops the callers that have given up, and the oldest of too many.
func (ag *Ages) forget(now time.Time) {
	for len(ag.order) > 0 {
		oldest := ag.order[0]
		_, known := ag.asked[oldest]
		if known && oldest.at >= endingOf("", now).at && len(ag.order) < maxAges {
			return
		}
		delete(ag.asked, oldest)
		ag.order = ag.order[1:]
	}
}
