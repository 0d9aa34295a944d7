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

// RetryTracker recognizes the retries of a caller and returns when it first
// sent the request. Requests carry no identity of the caller. But with each
// retry the caller sends the time that it still waits, so that all its attempts
// have the same deadline. Failed calls are therefore stored by route and
// deadline.
type RetryTracker struct {
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
// sent its request. That is now, unless the request is the retry of a failed
// call. The stored call is deleted, so that it is matched at most once.
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
