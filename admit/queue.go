package admit

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// QueueItem is a work item with the estimates made on its arrival. It is queued
// unless it is dispatched or refused immediately.
type QueueItem struct {
	Work WorkItem
	// ArrivedAt is when the work item arrived.
	ArrivedAt time.Time
	// ExpectedDuration is how long the work is likely to run, or how long work on its
	// route usually does if its cost is not known.
	ExpectedDuration time.Duration
	// UsualDuration is how long work on its route usually runs.
	UsualDuration time.Duration
	// MeanDuration is the controller's mean duration of short work when the
	// item arrived.
	MeanDuration time.Duration
	// Long is true if work on its route usually runs much longer than other work,
	// as longFactor defines.
	Long bool
	// share is the place in the order of the teams' shares.
	share ticket
}

// missesSoftDeadline reports whether the work is expected to end after its soft
// deadline even if it starts now. Such work yields to work that can still meet
// its soft deadline.
func (w QueueItem) missesSoftDeadline(now time.Time) bool {
	return !w.Work.SoftDeadline.IsZero() && now.Add(w.ExpectedDuration).After(w.Work.SoftDeadline)
}

// latestStart returns the latest time at which the work can start and still end
// by its soft deadline, or by its deadline if the soft deadline is missed or
// not set. It is no later than the time before which the work must start.
func (w QueueItem) latestStart(now time.Time) time.Time {
	end := w.Work.Deadline
	if !w.Work.SoftDeadline.IsZero() && !w.missesSoftDeadline(now) && w.Work.SoftDeadline.Before(end) {
		end = w.Work.SoftDeadline
	}
	latest := end.Add(-w.ExpectedDuration)
	if limit := w.Work.startBy(); limit.Before(latest) {
		return limit
	}
	return latest
}

// newQueueItem returns an arriving work item with its current estimates.
func (ct *Controller) newQueueItem(work WorkItem, now time.Time) QueueItem {
	expected, usual := ct.expectedDuration(work), ct.TypicalDuration(work.Route)
	item := QueueItem{Work: work, ArrivedAt: now, ExpectedDuration: expected, UsualDuration: usual, MeanDuration: ct.meanDuration, Long: ct.isLong(work, expected)}
	item.share = ct.shareTicket(work, expected, now)
	return item
}

func (ct *Controller) enqueue(effects []types.Effect, item QueueItem, expiresAt, now time.Time) []types.Effect {
	if !item.Long && ct.level(item) >= 0 && ct.queuedWithinShare(false) == 0 {
		ct.shortQueuedSince = now
	}
	ct.takeShare(item)
	ct.queue = append(ct.queue, item)
	effects = append(effects,
		trace.Count{Counter: trace.WorkQueued},
		types.SetTimer{Timer: types.Timer{Kind: types.QueueDeadline, Work: item.Work.ID}, At: expiresAt},
	)
	return ct.startRateTimer(effects, now)
}

// queued counts the long or the short work items in the queue.
func (ct *Controller) queued(long bool) int {
	count := 0
	for _, item := range ct.queue {
		if item.Long == long {
			count++
		}
	}
	return count
}

// drain dispatches queued work to the free slots, as far as the rate limit allows. In
// shedding mode it refuses work that must not start any more or that the discipline drops.
func (ct *Controller) drain(now time.Time) []types.Effect {
	var effects []types.Effect
	for len(ct.queue) > 0 && ct.free() > 0 && ct.rate.wait(0, now) == 0 {
		ct.advanceShares(now)
		i := ct.nextIndex(now)
		if i < 0 {
			break
		}
		item := ct.queue[i]
		if ct.mode == shedding && !now.Before(item.Work.startBy()) {
			ct.dropAt(i)
			effects = append(effects, ct.refuseExpired(item.Work)...)
			continue
		}
		if ct.mode == shedding && ct.discipline.Drop != nil && ct.discipline.Drop(item, len(ct.queue), now) {
			ct.dropAt(i)
			effects = append(effects, ct.refuse(item.Work, now, "it waited too long")...)
			continue
		}
		ct.removeAt(i)
		effects = ct.dispatch(effects, item, now)
	}
	return ct.startRateTimer(effects, now)
}

// nextIndex returns the index of the queued work item that runs next, or -1 if
// none may run.
func (ct *Controller) nextIndex(now time.Time) int {
	best, lowest := -1, 0.0
	for i, item := range ct.queue {
		if !ct.mayRun(item, now) {
			continue
		}
		rank := ct.rank(item, now)
		if item.missesSoftDeadline(now) {
			rank += missedSoftDeadlinePenalty
		}
		if best < 0 || rank < lowest {
			best, lowest = i, rank
		}
	}
	return best
}

func (ct *Controller) removeAt(i int) {
	ct.queue = slices.Delete(ct.queue, i, i+1)
}

// dropAt removes a work item that does not run.
func (ct *Controller) dropAt(i int) {
	ct.settleShare(ct.queue[i].share, 0)
	ct.removeAt(i)
}

// refuseQueuedItem refuses a work item if it is in the queue, and dispatches
// queued work.
func (ct *Controller) refuseQueuedItem(id types.WorkID, err *fault.Error, now time.Time) []types.Effect {
	i := slices.IndexFunc(ct.queue, func(item QueueItem) bool { return item.Work.ID == id })
	if i < 0 {
		return nil
	}
	work := ct.queue[i].Work
	ct.dropAt(i)
	return append([]types.Effect{Refuse{Work: work, Err: err}}, ct.drain(now)...)
}
