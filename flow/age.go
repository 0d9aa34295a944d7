package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// deadlineTolerance is the greatest difference between the deadlines of two
	// attempts of the same caller. They differ by the network latency of the
	// requests, and because the caller rounds the remaining time that it sends.
	deadlineTolerance = 2 * time.Millisecond
	deadlineUnit      = time.Millisecond
	// maxCallers bounds the number of failed calls that are remembered.
	maxCallers = 8192
)

// Ages recognizes the retries of a caller and returns when it first sent the
// request. Requests carry no identity of the caller. But with each retry the caller
// sends the time that it still waits, so that all its attempts have the same
// deadline. Failed calls are therefore stored by route and deadline.
type Ages struct {
	// firstSeen holds when each failed call was first sent by its caller.
	firstSeen map[deadlineKey]time.Time
	// order holds the stored keys, oldest first.
	order []deadlineKey
}

// deadlineKey is a route and the time at which a caller of it stops waiting, in
// multiples of deadlineUnit.
type deadlineKey struct {
	route types.RouteName
	at    int64
}

func newDeadlineKey(route types.RouteName, at time.Time) deadlineKey {
	return deadlineKey{route: route, at: at.UnixNano() / int64(deadlineUnit)}
}

// NewAges returns an empty Ages.
func NewAges() *Ages { return &Ages{firstSeen: map[deadlineKey]time.Time{}} }

// Failed stores a failed call that its caller may retry. The caller stops waiting
// at until and first sent the request at first.
func (ag *Ages) Failed(route types.RouteName, until, first, now time.Time) {
	ag.evict(now)
	key := newDeadlineKey(route, until)
	if _, known := ag.firstSeen[key]; !known {
		ag.order = append(ag.order, key)
	}
	ag.firstSeen[key] = first
}

// First returns when a caller that stops waiting at until first sent its request.
// That is now, unless the request is the retry of a failed call. The stored call is
// deleted, so that it is matched at most once.
func (ag *Ages) First(route types.RouteName, until, now time.Time) time.Time {
	for offset := int64(0); offset <= int64(deadlineTolerance/deadlineUnit); offset++ {
		for _, sign := range []int64{-1, 1} {
			key := newDeadlineKey(route, until)
			key.at += sign * offset
			if first, ok := ag.firstSeen[key]; ok {
				delete(ag.firstSeen, key)
				return first
			}
		}
	}
	return now
}

// Len returns the number of failed calls that are stored.
func (ag *Ages) Len() int { return len(ag.firstSeen) }

// evict deletes the calls whose callers no longer wait, and the oldest ones while
// there are maxCallers or more.
func (ag *Ages) evict(now time.Time) {
	for len(ag.order) > 0 {
		oldest := ag.order[0]
		_, known := ag.firstSeen[oldest]
		if known && oldest.at >= newDeadlineKey("", now).at && len(ag.order) < maxCallers {
			return
		}
		delete(ag.firstSeen, oldest)
		ag.order = ag.order[1:]
	}
}
