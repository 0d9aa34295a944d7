package admit

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// Waiting is a work in the queue.
type Waiting struct {
	Work  Work
	Since time.Time
	// Expected is how long work on its route usually runs.
	Expected time.Duration
	// Mean is how long work at the upstream ran on average when it arrived.
	Mean time.Duration
	// Long states that its route is known for long work.
	Long bool
}

// late reports whether the work can't be of full use any more. It leaves the
// queue and the slots to work that can.
func (w Waiting) late(now time.Time) bool {
	return !w.Work.Aim.IsZero() && now.Add(w.Expected).After(w.Work.Aim)
}

// until returns how long the work may wait to be of the use that it still can
// be.
func (w Waiting) until(now time.Time) time.Time {
	end := w.Work.Deadline
	if !w.Work.Aim.IsZero() && !w.late(now) && w.Work.Aim.Before(end) {
		end = w.Work.Aim
	}
	return end.Add(-w.Expected)
}

func (gt *Gate) expect(work Work, now time.Time) Waiting {
	return Waiting{Work: work, Since: now, Expected: gt.Usual(work.Route), Mean: gt.mean, Long: gt.isLong(work.Route)}
}

func (gt *Gate) enqueue(effects []types.Effect, waiting Waiting, until, now time.Time) []types.Effect {
	if !waiting.Long && gt.queued(false) == 0 {
		gt.contended = now
	}
	gt.queue = append(gt.queue, waiting)
	return append(effects,
		trace.Count{Counter: trace.WorkQueued},
		types.SetTimer{Timer: types.Timer{Kind: types.QueueDeadline, Work: waiting.Work.ID}, At: until},
	)
}

// queued counts the waiting works that are long or that are not.
func (gt *Gate) queued(long bool) int {
	count := 0
	for _, waiting := range gt.queue {
		if waiting.Long == long {
			count++
		}
	}
	return count
}

// drain fills free slots from the queue.
func (gt *Gate) drain(now time.Time) []types.Effect {
	var effects []types.Effect
	for len(gt.queue) > 0 && gt.free() > 0 {
		at := gt.next(now)
		if at < 0 {
			break
		}
		waiting := gt.queue[at]
		if gt.mode == shedding && !now.Before(waiting.Work.Deadline) {
			gt.remove(at)
			effects = append(effects, gt.late(waiting.Work)...)
			continue
		}
		if gt.mode == shedding && gt.discipline.Drop != nil && gt.discipline.Drop(waiting, len(gt.queue), now) {
			gt.remove(at)
			effects = append(effects, gt.refuse(waiting.Work, now, "it waited too long")...)
			continue
		}
		gt.remove(at)
		effects = gt.dispatch(effects, waiting, now)
	}
	return effects
}

// next returns the index of the lowest rank among the works that may run.
func (gt *Gate) next(now time.Time) int {
	best, lowest := -1, 0.0
	for at, waiting := range gt.queue {
		if !gt.mayRun(waiting, now) {
			continue
		}
		rank := gt.discipline.Rank(waiting, now)
		if waiting.late(now) {
			rank += latePenalty
		}
		if best < 0 || rank < lowest {
			best, lowest = at, rank
		}
	}
	return best
}

func (gt *Gate) remove(at int) {
	gt.queue = slices.Delete(gt.queue, at, at+1)
}

func (gt *Gate) drop(id types.WorkID, err *fault.Error, now time.Time) []types.Effect {
	at := slices.IndexFunc(gt.queue, func(waiting Waiting) bool { return waiting.Work.ID == id })
	if at < 0 {
		return nil
	}
	work := gt.queue[at].Work
	gt.remove(at)
	return append([]types.Effect{Refuse{Work: work, Err: err}}, gt.drain(now)...)
}
