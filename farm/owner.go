package farm

import (
	"fmt"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// owner is a controller and the upstream behind it, which queues what it has no
// slot for.
type owner struct {
	ex         *experiment
	id         types.InstanceID
	slow       bool
	leaving    bool
	controller *admit.Controller
	last       types.WorkID
	jobs       map[types.WorkID]*job
	serving    int
	backlog    []types.WorkID
	loads      []reported
}

// job is one attempt at an owner.
type job struct {
	call    *Call
	begun   time.Time
	aborted bool
}

// reported is a load and when it was true.
type reported struct {
	at   time.Time
	load route.Load
}

func newOwner(ex *experiment, at int) *owner {
	ow := &owner{ex: ex, id: types.InstanceID(fmt.Sprint(at)), slow: ex.Spells && at == 0, controller: ex.Controller()}
	ow.jobs = map[types.WorkID]*job{}
	ow.controller.SetSlots(Slots, ex.time.now)
	return ow
}

func (ow *owner) arrive(cl *Call) {
	ow.last++
	id := ow.last
	ow.jobs[id] = &job{call: cl}
	work := admit.WorkItem{ID: id, Route: cl.route, Importance: cl.Importance, Deadline: cl.Deadline}
	cl.cancel = func() {
		if _, ok := ow.jobs[id]; ok {
			ow.apply(ow.controller.Cancel(id, ow.ex.time.now))
		}
	}
	if ow.leaving {
		ow.apply([]types.Effect{admit.Refuse{Work: work, Err: errLeaving}})
		return
	}
	ow.apply(ow.controller.Submit(work, ow.ex.time.now))
}

func (ow *owner) apply(effects []types.Effect) {
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			ow.backlog = append(ow.backlog, ef.Work.ID)
			ow.serve()
		case admit.Refuse:
			ow.refuse(ef.Work.ID)
		case admit.Abort:
			ow.jobs[ef.ID].aborted = true
			ow.end(ef.ID)
		case types.SetTimer:
			id := ef.Timer.Work
			ow.ex.time.after(ef.At.Sub(ow.ex.time.now), func() { ow.apply(ow.controller.Expire(id, ow.ex.time.now)) })
		}
	}
}

// serve gives the upstream's slots to dispatched work.
func (ow *owner) serve() {
	for ow.serving < Slots && len(ow.backlog) > 0 {
		id := ow.backlog[0]
		ow.backlog = ow.backlog[1:]
		jb, ok := ow.jobs[id]
		if !ok {
			continue
		}
		ow.serving++
		jb.begun = ow.ex.time.now
		ow.ex.time.after(ow.duration(jb.call), func() { ow.end(id) })
	}
}

func (ow *owner) duration(cl *Call) time.Duration {
	if ow.slow && ow.ex.time.now.Sub(ow.ex.start)%slowPeriod > slowPeriod-slowSpell {
		cl.Slowed = true
		return slowFactor * cl.work
	}
	return cl.work
}

// end takes a work off the upstream and answers its call.
func (ow *owner) end(id types.WorkID) {
	jb, ok := ow.jobs[id]
	if !ok {
		return
	}
	delete(ow.jobs, id)
	now := ow.ex.time.now
	if !jb.begun.IsZero() {
		ow.serving--
	}
	if !jb.aborted {
		jb.call.Ended = now
	}
	elapsed := time.Duration(0)
	if !jb.begun.IsZero() {
		elapsed = now.Sub(jb.begun)
	}
	ow.apply(ow.controller.Finish(id, elapsed, now))
	ow.serve()
	sample := ow.sample(jb.call)
	sample.Canceled = jb.aborted
	jb.call.balancer.AttemptEnded(sample, now)
}

// refuse lets the entry of a work try another upstream while time is left.
func (ow *owner) refuse(id types.WorkID) {
	cl := ow.jobs[id].call
	delete(ow.jobs, id)
	sample := ow.sample(cl)
	sample.Refused = true
	cl.balancer.AttemptEnded(sample, ow.ex.time.now)
	cl.left = without(cl.left, ow.id)
	if ow.ex.time.now.Before(cl.Deadline) {
		ow.ex.attempt(cl)
	}
}

func without(candidates []route.Candidate, id types.InstanceID) []route.Candidate {
	var left []route.Candidate
	for _, candidate := range candidates {
		if candidate.ID != id {
			left = append(left, candidate)
		}
	}
	return left
}

func (ow *owner) sample(cl *Call) route.Sample {
	return route.Sample{ID: ow.id, Route: cl.route, Elapsed: ow.ex.time.now.Sub(cl.began), Load: ow.report()}
}

// report returns the load as it was the time of lateness ago.
func (ow *owner) report() route.Load {
	now := ow.ex.time.now
	ow.loads = append(ow.loads, reported{at: now, load: route.Load{Outstanding: ow.controller.Running(), Queued: ow.controller.Queued()}})
	for len(ow.loads) > 1 && !ow.loads[1].at.After(now.Add(-ow.ex.Late)) {
		ow.loads = ow.loads[1:]
	}
	return ow.loads[0].load
}
