package admit

import (
	"time"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// sustained is how long works must have waited without a break before
	// less important ones may no longer fill the queue.
	sustained = 100 * time.Millisecond
	// normalShare and lowShare are the shares of the queue that may then be
	// taken when work of these importances joins.
	normalShare = 0.5
	lowShare    = 0.25
)

// room returns how many works may wait for one more to join.
func (gt *Gate) room(waiting Waiting, now time.Time) int {
	most := gt.queueMax
	if !waiting.Long {
		most = max(1, gt.queueMax*(gt.slots-gt.held(now))/max(gt.slots, 1))
	}
	if waiting.Long || gt.queued(false) == 0 || now.Sub(gt.contended) < sustained {
		return most
	}
	switch waiting.Work.Importance {
	case conf.Critical, conf.High:
		return most
	case conf.Normal:
		return max(1, int(normalShare*float64(most)))
	default:
		return max(1, int(lowShare*float64(most)))
	}
}

// makeRoom decides whether a work may join the queue and refuses less
// important ones in its place if they keep it out.
func (gt *Gate) makeRoom(waiting Waiting, now time.Time) ([]types.Effect, *fault.Error) {
	importance := waiting.Work.Importance
	if waiting.late(now) && len(gt.queue) > 0 {
		return nil, gt.overloaded(now, "work that can still meet its aim waits")
	}
	left := waiting.until(now).Sub(now)
	if wait := gt.wait(waiting, gt.ahead(waiting, importance, now), now); wait > left {
		return nil, gt.overloaded(now, "the estimated wait is "+wait.String())
	}
	var effects []types.Effect
	full := gt.queued(waiting.Long) >= gt.room(waiting, now)
	for full || gt.wait(waiting, gt.ahead(waiting, 0, now), now) > left {
		at := gt.leastImportant(waiting, now)
		if at < 0 {
			return effects, gt.overloaded(now, "the queue is full")
		}
		effects = append(effects, gt.displace(at, now)...)
		full = false
	}
	return effects, nil
}

// displace refuses a queued work in favor of a more important one.
func (gt *Gate) displace(at int, now time.Time) []types.Effect {
	victim := gt.queue[at].Work
	gt.remove(at)
	return gt.refuse(victim, now, "more important work came")
}

// ahead counts the queued works of at least an importance that run before a
// new one.
func (gt *Gate) ahead(waiting Waiting, importance conf.Importance, now time.Time) int {
	rank := gt.discipline.Rank(waiting, now)
	count := 0
	for _, known := range gt.queue {
		if known.Work.Importance >= importance && known.Long == waiting.Long && gt.discipline.Rank(known, now) <= rank {
			count++
		}
	}
	return count
}

// leastImportant returns the index of the queued work that is refused first
// for a more important one: the least important one that would run last.
func (gt *Gate) leastImportant(waiting Waiting, now time.Time) int {
	best := -1
	for at, known := range gt.queue {
		if known.Work.Importance >= waiting.Work.Importance || known.Long != waiting.Long {
			continue
		}
		if best < 0 || gt.refusedBefore(known, gt.queue[best], now) {
			best = at
		}
	}
	return best
}

func (gt *Gate) refusedBefore(a, b Waiting, now time.Time) bool {
	if a.Work.Importance != b.Work.Importance {
		return a.Work.Importance < b.Work.Importance
	}
	return gt.discipline.Rank(a, now) >= gt.discipline.Rank(b, now)
}

func (gt *Gate) refuse(work Work, now time.Time, reason string) []types.Effect {
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: gt.overloaded(now, reason)}}
}

// late refuses a work whose deadline has passed.
func (gt *Gate) late(work Work) []types.Effect {
	err := fault.New(fault.DeadlineExceeded, "the deadline came before a slot was free")
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: err}}
}

// overloaded returns the error of a refusal and counts the work as one that
// is to come back.
func (gt *Gate) overloaded(now time.Time, reason string) *fault.Error {
	err := fault.New(fault.Overloaded, "%s", reason).WithRetryAfter(gt.RetryAfter(now))
	gt.returning.add()
	return err
}

// RetryAfter returns the time until the queue and the refused works that are
// to come back have drained, spread at random.
func (gt *Gate) RetryAfter(now time.Time) time.Duration {
	each := gt.mean / time.Duration(max(gt.slots, 1))
	return gt.returning.wait(time.Duration(len(gt.queue))*each, each, gt.source, now)
}
