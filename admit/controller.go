package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// defaultQueueSize is the default limit of each queue class, long and short.
const defaultQueueSize = 20

// mode selects how much admission control the controller applies.
type mode int

const (
	// shedding bounds the queue and refuses work that is expected to end too
	// late.
	shedding mode = iota
	// unbounded queues work without a limit and refuses none.
	unbounded
	// passThrough dispatches all work immediately, whether or not a slot is free.
	passThrough
)

// Controller controls admission to one upstream. It holds the running work
// items and the queue. It is not safe for concurrent use.
type Controller struct {
	mode       mode
	discipline Discipline
	slots      int
	queueMax   int
	running    map[types.WorkID]*runningItem
	queue      []QueueItem
	rng        *rand.Rand
	durations  *stat.Durations
	// meanDuration is the moving average of how long short work runs. Samples
	// are capped, so that stragglers hardly raise it.
	meanDuration time.Duration
	// shortQueuedSince is when short work last joined a queue that held no other
	// short work. Short work has been queued without a break since then, if any
	// is queued now.
	shortQueuedSince time.Time
	// lastShortArrival is when short work last arrived.
	lastShortArrival time.Time
	// pendingRetries estimates how many refused work items will be retried and
	// compete for the slots again.
	pendingRetries retryBacklog
	link           link
	rate           rateLimit
	paces          paces
	// shares divides the slots between teams. It is nil as long as no team sent work.
	shares        *shares
	withoutShares bool
}

// runningItem is a work item that was dispatched to the upstream and has not
// ended. Its expected duration and its class, long or short, are those that were
// estimated on arrival.
type runningItem struct {
	work      WorkItem
	startedAt time.Time
	expected  time.Duration
	long      bool
	aborted   bool
	share     ticket
}

// Option changes a setting of a Controller.
type Option func(*Controller)

// WithQueue sets the maximum number of queued work items. The limit applies
// separately to long work and to short work.
func WithQueue(size int) Option {
	return func(ct *Controller) { ct.queueMax = size }
}

// WithDiscipline sets the order of the queue.
func WithDiscipline(discipline Discipline) Option {
	return func(ct *Controller) { ct.discipline = discipline }
}

// WithSeed sets the seed of the jitter of Retry-After times.
func WithSeed(seed uint64) Option {
	return func(ct *Controller) { ct.rng = rand.New(rand.NewPCG(seed, ^seed)) }
}

// WithoutShedding queues all work that finds no free slot, without a limit, and
// runs it in the order of arrival.
func WithoutShedding() Option {
	return func(ct *Controller) { ct.mode, ct.discipline = unbounded, FIFO() }
}

// WithoutAdmission dispatches all work to the upstream immediately, without a queue.
func WithoutAdmission() Option {
	return func(ct *Controller) { ct.mode = passThrough }
}

// NewController returns a controller with no slots. Call SetSlots before it can
// dispatch work.
func NewController(opts ...Option) *Controller {
	ct := &Controller{
		discipline:   ShortestFirst(),
		queueMax:     defaultQueueSize,
		running:      map[types.WorkID]*runningItem{},
		rng:          rand.New(rand.NewPCG(0, 0)),
		durations:    stat.NewDurations(),
		meanDuration: defaultDuration,
		paces:        newPaces(),
	}
	for _, opt := range opts {
		opt(ct)
	}
	return ct
}

// SetSlots sets how many work items may run concurrently and dispatches queued
// work to the free slots. Lowering the number does not cancel running work.
func (ct *Controller) SetSlots(slots int, now time.Time) []types.Effect {
	ct.slots = slots
	return ct.drain(now)
}

// Running returns the number of work items that run at the upstream.
func (ct *Controller) Running() int { return len(ct.running) }

// Queued returns the number of work items in the queue.
func (ct *Controller) Queued() int { return len(ct.queue) }

// Submit dispatches, queues or refuses a new work item.
func (ct *Controller) Submit(work WorkItem, now time.Time) []types.Effect {
	if ct.mode == shedding && !now.Before(work.startBy()) {
		return ct.refuseExpired(work)
	}
	item := ct.newQueueItem(work, now)
	if !item.Long {
		ct.lastShortArrival = now
	}
	if refused := ct.refuseByLink(item, now); refused != nil {
		return refused
	}
	if ct.mode == passThrough || ct.free() > 0 && ct.mayRun(item, now) && ct.rateAllows(now) {
		ct.takeShare(item)
		return ct.dispatch(nil, item, now)
	}
	if ct.mode == unbounded {
		return ct.enqueue(nil, item, work.startBy(), now)
	}
	effects, err := ct.admitToQueue(item, now)
	if err != nil {
		return append(effects, trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: err})
	}
	return ct.enqueue(effects, item, item.latestStart(now), now)
}

// Finish frees the slot of a work item that ended and dispatches queued work. An
// aborted work item holds its slot until Finish is called, since the upstream may
// still run it.
func (ct *Controller) Finish(id types.WorkID, elapsed time.Duration, now time.Time) []types.Effect {
	ended, ok := ct.running[id]
	if !ok {
		return nil
	}
	delete(ct.running, id)
	ct.settleShare(ended.share, elapsed)
	if !ended.aborted || elapsed > ended.expected {
		ct.recordDuration(ended, elapsed, now)
	}
	return ct.drain(now)
}

// RecordAnswerSize records the size in bytes of a running work item's answer.
// Call it before Finish.
func (ct *Controller) RecordAnswerSize(id types.WorkID, size int) {
	if active, ok := ct.running[id]; ok {
		ct.link.observe(active.work.Route, size)
	}
}

// RunningSince returns a running work item and when it was dispatched, or false if no
// such item runs.
func (ct *Controller) RunningSince(id types.WorkID) (WorkItem, time.Time, bool) {
	active, ok := ct.running[id]
	if !ok {
		return WorkItem{}, time.Time{}, false
	}
	return active.work, active.startedAt, true
}

// Aborted reports whether a running work item was aborted.
func (ct *Controller) Aborted(id types.WorkID) bool {
	active, ok := ct.running[id]
	return ok && active.aborted
}

// Cancel cancels a work item that the caller no longer waits for. A queued item
// is refused, and a running one is aborted.
func (ct *Controller) Cancel(id types.WorkID, now time.Time) []types.Effect {
	if active, ok := ct.running[id]; ok {
		if active.aborted {
			return nil
		}
		active.aborted = true
		return []types.Effect{Abort{ID: id}}
	}
	return ct.refuseQueuedItem(id, fault.New(fault.Canceled, "the caller no longer waits").WithOutcome(fault.NotRun), now)
}

// Expire refuses a work item that is still queued when its queue timer fires.
func (ct *Controller) Expire(id types.WorkID, now time.Time) []types.Effect {
	err := fault.New(fault.Overloaded, "the deadline came while waiting for a slot")
	return ct.refuseQueuedItem(id, err.WithRetryAfter(ct.RetryAfter(now)), now)
}

// RefuseQueued refuses all queued work with an error.
func (ct *Controller) RefuseQueued(err *fault.Error) []types.Effect {
	return ct.RefuseMatching(func(WorkItem) bool { return true }, err)
}

// RefuseMatching refuses the queued work for which match returns true.
func (ct *Controller) RefuseMatching(match func(WorkItem) bool, err *fault.Error) []types.Effect {
	var effects []types.Effect
	var kept []QueueItem
	for _, item := range ct.queue {
		if match(item.Work) {
			ct.settleShare(item.share, 0)
			effects = append(effects, Refuse{Work: item.Work, Err: err})
		} else {
			kept = append(kept, item)
		}
	}
	ct.queue = kept
	return effects
}

// Contains reports whether match returns true for any running or queued work item.
func (ct *Controller) Contains(match func(WorkItem) bool) bool {
	for _, active := range ct.running {
		if match(active.work) {
			return true
		}
	}
	return slices.ContainsFunc(ct.queue, func(item QueueItem) bool { return match(item.Work) })
}

// TypicalDuration returns how long work on a route usually runs. For a route
// without observations it falls back to the average over all routes, then to a
// default.
func (ct *Controller) TypicalDuration(route types.RouteName) time.Duration {
	if typical, ok := ct.durations.Typical(route); ok {
		return typical
	}
	if typical, ok := ct.durations.Overall(); ok {
		return typical
	}
	return defaultDuration
}

// rateAllows reports whether the rate limit lets arriving work be dispatched at once.
// Work that already waits for the limit goes first.
func (ct *Controller) rateAllows(now time.Time) bool {
	return !ct.rate.limited() || len(ct.queue) == 0 && ct.rate.wait(0, now) == 0
}

func (ct *Controller) free() int { return ct.slots - len(ct.running) }

func (ct *Controller) dispatch(effects []types.Effect, item QueueItem, now time.Time) []types.Effect {
	ct.rate.take(now)
	item.Work.Lasting = ct.LastingDuration(item.Work.Route)
	ct.running[item.Work.ID] = &runningItem{work: item.Work, startedAt: now, expected: item.ExpectedDuration, long: item.Long, share: item.share}
	return append(effects, trace.Count{Counter: trace.WorkDispatched}, Dispatch{Work: item.Work})
}
