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
)

// queueLimit returns the queue length from which a work item may not join. The
// limit for short work shrinks by the share of slots that long work holds.
func (gt *Gate) queueLimit(waiting Waiting, now time.Time) int {
	limit := gt.queueMax
	if !waiting.Long {
		limit = max(1, gt.queueMax*(gt.slots-gt.heldByLong(now))/max(gt.slots, 1))
	}
	if waiting.Long || gt.queued(false) == 0 || now.Sub(gt.shortQueuedSince) < sustainedQueueing {
		return limit
	}
	switch waiting.Work.Importance {
	case conf.Critical, conf.High:
		return limit
	case conf.Normal:
		return max(1, int(normalQueueShare*float64(limit)))
	default:
		return max(1, int(lowQueueShare*float64(limit)))
	}
}

// admitToQueue returns an error if a work item may not join the queue. If the
// queue is too long for it, it evicts less important items to let it in.
func (gt *Gate) admitToQueue(waiting Waiting, now time.Time) ([]types.Effect, *fault.Error) {
	importance := waiting.Work.Importance
	if waiting.missesAim(now) && len(gt.queue) > 0 {
		return nil, gt.overloaded(now, "work that can still meet its aim waits")
	}
	left := waiting.latestStart(now).Sub(now)
	if wait := gt.estimateWait(waiting, gt.countAhead(waiting, importance, now), now); wait > left {
		return nil, gt.overloaded(now, "the estimated wait is "+wait.String())
	}
	var effects []types.Effect
	full := gt.queued(waiting.Long) >= gt.queueLimit(waiting, now)
	for full || gt.estimateWait(waiting, gt.countAhead(waiting, 0, now), now) > left {
		i := gt.evictionCandidate(waiting, now)
		if i < 0 {
			return effects, gt.overloaded(now, "the queue is full")
		}
		effects = append(effects, gt.evict(i, now)...)
		full = false
	}
	return effects, nil
}

// evict refuses the queued work item at an index in favor of a more important
// one.
func (gt *Gate) evict(i int, now time.Time) []types.Effect {
	victim := gt.queue[i].Work
	gt.removeAt(i)
	return gt.refuse(victim, now, "more important work came")
}

// countAhead counts the queued work items of the same class, long or short, that
// have at least a given importance and run before a new one.
func (gt *Gate) countAhead(waiting Waiting, importance conf.Importance, now time.Time) int {
	rank := gt.discipline.Rank(waiting, now)
	count := 0
	for _, queued := range gt.queue {
		if queued.Work.Importance >= importance && queued.Long == waiting.Long && gt.discipline.Rank(queued, now) <= rank {
			count++
		}
	}
	return count
}

// evictionCandidate returns the index of the queued work item to evict for a more
// important one, or -1 if none is less important. It chooses the least important
// item of the same class, long or short, and among equals the one that would run
// last.
func (gt *Gate) evictionCandidate(waiting Waiting, now time.Time) int {
	best := -1
	for i, queued := range gt.queue {
		if queued.Work.Importance >= waiting.Work.Importance || queued.Long != waiting.Long {
			continue
		}
		if best < 0 || gt.evictsBefore(queued, gt.queue[best], now) {
			best = i
		}
	}
	return best
}

// evictsBefore reports whether a is evicted in preference to b.
func (gt *Gate) evictsBefore(a, b Waiting, now time.Time) bool {
	if a.Work.Importance != b.Work.Importance {
		return a.Work.Importance < b.Work.Importance
	}
	return gt.discipline.Rank(a, now) >= gt.discipline.Rank(b, now)
}

// refuse returns the effects of refusing a work item for overload.
func (gt *Gate) refuse(work Work, now time.Time, reason string) []types.Effect {
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: gt.overloaded(now, reason)}}
}

// refuseExpired refuses a work item whose deadline has passed.
func (gt *Gate) refuseExpired(work Work) []types.Effect {
	err := fault.New(fault.DeadlineExceeded, "the deadline came before a slot was free")
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: err}}
}

// overloaded returns the error of a refusal for overload, and records that the
// refused work will be retried.
func (gt *Gate) overloaded(now time.Time, reason string) *fault.Error {
	err := fault.New(fault.Overloaded, "%s", reason).WithRetryAfter(gt.RetryAfter(now))
	gt.pendingRetries.add()
	return err
}

// RetryAfter returns after what time refused work may be retried: the time to
// run the queue and the expected retries, plus random jitter.
func (gt *Gate) RetryAfter(now time.Time) time.Duration {
	each := gt.meanDuration / time.Duration(max(gt.slots, 1))
	return gt.pendingRetries.retryAfter(time.Duration(len(gt.queue))*each, each, gt.rng, now)
}
