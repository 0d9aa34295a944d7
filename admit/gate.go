package admit

import (
	"math/rand/v2"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const defaultQueue = 20

// mode tells which works a gate holds back.
type mode int

const (
	// shedding bounds the queue and refuses work that would end too late.
	shedding mode = iota
	// unbounded queues all work.
	unbounded
	// ungated dispatches all work at once.
	ungated
)

// Gate admits work to one upstream.
type Gate struct {
	mode       mode
	discipline Discipline
	slots      int
	queueMax   int
	running    map[types.WorkID]*run
	queue      []Waiting
	source     *rand.Rand
	durations  *stat.Durations
	// mean is the moving average of how long work runs, without stragglers.
	mean time.Duration
	// contended is since when works that are not long have waited without a
	// break.
	contended time.Time
	// shortSeen is when work that is not long arrived last.
	shortSeen time.Time
	// returning are the refused works that are to come back for a slot.
	returning returns
	link      link
}

// run is a work at the upstream.
type run struct {
	work     Work
	began    time.Time
	expected time.Duration
	long     bool
	aborted  bool
}

// Option changes a setting of a gate.
type Option func(*Gate)

// WithQueue sets the greatest number of waiting works, for long work and for
// all other work.
func WithQueue(size int) Option {
	return func(gt *Gate) { gt.queueMax = size }
}

// WithDiscipline sets the order of the queue.
func WithDiscipline(discipline Discipline) Option {
	return func(gt *Gate) { gt.discipline = discipline }
}

// WithSeed sets the seed of the random numbers that spread retries.
func WithSeed(seed uint64) Option {
	return func(gt *Gate) { gt.source = rand.New(rand.NewPCG(seed, ^seed)) }
}

// WithoutShedding queues all work in the order of arrival.
func WithoutShedding() Option {
	return func(gt *Gate) { gt.mode, gt.discipline = unbounded, FIFO() }
}

// WithoutAdmission sends all work to the upstream at once.
func WithoutAdmission() Option {
	return func(gt *Gate) { gt.mode = ungated }
}

// NewGate returns a gate without slots.
func NewGate(opts ...Option) *Gate {
	gt := &Gate{
		discipline: ShortestFirst(),
		queueMax:   defaultQueue,
		running:    map[types.WorkID]*run{},
		source:     rand.New(rand.NewPCG(0, 0)),
		durations:  stat.NewDurations(),
		mean:       defaultDuration,
	}
	for _, opt := range opts {
		opt(gt)
	}
	return gt
}

// SetSlots sets how many works may run at once and fills free slots. Running
// works are not cut when there are fewer slots than before.
func (gt *Gate) SetSlots(slots int, now time.Time) []types.Effect {
	gt.slots = slots
	return gt.drain(now)
}

// Running returns the number of works at the upstream.
func (gt *Gate) Running() int { return len(gt.running) }

// Queued returns the number of waiting works.
func (gt *Gate) Queued() int { return len(gt.queue) }

// Arrive runs, queues or refuses a work.
func (gt *Gate) Arrive(work Work, now time.Time) []types.Effect {
	if gt.mode == shedding && !now.Before(work.Deadline) {
		return gt.late(work)
	}
	waiting := gt.expect(work, now)
	if !waiting.Long {
		gt.shortSeen = now
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
	effects, err := gt.makeRoom(waiting, now)
	if err != nil {
		return append(effects, trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: err})
	}
	return gt.enqueue(effects, waiting, waiting.until(now), now)
}

// End frees the slot of a work and runs the next one. The work of an aborted
// request holds its slot until here, since the upstream may still run it.
func (gt *Gate) End(id types.WorkID, elapsed time.Duration, now time.Time) []types.Effect {
	ended, ok := gt.running[id]
	if !ok {
		return nil
	}
	delete(gt.running, id)
	if !ended.aborted || elapsed > ended.expected {
		gt.learn(ended, elapsed, now)
	}
	return gt.drain(now)
}

// Sized notes the size in bytes of the answer of a work that is about to end.
func (gt *Gate) Sized(id types.WorkID, size int) {
	if known, ok := gt.running[id]; ok {
		gt.link.observe(known.work.Route, size)
	}
}

// Aborted reports whether a work at the upstream is no longer wanted.
func (gt *Gate) Aborted(id types.WorkID) bool {
	known, ok := gt.running[id]
	return ok && known.aborted
}

// Withdraw removes a work that is no longer wanted.
func (gt *Gate) Withdraw(id types.WorkID, now time.Time) []types.Effect {
	if known, ok := gt.running[id]; ok {
		if known.aborted {
			return nil
		}
		known.aborted = true
		return []types.Effect{Abort{ID: id}}
	}
	return gt.drop(id, fault.New(fault.Canceled, "the caller no longer waits").WithOutcome(fault.NotRun), now)
}

// Expire refuses a work that still waits when its time has run out.
func (gt *Gate) Expire(id types.WorkID, now time.Time) []types.Effect {
	err := fault.New(fault.Overloaded, "the deadline came while waiting for a slot")
	return gt.drop(id, err.WithRetryAfter(gt.RetryAfter(now)), now)
}

// Clear refuses all waiting works.
func (gt *Gate) Clear(err *fault.Error) []types.Effect {
	var effects []types.Effect
	for _, waiting := range gt.queue {
		effects = append(effects, Refuse{Work: waiting.Work, Err: err})
	}
	gt.queue = nil
	return effects
}

// Usual returns how long work on a route usually runs.
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
	gt.running[waiting.Work.ID] = &run{work: waiting.Work, began: now, expected: waiting.Expected, long: waiting.Long}
	return append(effects, trace.Count{Counter: trace.WorkDispatched}, Dispatch{Work: waiting.Work})
}
