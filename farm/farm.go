// Package farm simulates load balancing and admission control in virtual time, to
// compare policies. Entry nodes, which receive the calls from the callers, send
// them to the upstreams of one service. In front of each upstream, an admission
// controller dispatches, queues or refuses the work items. The simulation is a
// queueing model with seeded random numbers; it uses no network and runs no nodes.
//
// # Usage
//
//	result := farm.Run(farm.Settings{Upstreams: 5, EntryNodes: 20, Work: work, Demand: farm.ConstantDemand(0.5)})
//	p99 := result.P99(farm.Short)
package farm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// Slots is the number of work items that each upstream runs at once.
	Slots = 10
	// LongFactor is the ratio of the duration of a long work item to that of a
	// short one. The deadlines have the same ratio.
	LongFactor = 100

	// slowFactor is how many times longer a work item runs if it starts in a slow
	// spell, a period in which an upstream is slower than usual.
	slowFactor = 10
	// slowPeriod is the time from the start of one slow spell to that of the next.
	slowPeriod = 6 * time.Second
	// slowSpell is the duration of a slow spell, at the end of each slowPeriod.
	slowSpell = 2 * time.Second
	// tickInterval is how often a simulated node sets the slots of its controller.
	tickInterval = 100 * time.Millisecond
	// maxAttempts is the maximum number of attempts of a call.
	maxAttempts = 4
)

// Settings describes one experiment.
type Settings struct {
	// Upstreams is the number of upstreams.
	Upstreams int
	// EntryNodes is the number of entry nodes.
	EntryNodes int
	// Work is the mean duration of a short work item outside slow spells.
	Work time.Duration
	// Demand returns the demand as a share of the upstreams' total capacity. Its
	// argument is the time since the start of the experiment.
	Demand func(since time.Duration) float64
	// Duration is the virtual duration of the experiment.
	Duration time.Duration
	// Seed is the seed of the random numbers.
	Seed uint64
	// Deadline is the time that callers wait for a short work item. They wait
	// LongFactor times as long for a long one.
	Deadline time.Duration
	// LongShare is the share of work items that are long.
	LongShare float64
	// LongRoute is true if long work items have a route of their own.
	LongRoute bool
	// SlowSpells is true if the first upstream is ten times slower in the last two
	// seconds of every six.
	SlowSpells bool
	// LoadReportAge is how old a load measurement is when an upstream reports it to
	// a balancer.
	LoadReportAge time.Duration
	// LeaveAfter is the time since the start at which the last upstream leaves; 0
	// means never.
	LeaveAfter time.Duration
	// Teams are the teams that send the calls. If there are any, they set the demand
	// and the importance of the calls.
	Teams []Team
	// HideTeams is true if the controllers don't learn which team a call is of.
	HideTeams bool
	// Policy returns the load balancing policy of an entry node.
	Policy func() route.Policy
	// Controller returns the admission controller of an upstream.
	Controller func() *admit.Controller
}

// experiment is the state of a running experiment.
type experiment struct {
	Settings
	clock  *virtualClock
	start  time.Time
	rng    *rand.Rand
	owners []*owner
	calls  []*Call
}

// Run simulates an experiment and returns its calls.
func Run(settings Settings) Result {
	start := time.Unix(1000, 0)
	ex := &experiment{Settings: settings, start: start, clock: &virtualClock{now: start}, rng: rand.New(rand.NewPCG(settings.Seed, ^settings.Seed))}
	if len(ex.Teams) > 0 {
		ex.Demand = demandOfTeams(ex.Teams)
	}
	for index := range ex.Upstreams {
		ex.owners = append(ex.owners, newOwner(ex, index))
	}
	for entry := range ex.EntryNodes {
		ex.scheduleCall(route.NewBalancer(ex.Policy(), route.WithSeed(settings.Seed*uint64(ex.EntryNodes)+uint64(entry))))
	}
	ex.tick()
	if ex.LeaveAfter > 0 {
		ex.clock.after(ex.LeaveAfter, ex.drainLastUpstream)
	}
	ex.clock.runUntil(start.Add(ex.Duration))
	return Result{Start: start, End: ex.clock.now, Calls: ex.calls}
}

// tick sets the slots of each controller to the same number again, as a node does
// periodically. SetSlots checks the queue, and so may dispatch or refuse queued
// work items.
func (ex *experiment) tick() {
	for _, ow := range ex.owners {
		ow.apply(ow.controller.SetSlots(Slots, ex.clock.now))
	}
	ex.clock.after(tickInterval, ex.tick)
}

// drainLastUpstream makes the last upstream refuse its queued work items and all
// new ones.
func (ex *experiment) drainLastUpstream() {
	last := ex.owners[len(ex.owners)-1]
	last.leaving = true
	last.apply(last.controller.RefuseQueued(errLeaving))
}

var errLeaving = fault.New(fault.Closed, "the upstream is leaving")

// scheduleCall schedules the next call of the entry node that uses the balancer.
// Each call schedules its successor when it starts. The times between calls are
// exponentially distributed, with a mean that results from the current demand.
func (ex *experiment) scheduleCall(balancer *route.Balancer) {
	capacity := float64(ex.Upstreams*Slots) / ex.Work.Seconds()
	rate := ex.Demand(ex.clock.now.Sub(ex.start)) * capacity / float64(ex.EntryNodes)
	wait := time.Duration(ex.rng.ExpFloat64() / rate * float64(time.Second))
	ex.clock.after(wait, func() {
		ex.startCall(balancer)
		ex.scheduleCall(balancer)
	})
}

// startCall creates a call with a random duration and importance and starts its
// first attempt. At the call's deadline it cancels the attempt then in progress.
func (ex *experiment) startCall(balancer *route.Balancer) {
	cl := &Call{
		Long: ex.rng.Float64() < ex.LongShare, Importance: importanceOf(ex.rng.Float64()), ArrivedAt: ex.clock.now,
		balancer: balancer, route: "short", remaining: ex.candidates(),
		work: time.Duration(float64(ex.Work) * (0.5 + float64(ex.rng.ExpFloat64()/2))),
	}
	ex.assignTeam(cl)
	cl.Deadline = cl.ArrivedAt.Add(ex.Deadline)
	if cl.Long {
		cl.work *= LongFactor
		cl.Deadline = cl.ArrivedAt.Add(LongFactor * ex.Deadline)
	}
	if cl.Long && ex.LongRoute {
		cl.route = "long"
	}
	ex.calls = append(ex.calls, cl)
	ex.attempt(cl)
	ex.clock.after(cl.Deadline.Sub(cl.ArrivedAt), func() { cl.cancel() })
}

// importanceOf maps a random number in [0, 1) to an importance, so that 20% of
// the calls are critical, 10% high, 40% normal and 30% low.
func importanceOf(random float64) conf.Importance {
	switch {
	case random < 0.2:
		return conf.Critical
	case random < 0.3:
		return conf.High
	case random < 0.7:
		return conf.Normal
	default:
		return conf.Low
	}
}

// candidates returns the upstreams that are not leaving.
func (ex *experiment) candidates() []route.Candidate {
	var candidates []route.Candidate
	for index, ow := range ex.owners {
		if !ow.leaving {
			id := types.InstanceID(fmt.Sprint(index))
			candidates = append(candidates, route.Candidate{ID: id, SameZone: true, Slots: Slots})
		}
	}
	return candidates
}

// attempt sends a call to the upstream that the balancer of its entry node picks.
// It does nothing if no candidate remains for the call or if the call has already
// had maxAttempts attempts.
func (ex *experiment) attempt(cl *Call) {
	target, ok := cl.balancer.Pick(cl.route, cl.remaining, ex.clock.now)
	if !ok || cl.Attempts == maxAttempts {
		ex.repeat(cl)
		return
	}
	cl.Attempts++
	cl.balancer.AttemptStarted(target, ex.clock.now)
	cl.target, cl.attemptStart = target, ex.clock.now
	index := slices.IndexFunc(ex.owners, func(ow *owner) bool { return ow.id == target.ID })
	ex.owners[index].submit(cl)
}
