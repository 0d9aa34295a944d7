package farm

import (
	"fmt"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// owner simulates an owner node with its admission controller, and the upstream of
// that node. The upstream keeps dispatched work items in a backlog while all its
// slots are occupied.
type owner struct {
	ex *experiment
	id types.InstanceID
	// slowSpells is true if the upstream has slow spells.
	slowSpells bool
	// leaving is true if the owner refuses all new work items.
	leaving    bool
	controller *admit.Controller
	// lastID is the identifier of the newest work item.
	lastID types.WorkID
	jobs   map[types.WorkID]*job
	// running is the number of occupied slots of the upstream.
	running int
	// backlog holds dispatched work items that wait for a slot of the upstream.
	backlog []types.WorkID
	// loads holds the measured loads, oldest first.
	loads []timedLoad
}

// job is a work item of an owner: one attempt of a call.
type job struct {
	call *Call
	// started is when the upstream started to run the job; zero means that it has not
	// started.
	started time.Time
	// aborted is true if the controller aborted the job.
	aborted bool
}

// timedLoad is a load and the time at which it was measured.
type timedLoad struct {
	at   time.Time
	load route.Load
}

func newOwner(ex *experiment, index int) *owner {
	ow := &owner{ex: ex, id: types.InstanceID(fmt.Sprint(index)), slowSpells: ex.SlowSpells && index == 0, controller: ex.Controller()}
	ow.jobs = map[types.WorkID]*job{}
	ow.controller.SetSlots(Slots, ex.clock.now)
	return ow
}

// submit passes a new attempt of the call to the admission controller.
func (ow *owner) submit(cl *Call) {
	ow.lastID++
	id := ow.lastID
	ow.jobs[id] = &job{call: cl}
	work := admit.WorkItem{ID: id, Route: cl.route, Importance: cl.Importance, Deadline: cl.Deadline, Team: cl.Team}
	if ow.ex.HideTeams {
		work.Team = ""
	}
	cl.cancel = func() {
		if _, ok := ow.jobs[id]; ok {
			ow.apply(ow.controller.Cancel(id, ow.ex.clock.now))
		}
	}
	if ow.leaving {
		ow.apply([]types.Effect{admit.Refuse{Work: work, Err: errLeaving}})
		return
	}
	ow.apply(ow.controller.Submit(work, ow.ex.clock.now))
}

// apply carries out the effects that the admission controller returned.
func (ow *owner) apply(effects []types.Effect) {
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			ow.backlog = append(ow.backlog, ef.Work.ID)
			ow.runBacklog()
		case admit.Refuse:
			ow.handleRefusal(ef.Work.ID)
		case admit.Abort:
			ow.jobs[ef.ID].aborted = true
			ow.finish(ef.ID)
		case types.SetTimer:
			id := ef.Timer.Work
			ow.ex.clock.after(ef.At.Sub(ow.ex.clock.now), func() { ow.apply(ow.controller.Expire(id, ow.ex.clock.now)) })
		}
	}
}

// runBacklog starts dispatched work items in the free slots of the upstream.
func (ow *owner) runBacklog() {
	for ow.running < Slots && len(ow.backlog) > 0 {
		id := ow.backlog[0]
		ow.backlog = ow.backlog[1:]
		jb, ok := ow.jobs[id]
		if !ok {
			continue
		}
		ow.running++
		jb.started = ow.ex.clock.now
		ow.ex.clock.after(ow.runDuration(jb.call), func() { ow.finish(id) })
	}
}

// runDuration returns how long the upstream runs the call's work item if it starts
// now, and marks the call as slowed if the upstream is in a slow spell.
func (ow *owner) runDuration(cl *Call) time.Duration {
	if ow.slowSpells && ow.ex.clock.now.Sub(ow.ex.start)%slowPeriod > slowPeriod-slowSpell {
		cl.Slowed = true
		return slowFactor * cl.work
	}
	return cl.work
}

// finish removes a finished or aborted work item from the upstream. It completes
// the call unless the work item was aborted.
func (ow *owner) finish(id types.WorkID) {
	jb, ok := ow.jobs[id]
	if !ok {
		return
	}
	delete(ow.jobs, id)
	now := ow.ex.clock.now
	if !jb.started.IsZero() {
		ow.running--
	}
	if !jb.aborted {
		jb.call.CompletedAt = now
	}
	elapsed := time.Duration(0)
	if !jb.started.IsZero() {
		elapsed = now.Sub(jb.started)
	}
	ow.apply(ow.controller.Finish(id, elapsed, now))
	ow.runBacklog()
	sample := ow.sample(jb.call)
	sample.Canceled = jb.aborted
	jb.call.balancer.AttemptEnded(sample, now)
}

// handleRefusal removes a refused work item. The call's entry node tries another
// upstream if the call's deadline has not passed.
func (ow *owner) handleRefusal(id types.WorkID) {
	cl := ow.jobs[id].call
	delete(ow.jobs, id)
	sample := ow.sample(cl)
	sample.Refused = true
	cl.balancer.AttemptEnded(sample, ow.ex.clock.now)
	cl.remaining = without(cl.remaining, ow.id)
	if ow.ex.clock.now.Before(cl.Deadline) {
		ow.ex.attempt(cl)
	}
}

func without(candidates []route.Candidate, id types.InstanceID) []route.Candidate {
	var remaining []route.Candidate
	for _, candidate := range candidates {
		if candidate.ID != id {
			remaining = append(remaining, candidate)
		}
	}
	return remaining
}

func (ow *owner) sample(cl *Call) route.Sample {
	return route.Sample{ID: ow.id, Route: cl.route, Elapsed: ow.ex.clock.now.Sub(cl.attemptStart), Load: ow.reportLoad()}
}

// reportLoad measures and records the current load. It returns the newest recorded
// load that is at least Settings.LoadReportAge old, or the oldest recorded one if
// none is that old.
func (ow *owner) reportLoad() route.Load {
	now := ow.ex.clock.now
	ow.loads = append(ow.loads, timedLoad{at: now, load: route.Load{Outstanding: ow.controller.Running(), Queued: ow.controller.Queued()}})
	for len(ow.loads) > 1 && !ow.loads[1].at.After(now.Add(-ow.ex.LoadReportAge)) {
		ow.loads = ow.loads[1:]
	}
	return ow.loads[0].load
}
