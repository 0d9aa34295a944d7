package admit

import (
	"math"
	"time"

	"sequoiamill.example/sequoiamill/conf"
)

// WithoutShares orders the work of teams as if it were of none.
func WithoutShares() Option {
	return func(ct *Controller) { ct.withoutShares = true }
}

// shareTicket returns the ticket of arriving work. As long as no work of a team came,
// there are no shares. Work without a team shares with nobody: it is the rest of work that
// upstreams have begun.
func (ct *Controller) shareTicket(work WorkItem, expected time.Duration, now time.Time) ticket {
	if work.Team == "" || ct.mode != shedding || ct.withoutShares {
		return ticket{}
	}
	if ct.shares == nil {
		ct.shares = newShares(now)
	}
	return ct.shares.arrive(work.Team, expected, ct.slots, now)
}

// takeShare charges the team for a work item that runs or joins the queue. What runs
// while no other work waits is nobody else's.
func (ct *Controller) takeShare(item QueueItem) {
	if ct.shares == nil {
		return
	}
	ct.shares.take(item.share)
	if len(ct.queue) == 0 && ct.free() > 0 {
		ct.shares.reach(item.share.start)
	}
}

// settleShare corrects what the team was charged by how long the work ran, 0 for work
// that didn't.
func (ct *Controller) settleShare(tk ticket, used time.Duration) {
	if ct.shares != nil {
		ct.shares.correct(tk, used)
	}
}

// advanceShares moves the virtual time on to the waiting work that is least ahead.
func (ct *Controller) advanceShares(now time.Time) {
	if ct.shares == nil || len(ct.queue) == 0 {
		return
	}
	ct.shares.advance(now)
	least := math.Inf(1)
	for _, item := range ct.queue {
		if item.share.team != nil {
			least = min(least, item.share.start)
		}
	}
	if !math.IsInf(least, 1) {
		ct.shares.reach(least)
	}
}

// level returns the importance with which a work item counts.
func (ct *Controller) level(item QueueItem) conf.Importance {
	if ct.shares == nil {
		return item.Work.Importance
	}
	return ct.shares.level(item.share, item.Work.Importance)
}

// rank returns the rank of a work item; the lowest rank runs next. Work that is ahead of
// its team's share waits as much longer, within a level of importance unless its team is
// in a surge.
func (ct *Controller) rank(item QueueItem, now time.Time) float64 {
	if ct.shares == nil {
		return ct.discipline.Rank(item, now)
	}
	ahead := ct.shares.ahead(item.share)
	item.Work.Importance = ct.level(item)
	if item.Work.Importance >= 0 {
		ahead = min(ahead, (importanceBonus * item.MeanDuration).Seconds())
	} else {
		ahead += surplusPenalty
	}
	return ct.discipline.Rank(item, now) + ahead
}

// aheadOf reports whether a queued work item gives way to another of the same level,
// since its team is further ahead of its share.
func (ct *Controller) aheadOf(queued, item QueueItem) bool {
	if ct.shares == nil || queued.share.team == item.share.team {
		return false
	}
	return ct.shares.ahead(queued.share) > ct.shares.ahead(item.share)+item.MeanDuration.Seconds()
}

// queuedWithinShare counts the long or the short work items in the queue without those
// of teams in a surge.
func (ct *Controller) queuedWithinShare(long bool) int {
	count := 0
	for _, item := range ct.queue {
		if item.Long == long && ct.level(item) >= 0 {
			count++
		}
	}
	return count
}

// full reports whether there is no room for a work item in the queue. What teams in a
// surge have waiting takes no room from others, who evict it.
func (ct *Controller) full(item QueueItem, now time.Time) bool {
	limit := ct.queueLimit(item, now)
	if ct.level(item) < 0 {
		return ct.queued(item.Long) >= limit
	}
	return ct.queuedWithinShare(item.Long) >= limit || ct.queued(item.Long) >= ct.queueMax
}

// surplusWait estimates how long work of a team in a surge waits behind that of its team,
// which gets what others leave. It is 0 for other work.
func (ct *Controller) surplusWait(item QueueItem) time.Duration {
	if ct.level(item) >= 0 {
		return 0
	}
	waiting := item.share.cost
	for _, queued := range ct.queue {
		if queued.share.team == item.share.team && queued.Long == item.Long {
			waiting += queued.share.cost
		}
	}
	slots := max(item.share.team.given.given.sum/givenPeriod.Seconds(), guaranteedPart*item.share.rate)
	return time.Duration(waiting / slots * float64(time.Second))
}

// beyondShare reports whether a work item waits because of its team's share.
func (ct *Controller) beyondShare(item QueueItem) bool {
	return ct.level(item) < 0 || ct.shares != nil && ct.shares.ahead(item.share) > 0
}

// fullReason says why there is no room for a work item in the queue.
func (ct *Controller) fullReason(item QueueItem) string {
	if ct.beyondShare(item) {
		return "team " + string(item.Work.Team) + " has more work waiting than its share"
	}
	return "the queue is full"
}

// evictReason says why queued work gives way to arriving work.
func (ct *Controller) evictReason(queued QueueItem) string {
	if ct.beyondShare(queued) {
		return "team " + string(queued.Work.Team) + " has more work waiting than its share, and work of another team came"
	}
	return "more important work came"
}
