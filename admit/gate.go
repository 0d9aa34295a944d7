package admit

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

// defaultQueueSize is the default limit of each queue class, long and short.
const defaultQueueSize = 20

// mode selects how much admission control a gate applies.
type mode int

const (
	// shedding bounds the queue and refuses work that is expected to end too
	// late.
	shedding mode = iota
	// unbounded queues work without a limit and refuses none.
	unbounded
	// ungated dispatches all work at once, whether or not a slot is free.
	ungated
)

// Gate is the admission controller of one upstream. It holds the running work
// items and the queue. It is not safe for concurrent use.
type Gate struct {
	mode       mode
	discipline Discipline
	slots      int
	queueMax   int
	running    map[types.WorkID]*activeWork
	queue      []Waiting
	rng        *rand.Rand
	durations  *stat.Durations
	// meanDuration is the moving average of how long short work runs. Samples
	// are capped, so that stragglers hardly raise it.
	meanDuration time.Duration
	// shortQueuedSince is when short work last joined a queue that held no other
	// short work.
	shortQueuedSince time.Time
	// lastShortArrival is when short work last arrived.
	lastShortArrival time.Time
	// pendingRetries estimates how many refused work items will be retried and
	// need a slot then.
	pendingRetries retryBacklog
	link           link
}

// activeWork is a work item that was dispatched to the upstream and has not
// ended.
type activeWork struct {
	work      Work
	startedAt time.Time
	expected  time.Duration
	long      bool
	aborted   bool
}

// Option changes a setting of a gate.
type Option func(*Gate)

// WithQueue sets the limit of the queue. It applies separately to long work and
// to short work.
func WithQueue(size int) Option {
	return func(gt *Gate) { gt.queueMax = size }
}

// WithDiscipline sets the order of the queue.
func WithDiscipline(discipline Discipline) Option {
	return func(gt *Gate) { gt.discipline = discipline }
}

// WithSeed sets the seed of the jitter of Retry-After times.
func WithSeed(seed uint64) Option {
	return func(gt *Gate) { gt.rng = rand.New(rand.NewPCG(seed, ^seed)) }
}

// WithoutShedding queues all work that finds no free slot, without a limit, and
// runs it in the order of arrival.
func WithoutShedding() Option {
	return func(gt *Gate) { gt.mode, gt.discipline = unbounded, FIFO() }
}

// WithoutAdmission dispatches all work to the upstream at once, without a queue.
func WithoutAdmission() Option {
	return func(gt *Gate) { gt.mode = ungated }
}

// NewGate returns a gate with no slots. Call SetSlots before it can dispatch
// work.
func NewGate(opts ...Option) *Gate {
	gt := &Gate{
		discipline:   ShortestFirst(),
		queueMax:     defaultQueueSize,
		running:      map[types.WorkID]*activeWork{},
		rng:          rand.New(rand.NewPCG(0, 0)),
		durations:    stat.NewDurations(),
		meanDuration: defaultDuration,
	}
	for _, opt := range opts {
		opt(gt)
	}
	return gt
}

// SetSlots sets how many work items may run at once and dispatches queued work
// to the free slots. Lowering the number does not cancel running work.
func (gt *Gate) SetSlots(slots int, now time.Time) []types.Effect {
	gt.slots = slots
	return gt.drain(now)
}

// Running returns the number of work items that run at the upstream.
func (gt *Gate) Running() int { return len(gt.running) }

// Queued returns the number of work items in the queue.
func (gt *Gate) Queued() int { return len(gt.queue) }

// Arrive dispatches, queues or refuses a new work item.
func (gt *Gate) Arrive(work Work, now time.Time) []types.Effect {
	if gt.mode == shedding && !now.Before(work.Deadline) {
		return gt.refuseExpired(work)
	}
	waiting := gt.newWaiting(work, now)
	if !waiting.Long {
		gt.lastShortArrival = now
	}
	if refused := gt.refuseByLink(waiting, now); refused != nil {
		return refused
	}
	if gt.mode == ungated || gt.free() > 0 && gt.mayRun(waiting, now) {
		return gt.dispatch(nil, waiting, now)
	}
	if gt.mode == unbounded {
		return gt.enqueue(nil, waiting, work.Deadline, now)
	}
	effects, err := gt.admitToQueue(waiting, now)
	if err != nil {
		return append(effects, trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: err})
	}
	return gt.enqueue(effects, waiting, waiting.latestStart(now), now)
}

// End frees the slot of a work item that ended and dispatches queued work. An
// aborted work item holds its slot until End is called, since the upstream may
// still run it.
func (gt *Gate) End(id types.WorkID, elapsed time.Duration, now time.Time) []types.Effect {
	ended, ok := gt.running[id]
	if !ok {
		return nil
	}
	delete(gt.running, id)
	if !ended.aborted || elapsed > ended.expected {
		gt.recordDuration(ended, elapsed, now)
	}
	return gt.drain(now)
}

// Sized records the size in bytes of a running work item's answer. Call it
// before End.
func (gt *Gate) Sized(id types.WorkID, size int) {
	if active, ok := gt.running[id]; ok {
		gt.link.observe(active.work.Route, size)
	}
}

// Aborted reports whether a running work item was aborted.
func (gt *Gate) Aborted(id types.WorkID) bool {
	active, ok := gt.running[id]
	return ok && active.aborted
}

// Withdraw cancels a work item that the caller no longer waits for. A queued item
// is refused, and a running one is aborted.
func (gt *Gate) Withdraw(id types.WorkID, now time.Time) []types.Effect {
	if active, ok := gt.running[id]; ok {
		if active.aborted {
			return nil
		}
		active.aborted = true
		return []types.Effect{Abort{ID: id}}
	}
	return gt.refuseQueued(id, fault.New(fault.Canceled, "the caller no longer waits").WithOutcome(fault.NotRun), now)
}

// Expire refuses a work item that is still queued when its queue timer fires.
func (gt *Gate) Expire(id types.WorkID, now time.Time) []types.Effect {
	err := fault.New(fault.Overloaded, "the deadline came while waiting for a slot")
	return gt.refuseQueued(id, err.WithRetryAfter(gt.RetryAfter(now)), now)
}

// Clear refuses all queued work with an error.
func (gt *Gate) Clear(err *fault.Error) []types.Effect {
	var effects []types.Effect
	for _, waiting := range gt.queue {
		effects = append(effects, Refuse{Work: waiting.Work, Err: err})
	}
	gt.queue = nil
	return effects
}

// Usual returns how long work on a route usually runs. For a route without
// observations it falls back to the average over all routes, then to a default.
func (gt *Gate) Usual(route types.RouteName) time.Duration {
	if usual, ok := gt.durations.Usual(route); ok {
		return usual
	}
	if usual, ok := gt.durations.Overall(); ok {
		return usual
	}
	return defaultDuration
}

func (gt *Gate) free() int { return gt.slots - len(gt.running) }

func (gt *Gate) dispatch(effects []types.Effect, waiting Waiting, now time.Time) []types.Effect {
	gt.running[waiting.Work.ID] = &activeWork{work: waiting.Work, startedAt: now, expected: waiting.Expected, long: waiting.Long}
	return append(effects, trace.Count{Counter: trace.WorkDispatched}, Dispatch{Work: waiting.Work})
}
