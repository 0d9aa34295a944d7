package flow

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// deadlineTolerance is how far apart the deadlines of a failed call and of a
	// new request may be for the request to count as a retry of that call. The
	// deadlines of one call differ because network latency varies, and because the
	// caller rounds the time left until its deadline before sending it.
	deadlineTolerance = 2 * time.Millisecond
	deadlineUnit      = time.Millisecond
	// maxCallers bounds the number of failed calls that are remembered.
	maxCallers = 8192
)

// RetryTracker recognizes that a request is a caller's retry of a failed call
// and returns when the caller first sent it. Requests do not identify the
// caller. But the caller sends the time left until its deadline with the
// request and with each retry, so all of them have the same deadline. Failed
// calls are therefore stored by route and deadline.
type RetryTracker struct {
	// firstSeen holds the time at which the caller of each failed call first sent
	// the request.
	firstSeen map[deadlineKey]time.Time
	// order holds the stored keys, oldest first.
	order []deadlineKey
}

// deadlineKey is a route and the time at which a caller on that route stops
// waiting, in multiples of deadlineUnit.
type deadlineKey struct {
	route types.RouteName
	at    int64
}

func newDeadlineKey(route types.RouteName, at time.Time) deadlineKey {
	return deadlineKey{route: route, at: at.UnixNano() / int64(deadlineUnit)}
}

// NewRetryTracker returns an empty RetryTracker.
func NewRetryTracker() *RetryTracker { return &RetryTracker{firstSeen: map[deadlineKey]time.Time{}} }

// RecordFailure stores a failed call that its caller may retry. The caller
// stops waiting at callerDeadline and first sent the request at firstSent.
func (rt *RetryTracker) RecordFailure(route types.RouteName, callerDeadline, firstSent, now time.Time) {
	rt.evict(now)
	key := newDeadlineKey(route, callerDeadline)
	if _, known := rt.firstSeen[key]; !known {
		rt.order = append(rt.order, key)
	}
	rt.firstSeen[key] = firstSent
}

// FirstSent returns when a caller that stops waiting at callerDeadline first
// sent its request. If the request is the retry of a stored failed call, that is
// the time stored with the call; otherwise it is now. The stored call is deleted,
// so that it is matched at most once.
func (rt *RetryTracker) FirstSent(route types.RouteName, callerDeadline, now time.Time) time.Time {
	for offset := int64(0); offset <= int64(deadlineTolerance/deadlineUnit); offset++ {
		for _, sign := range []int64{-1, 1} {
			key := newDeadlineKey(route, callerDeadline)
			key.at += sign * offset
			if firstSent, ok := rt.firstSeen[key]; ok {
				delete(rt.firstSeen, key)
				return firstSent
			}
		}
	}
	return now
}

// Len returns the number of failed calls that are stored.
func (rt *RetryTracker) Len() int { return len(rt.firstSeen) }

// evict deletes the calls whose callers no longer wait, and the oldest ones while
// there are maxCallers or more.
func (rt *RetryTracker) evict(now time.Time) {
	for len(rt.order) > 0 {
		oldest := rt.order[0]
		_, known := rt.firstSeen[oldest]
		if known && oldest.at >= newDeadlineKey("", now).at && len(rt.order) < maxCallers {
			return
		}
		delete(rt.firstSeen, oldest)
		rt.order = rt.order[1:]
	}
}
