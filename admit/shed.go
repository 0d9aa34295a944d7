package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// sustainedQueueing is how long short work must have been queued without a
	// break before less important work may no longer fill the queue.
	sustainedQueueing = 100 * time.Millisecond
	// After sustained queueing, work of normal or low importance may join only
	// while the queue holds less than normalQueueShare or lowQueueShare of its
	// limit.
	normalQueueShare = 0.5
	lowQueueShare    = 0.25
	// surplusQueueShare is the same for the work of teams in a surge, at all times.
	surplusQueueShare = 0.5
)

// queueLimit returns the queue length at which the queue is full for the item.
// Only queued work items of the item's class, long or short, count. The limit for
// short work shrinks by the fraction of the slots that long work and stragglers
// hold. After sustained queueing, it is lower still for short work of normal or
// low importance.
func (ct *Controller) queueLimit(item QueueItem, now time.Time) int {
	limit := ct.queueMax
	if !item.Long {
		limit = max(1, ct.queueMax*(ct.slots-ct.heldByLong(now))/max(ct.slots, 1))
	}
	level := ct.level(item)
	if level < 0 {
		return max(1, int(surplusQueueShare*float64(limit)))
	}
	if item.Long || ct.queuedWithinShare(false) == 0 || now.Sub(ct.shortQueuedSince) < sustainedQueueing {
		return limit
	}
	switch level {
	case conf.Critical, conf.High:
		return limit
	case conf.Normal:
		return max(1, int(normalQueueShare*float64(limit)))
	default:
		return max(1, int(lowQueueShare*float64(limit)))
	}
}

// admitToQueue returns an error if a work item may not join the queue. If the
// queue is full, or the item would start too late because of less important items
// ahead of it, admitToQueue evicts less important items until there is room and
// the item can start in time.
func (ct *Controller) admitToQueue(item QueueItem, now time.Time) ([]types.Effect, *fault.Error) {
	importance := ct.level(item)
	if item.missesSoftDeadline(now) && !item.dear(now) && len(ct.queue) > 0 {
		return nil, ct.overloaded(now, "work that can still meet its aim waits")
	}
	left := item.latestStart(now).Sub(now)
	if wait := max(ct.estimateWait(item, ct.countAhead(item, importance, now), now), ct.surplusWait(item)); wait > left {
		return nil, ct.overloaded(now, "the estimated wait is "+wait.String())
	}
	var effects []types.Effect
	full := ct.full(item, now)
	for full || ct.estimateWait(item, ct.countAhead(item, 0, now), now) > left {
		i := ct.evictionCandidate(item, now)
		if i < 0 {
			return effects, ct.overloaded(now, ct.fullReason(item))
		}
		effects = append(effects, ct.evict(i, now)...)
		full = false
	}
	return effects, nil
}

// evict refuses the queued work item at index i in favor of a more important work
// item.
func (ct *Controller) evict(i int, now time.Time) []types.Effect {
	victim := ct.queue[i]
	ct.dropAt(i)
	return ct.refuse(victim.Work, now, ct.evictReason(victim))
}

// countAhead counts the queued work items of the same class, long or short, that
// have at least the given importance and would run before the new item.
func (ct *Controller) countAhead(item QueueItem, importance conf.Importance, now time.Time) int {
	rank := ct.rank(item, now)
	count := 0
	for _, queued := range ct.queue {
		if ct.level(queued) >= importance && queued.Long == item.Long && ct.rank(queued, now) <= rank {
			count++
		}
	}
	return count
}

// evictionCandidate returns the index of the queued work item to evict for another
// one, or -1 if none gives way. It chooses the least important
// item of the same class, long or short, and among equals the one that would run
// last.
func (ct *Controller) evictionCandidate(item QueueItem, now time.Time) int {
	best := -1
	for i, queued := range ct.queue {
		if queued.Long != item.Long || !ct.givesWay(queued, item) {
			continue
		}
		if best < 0 || ct.evictsBefore(queued, ct.queue[best], now) {
			best = i
		}
	}
	return best
}

// givesWay reports whether a queued work item may be evicted for another: it is less
// important, or its team is further ahead of its share.
func (ct *Controller) givesWay(queued, item QueueItem) bool {
	if ct.level(queued) != ct.level(item) {
		return ct.level(queued) < ct.level(item)
	}
	return ct.aheadOf(queued, item)
}

// evictsBefore reports whether a is evicted in preference to b.
func (ct *Controller) evictsBefore(a, b QueueItem, now time.Time) bool {
	if ct.level(a) != ct.level(b) {
		return ct.level(a) < ct.level(b)
	}
	return ct.rank(a, now) >= ct.rank(b, now)
}

// refuse returns the effects of refusing a work item for overload.
func (ct *Controller) refuse(work WorkItem, now time.Time, reason string) []types.Effect {
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: ct.overloaded(now, reason)}}
}

// refuseExpired refuses a work item whose deadline has passed.
func (ct *Controller) refuseExpired(work WorkItem) []types.Effect {
	err := fault.New(fault.DeadlineExceeded, "the deadline came before a slot was free")
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: err}}
}

// overloaded returns the error of a refusal for overload, and counts the refused
// work item among the expected retries.
func (ct *Controller) overloaded(now time.Time, reason string) *fault.Error {
	err := fault.New(fault.Overloaded, "%s", reason).WithRetryAfter(ct.RetryAfter(now))
	ct.pendingRetries.add()
	return err
}

// RetryAfter returns the time after which refused work may be retried: the time
// to run the queued work and the expected retries, plus random jitter.
func (ct *Controller) RetryAfter(now time.Time) time.Duration {
	each := ct.meanDuration / time.Duration(max(ct.slots, 1))
	if ct.rate.limited() {
		each = max(each, time.Duration(float64(time.Second)/ct.rate.perSecond))
	}
	return ct.pendingRetries.retryAfter(time.Duration(len(ct.queue))*each, each, ct.rng, now)
}
