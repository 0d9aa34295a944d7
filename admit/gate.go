package admit

import (
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/trace"
	"sequoiamill.example/sequoiamill/types"
)

const (
	defaultQueue    = 20
	defaultDuration = 10 * time.Millisecond
	durationWeight  = 0.1
	minimumWait     = 50 * time.Millisecond
	maximumWait     = 5 * time.Second
)

// Gate admits work to one upstream.
type Gate struct {
	slots    int
	queueMax int
	running  map[types.WorkID]Work
	queue    []Work
	// usual is the moving average of how long work runs.
	usual time.Duration
}

// Option changes a setting of a gate.
type Option func(*Gate)

// WithQueue sets the greatest number of waiting works.
func WithQueue(size int) Option {
	return func(gt *Gate) { gt.queueMax = size }
}

// NewGate returns a gate without slots.
func NewGate(opts ...Option) *Gate {
	gt := &Gate{queueMax: defaultQueue, running: map[types.WorkID]Work{}, usual: defaultDuration}
	for _, opt := range opts {
		opt(gt)
	}
	return gt
}

// SetSlots sets how many works may run at once and fills new slots.
func (gt *Gate) SetSlots(slots int) []types.Effect {
	gt.slots = slots
	return gt.drain()
}

// Running returns the number of works at the upstream.
func (gt *Gate) Running() int { return len(gt.running) }

// Queued returns the number of waiting works.
func (gt *Gate) Queued() int { return len(gt.queue) }

// Arrive runs, queues or refuses a work.
func (gt *Gate) Arrive(work Work, now time.Time) []types.Effect {
	if len(gt.running) < gt.slots && len(gt.queue) == 0 {
		return gt.dispatch(work)
	}
	wait := gt.wait(len(gt.queue) + 1)
	if len(gt.queue) >= gt.queueMax || now.Add(wait+gt.usual).After(work.Deadline) {
		return gt.shed(work, wait)
	}
	gt.queue = append(gt.queue, work)
	return []types.Effect{
		trace.Count{Counter: trace.WorkQueued},
		types.SetTimer{Timer: types.Timer{Kind: types.QueueDeadline, Work: work.ID}, At: work.Deadline.Add(-gt.usual)},
	}
}

// End frees the slot of a work and runs the next one.
func (gt *Gate) End(id types.WorkID, elapsed time.Duration) []types.Effect {
	if _, ok := gt.running[id]; !ok {
		return nil
	}
	delete(gt.running, id)
	gt.usual += time.Duration(durationWeight * float64(elapsed-gt.usual))
	return gt.drain()
}

// Withdraw removes a work that is no longer wanted.
func (gt *Gate) Withdraw(id types.WorkID) []types.Effect {
	if _, ok := gt.running[id]; ok {
		return []types.Effect{Abort{ID: id}}
	}
	return gt.drop(id, fault.New(fault.Canceled, "the caller no longer waits").WithOutcome(fault.NotRun))
}

// Expire refuses a work that still waits when its time has run out.
func (gt *Gate) Expire(id types.WorkID) []types.Effect {
	err := fault.New(fault.Overloaded, "the deadline came while waiting for a slot").WithRetryAfter(gt.RetryAfter())
	return gt.drop(id, err)
}

// Clear refuses all waiting works.
func (gt *Gate) Clear(err *fault.Error) []types.Effect {
	var effects []types.Effect
	for _, work := range gt.queue {
		effects = append(effects, Refuse{Work: work, Err: err})
	}
	gt.queue = nil
	return effects
}

// RetryAfter returns the time until the present queue has drained.
func (gt *Gate) RetryAfter() time.Duration {
	return min(max(gt.wait(len(gt.queue)), minimumWait), maximumWait)
}

func (gt *Gate) wait(position int) time.Duration {
	return gt.usual * time.Duration(position) / time.Duration(max(gt.slots, 1))
}

func (gt *Gate) shed(work Work, wait time.Duration) []types.Effect {
	err := fault.New(fault.Overloaded, "the estimated wait is %s with %d works ahead", wait, len(gt.queue)).
		WithRetryAfter(gt.RetryAfter())
	return []types.Effect{trace.Count{Counter: trace.WorkShed}, Refuse{Work: work, Err: err}}
}

func (gt *Gate) dispatch(work Work) []types.Effect {
	gt.running[work.ID] = work
	return []types.Effect{trace.Count{Counter: trace.WorkDispatched}, Dispatch{Work: work}}
}

func (gt *Gate) drain() []types.Effect {
	var effects []types.Effect
	for len(gt.queue) > 0 && len(gt.running) < gt.slots {
		next := gt.queue[0]
		gt.queue = gt.queue[1:]
		effects = append(effects, gt.dispatch(next)...)
	}
	return effects
}

func (gt *Gate) drop(id types.WorkID, err *fault.Error) []types.Effect {
	at := slices.IndexFunc(gt.queue, func(work Work) bool { return work.ID == id })
	if at < 0 {
		return nil
	}
	work := gt.queue[at]
	gt.queue = slices.Delete(gt.queue, at, at+1)
	return []types.Effect{Refuse{Work: work, Err: err}}
}
