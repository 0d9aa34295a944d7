package admit

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// Waiting is a work item in the queue, with the estimates made on its arrival.
type Waiting struct {
	Work Work
	// Since is when the work item arrived.
	Since time.Time
	// Expected is how long work on its route usually runs.
	Expected time.Duration
	// Mean is the gate's mean duration of short work when the item arrived.
	Mean time.Duration
	// Long is true if work on its route usually runs much longer than other work.
	Long bool
}

// missesAim reports whether the work is expected to end after its aim even if it
// starts now. Such work yields to work that can still meet its aim.
func (w Waiting) missesAim(now time.Time) bool {
	return !w.Work.Aim.IsZero() && now.Add(w.Expected).After(w.Work.Aim)
}

// latestStart returns the latest time at which the work can start and still end
// by its aim, or by its deadline if the aim is missed or not set.
func (w Waiting) latestStart(now time.Time) time.Time {
	end := w.Work.Deadline
	if !w.Work.Aim.IsZero() && !w.missesAim(now) && w.Work.Aim.Before(end) {
		end = w.Work.Aim
	}
	return end.Add(-w.Expected)
}

// newWaiting returns an arriving work item with its current estimates.
func (gt *Gate) newWaiting(work Work, now time.Time) Waiting {
	return Waiting{Work: work, Since: now, Expected: gt.Usual(work.Route), Mean: gt.meanDuration, Long: gt.isLong(work.Route)}
}

func (gt *Gate) enqueue(effects []types.Effect, waiting Waiting, expiresAt, now time.Time) []types.Effect {
	if !waiting.Long && gt.queued(false) == 0 {
		gt.shortQueuedSince = now
	}
	gt.queue = append(gt.queue, waiting)
	return append(effects,
		trace.Count{Counter: trace.WorkQueued},
		types.SetTimer{Timer: types.Timer{Kind: types.QueueDeadline, Work: waiting.Work.ID}, At: expiresAt},
	)
}

// queued counts the long or the short work items in the queue.
func (gt *Gate) queued(long bool) int {
	count := 0
	for _, waiting := range gt.queue {
		if waiting.Long == long {
			count++
		}
	}
	return count
}

// drain dispatches queued work to the free slots. In shedding mode it refuses
// work whose deadline has passed or that the discipline drops.
func (gt *Gate) drain(now time.Time) []types.Effect {
	var effects []types.Effect
	for len(gt.queue) > 0 && gt.free() > 0 {
		i := gt.nextIndex(now)
		if i < 0 {
			break
		}
		waiting := gt.queue[i]
		if gt.mode == shedding && !now.Before(waiting.Work.Deadline) {
			gt.removeAt(i)
			effects = append(effects, gt.refuseExpired(waiting.Work)...)
			continue
		}
		if gt.mode == shedding && gt.discipline.Drop != nil && gt.discipline.Drop(waiting, len(gt.queue), now) {
			gt.removeAt(i)
			effects = append(effects, gt.refuse(waiting.Work, now, "it waited too long")...)
			continue
		}
		gt.removeAt(i)
		effects = gt.dispatch(effects, waiting, now)
	}
	return effects
}

// nextIndex returns the index of the queued work item that runs next, or -1 if
// none may run.
func (gt *Gate) nextIndex(now time.Time) int {
	best, lowest := -1, 0.0
	for i, waiting := range gt.queue {
		if !gt.mayRun(waiting, now) {
			continue
		}
		rank := gt.discipline.Rank(waiting, now)
		if waiting.missesAim(now) {
			rank += missedAimPenalty
		}
		if best < 0 || rank < lowest {
			best, lowest = i, rank
		}
	}
	return best
}

func (gt *Gate) removeAt(i int) {
	gt.queue = slices.Delete(gt.queue, i, i+1)
}

// refuseQueued refuses a work item if it is in the queue, and dispatches queued
// work.
func (gt *Gate) refuseQueued(id types.WorkID, err *fault.Error, now time.Time) []types.Effect {
	i := slices.IndexFunc(gt.queue, func(waiting Waiting) bool { return waiting.Work.ID == id })
	if i < 0 {
		return nil
	}
	work := gt.queue[i].Work
	gt.removeAt(i)
	return append([]types.Effect{Refuse{Work: work, Err: err}}, gt.drain(now)...)
}
