package farm

import (
	"fmt"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// meshOwner is an owner node with its upstream.
type meshOwner struct {
	mesh        *meshRun
	index, zone int
	id          types.InstanceID
	controller  *admit.Controller
	slowness    float64
	noisy       bool
	phase       time.Duration
	jobs        map[types.WorkID]*meshJob
	// loads holds the measured loads, oldest first.
	loads  []timedLoad
	lastID types.WorkID
}

// meshJob is one attempt of a request.
type meshJob struct {
	call    *MeshCall
	target  route.Candidate
	sent    time.Time
	started time.Time
	lasting time.Duration
}

func (me *meshRun) newOwner(index int) *meshOwner {
	ow := &meshOwner{
		mesh: me, index: index, zone: index % me.Zones, id: types.InstanceID(fmt.Sprint(index)),
		controller: admit.NewController(admit.WithSeed(me.Seed)), jobs: map[types.WorkID]*meshJob{}, slowness: 1,
	}
	if me.Speeds {
		ow.slowness = 1 / uniform(me.rng, 0.5, 1.5)
	}
	ow.noisy = me.rng.Float64() < me.NoiseShare
	ow.phase = time.Duration(me.rng.Float64() * float64(noisePeriod))
	ow.controller.SetSlots(Slots, me.clock.now)
	return ow
}

// way returns the time of one way between the entry node of a request and the owner.
func (ow *meshOwner) way(cl *MeshCall) time.Duration {
	if ow.zone != cl.node.zone {
		return zoneDelay
	}
	return hopDelay
}

func (ow *meshOwner) submit(job *meshJob) {
	now := ow.mesh.clock.now
	ow.lastID++
	id := ow.lastID
	ow.jobs[id] = job
	ow.apply(ow.controller.Submit(admit.WorkItem{
		ID: id, Route: meshRoute, Deadline: job.call.due, SoftDeadline: job.call.aim, CostFactor: job.call.factor,
	}, now))
	ow.mesh.clock.after(job.call.due.Sub(now), func() {
		if _, ok := ow.jobs[id]; ok {
			ow.apply(ow.controller.Cancel(id, ow.mesh.clock.now))
		}
	})
}

func (ow *meshOwner) apply(effects []types.Effect) {
	clock := ow.mesh.clock
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			job := ow.jobs[ef.Work.ID]
			job.started, job.lasting = clock.now, ef.Work.Lasting
			clock.after(ow.runDuration(job.call), func() { ow.finish(ef.Work.ID, false) })
		case admit.Refuse:
			ow.refused(ef.Work.ID, ef.Err)
		case admit.Abort:
			clock.after(0, func() { ow.finish(ef.ID, true) })
		case types.SetTimer:
			id := ef.Timer.Work
			clock.after(ef.At.Sub(clock.now), func() { ow.apply(ow.controller.Expire(id, clock.now)) })
		}
	}
}

func (ow *meshOwner) runDuration(cl *MeshCall) time.Duration {
	duration := float64(cl.work) * ow.slowness
	if ow.noisy && (ow.mesh.clock.now.Sub(ow.mesh.start)+ow.phase)%noisePeriod < noiseSpell {
		duration *= noiseFactor
	}
	return time.Duration(duration)
}

func (ow *meshOwner) finish(id types.WorkID, aborted bool) {
	job, ok := ow.jobs[id]
	if !ok {
		return
	}
	delete(ow.jobs, id)
	now := ow.mesh.clock.now
	ran := now.Sub(job.started)
	ow.apply(ow.controller.Finish(id, ran, now))
	sample := route.Sample{ID: ow.id, Route: meshRoute, Load: ow.load(), Features: job.call.features, Canceled: aborted}
	if !ow.old() && ow.mesh.Way.Costs {
		sample.AtUpstream, sample.Lasting = ran, job.lasting
	}
	ow.answer(job, sample, func() {
		if !aborted {
			job.call.Answered, job.call.EndedAt = true, ow.mesh.clock.now
		}
	})
}

// old reports whether the owner is of a build that reports counts alone.
func (ow *meshOwner) old() bool { return ow.mesh.Way.Old != nil && ow.mesh.Way.Old(ow.index) }

func (ow *meshOwner) refused(id types.WorkID, err *fault.Error) {
	job := ow.jobs[id]
	delete(ow.jobs, id)
	sample := route.Sample{ID: ow.id, Route: meshRoute, Load: ow.load(), Refused: true}
	ow.answer(job, sample, func() {
		if err.Kind == fault.Overloaded {
			job.call.remaining = without(job.call.remaining, ow.id)
			ow.mesh.attempt(job.call)
		}
	})
}

// answer carries an outcome to the entry node, with a report that is late by ReportAge.
func (ow *meshOwner) answer(job *meshJob, sample route.Sample, then func()) {
	clock, balancer := ow.mesh.clock, job.call.node.balancer
	clock.after(ow.way(job.call), func() {
		sample.Elapsed = clock.now.Sub(job.sent)
		balancer.AttemptEnded(sample, clock.now)
		then()
	})
}

// load measures the load and returns the newest one that is as old as ReportAge.
func (ow *meshOwner) load() route.Load {
	now := ow.mesh.clock.now
	ow.loads = append(ow.loads, timedLoad{at: now, load: ow.measure(now)})
	for len(ow.loads) > 1 && !ow.loads[1].at.After(now.Add(-ow.mesh.ReportAge)) {
		ow.loads = ow.loads[1:]
	}
	return ow.loads[0].load
}

func (ow *meshOwner) measure(now time.Time) route.Load {
	left := ow.controller.Left(now)
	load := route.Load{Outstanding: ow.controller.Running(), Queued: ow.controller.Queued()}
	if !ow.old() {
		load.Left = types.Some(route.WorkLeft{SlotWait: left.SlotWait, Drain: left.Drain})
	}
	return load
}
