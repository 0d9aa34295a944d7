package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

const (
	// defaultDuration is the expected duration of work before any was observed.
	defaultDuration = 10 * time.Millisecond
	// meanWeight is the weight of a new sample in the moving average.
	meanWeight = 0.05
	// longFactor classifies a route's work as long if its usual duration is at
	// least this multiple of the usual duration over all routes. All other work
	// is short.
	longFactor = 8
	// stragglerFactor classifies a running work item as a straggler once it has
	// run for this multiple of its route's usual duration.
	stragglerFactor = 4
	// longShare is the fraction of the slots that long work may hold while short
	// work arrives.
	longShare = 0.5
	// shortInterval is how long after the last arrival of short work the limit
	// of longShare applies.
	shortInterval = time.Second
)

// recordDuration adds the duration of an ended work item to the estimates.
func (gt *Gate) recordDuration(ended *activeWork, elapsed time.Duration, now time.Time) {
	gt.durations.Observe(ended.work.Route, elapsed, now)
	if !ended.long {
		sample := min(elapsed, stragglerFactor*gt.meanDuration)
		gt.meanDuration += time.Duration(meanWeight * float64(sample-gt.meanDuration))
	}
}

// isLong reports whether work on a route is classified as long.
func (gt *Gate) isLong(route types.RouteName) bool {
	usual, known := gt.durations.Usual(route)
	overall, _ := gt.durations.Overall()
	return known && usual >= longFactor*overall
}

// mayRun reports whether a work item may take a free slot. While short work
// arrives, long work is limited to a share of the slots.
func (gt *Gate) mayRun(waiting Waiting, now time.Time) bool {
	if gt.mode != shedding || !waiting.Long || now.Sub(gt.lastShortArrival) > shortInterval {
		return true
	}
	return gt.heldByLong(now) < gt.maxLongSlots()
}

// maxLongSlots returns how many slots long work may hold while short work
// arrives.
func (gt *Gate) maxLongSlots() int { return max(1, int(longShare*float64(gt.slots))) }

// heldByLong counts the slots that long work and stragglers hold.
func (gt *Gate) heldByLong(now time.Time) int {
	held := 0
	for _, active := range gt.running {
		if active.long || now.Sub(active.startedAt) > stragglerFactor*active.expected {
			held++
		}
	}
	return held
}

// estimateWait estimates how long a work item waits in the queue if a given
// number of queued work items run before it.
func (gt *Gate) estimateWait(waiting Waiting, ahead int, now time.Time) time.Duration {
	if waiting.Long {
		return waiting.Expected * time.Duration(ahead+1) / time.Duration(gt.maxLongSlots())
	}
	shortSlots := gt.slots - gt.heldByLong(now)
	if shortSlots > 0 {
		return gt.meanDuration * time.Duration(ahead+1) / time.Duration(shortSlots)
	}
	return gt.nextCompletion(now) + gt.meanDuration*time.Duration(ahead)/time.Duration(max(gt.slots, 1))
}

// nextCompletion estimates how long it takes until the first running work item
// ends, up to maximumWait. An item that has exceeded its expected duration is
// assumed to need as long again as it has run so far.
func (gt *Gate) nextCompletion(now time.Time) time.Duration {
	soonest := maximumWait
	for _, active := range gt.running {
		age := now.Sub(active.startedAt)
		left := active.expected - age
		if left <= 0 {
			left = age
		}
		soonest = min(soonest, left)
	}
	return soonest
}
