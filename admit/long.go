package admit

import (
	"time"
)

const (
	// defaultDuration is the expected duration of work before any was observed.
	defaultDuration = 10 * time.Millisecond
	// meanWeight is the weight of a new sample in the moving average.
	meanWeight = 0.05
	// longFactor classifies a route's work as long if its typical duration is at
	// least this multiple of the typical duration over all routes. All other work
	// is short.
	longFactor = 8
	// stragglerFactor classifies a running work item as a straggler once it has
	// run for this multiple of its route's typical duration.
	stragglerFactor = 4
	// longShare is the fraction of the slots that long work may hold while short
	// work arrives.
	longShare = 0.5
	// shortInterval is the period after the last arrival of short work during
	// which long work is limited to longShare of the slots.
	shortInterval = time.Second
)

// recordDuration adds the duration of an ended work item to the estimates.
func (ct *Controller) recordDuration(ended *runningItem, elapsed time.Duration, now time.Time) {
	ct.durations.Observe(ended.work.Route, elapsed, now)
	ct.paces.observe(ended, elapsed, now)
	if !ended.long {
		sample := min(elapsed, stragglerFactor*ct.meanDuration)
		ct.meanDuration += time.Duration(meanWeight * float64(sample-ct.meanDuration))
	}
}

// isLong reports whether a work item with an expected duration is classified as long.
func (ct *Controller) isLong(work WorkItem, expected time.Duration) bool {
	_, known := ct.durations.Typical(work.Route)
	overall, _ := ct.durations.Overall()
	return known && expected >= longFactor*overall
}

// mayRun reports whether a work item may take a free slot. While short work
// arrives, long work is limited to a share of the slots.
func (ct *Controller) mayRun(item QueueItem, now time.Time) bool {
	if ct.mode != shedding || !item.Long || now.Sub(ct.lastShortArrival) > shortInterval {
		return true
	}
	return ct.heldByLong(now) < ct.maxLongSlots()
}

// maxLongSlots returns how many slots long work may hold while short work
// arrives.
func (ct *Controller) maxLongSlots() int { return max(1, int(longShare*float64(ct.slots))) }

// heldByLong counts the slots that long work and stragglers hold.
func (ct *Controller) heldByLong(now time.Time) int {
	held := 0
	for _, active := range ct.running {
		if active.long || now.Sub(active.startedAt) > stragglerFactor*active.expected {
			held++
		}
	}
	return held
}

// estimateWait estimates how long a work item waits in the queue if the given
// number of queued work items of its class, long or short, run before it.
func (ct *Controller) estimateWait(item QueueItem, ahead int, now time.Time) time.Duration {
	return max(ct.estimateSlotWait(item, ahead, now), ct.rate.wait(ahead, now))
}

// estimateSlotWait is like estimateWait, but without the rate limit.
func (ct *Controller) estimateSlotWait(item QueueItem, ahead int, now time.Time) time.Duration {
	if item.Long && item.Work.CostFactor > 0 && ct.heldByLong(now)+ahead < ct.maxLongSlots() {
		return ct.Left(now).SlotWait
	}
	if item.Long {
		return item.ExpectedDuration * time.Duration(ahead+1) / time.Duration(ct.maxLongSlots())
	}
	shortSlots := ct.slots - ct.heldByLong(now)
	if shortSlots > 0 {
		return ct.meanDuration * time.Duration(ahead+1) / time.Duration(shortSlots)
	}
	return ct.nextCompletion(now) + ct.meanDuration*time.Duration(ahead)/time.Duration(max(ct.slots, 1))
}

// nextCompletion estimates how long it takes until the first running work item
// ends, up to maximumWait. An item that has exceeded its expected duration is
// assumed to need as long again as it has run so far.
func (ct *Controller) nextCompletion(now time.Time) time.Duration {
	soonest := maximumWait
	for _, active := range ct.running {
		age := now.Sub(active.startedAt)
		left := active.expected - age
		if left <= 0 {
			left = age
		}
		soonest = min(soonest, left)
	}
	return soonest
}
