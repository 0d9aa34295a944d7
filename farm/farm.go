// Package farm compares policies on virtual time: entries that choose among the
// upstreams of one service, and a controller before each upstream. It is one
// seeded queueing experiment, not a network of nodes.
//
// # Usage
//
//	result := farm.Run(farm.Settings{Upstreams: 5, Entries: 20, Work: work, Demand: farm.Steady(0.5)})
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
	// Slots is the number of works that each upstream runs at once.
	Slots = 10
	// LongFactor is the length of long work as a multiple of short work's.
	LongFactor = 100

	slowFactor   = 10
	slowPeriod   = 6 * time.Second
	slowSpell    = 2 * time.Second
	tickInterval = 100 * time.Millisecond
	maxAttempts  = 4
)

// Settings describes one experiment.
type Settings struct {
	Upstreams int
	Entries   int
	// Work is the mean duration of short work.
	Work time.Duration
	// Demand is the demand as a share of the capacity.
	Demand func(since time.Duration) float64
	Length time.Duration
	// Seed is that of the random numbers.
	Seed uint64
	// Deadline is the time that callers wait for short work.
	Deadline time.Duration
	// Long is the share of long work, and LongRoute gives it its own route.
	Long      float64
	LongRoute bool
	// Spells makes the first upstream ten times slower now and then.
	Spells bool
	// Late is the age of the loads that are reported.
	Late time.Duration
	// Leaves is when the last upstream leaves, or 0 for never.
	Leaves     time.Duration
	Policy     func() route.Policy
	Controller func() *admit.Controller
}

// experiment is the state of a run.
type experiment struct {
	Settings
	time   *virtual
	start  time.Time
	source *rand.Rand
	owners []*owner
	calls  []*Call
}

// Run carries out an experiment.
func Run(settings Settings) Result {
	start := time.Unix(1000, 0)
	ex := &experiment{Settings: settings, start: start, time: &virtual{now: start}, source: rand.New(rand.NewPCG(settings.Seed, ^settings.Seed))}
	for at := range ex.Upstreams {
		ex.owners = append(ex.owners, newOwner(ex, at))
	}
	for entry := range ex.Entries {
		ex.arrive(route.NewBalancer(ex.Policy(), route.WithSeed(settings.Seed*uint64(ex.Entries)+uint64(entry))))
	}
	ex.tick()
	if ex.Leaves > 0 {
		ex.time.after(ex.Leaves, ex.leave)
	}
	ex.time.runUntil(start.Add(ex.Length))
	return Result{Start: start, End: ex.time.now, Calls: ex.calls}
}

func (ex *experiment) tick() {
	for _, ow := range ex.owners {
		ow.apply(ow.controller.SetSlots(Slots, ex.time.now))
	}
	ex.time.after(tickInterval, ex.tick)
}

// leave makes the last upstream refuse what waits and all that comes.
func (ex *experiment) leave() {
	last := ex.owners[len(ex.owners)-1]
	last.leaving = true
	last.apply(last.controller.RefuseQueued(errLeaving))
}

var errLeaving = fault.New(fault.Closed, "the upstream is leaving")

// arrive plans the next call of an entry.
func (ex *experiment) arrive(balancer *route.Balancer) {
	capacity := float64(ex.Upstreams*Slots) / ex.Work.Seconds()
	rate := ex.Demand(ex.time.now.Sub(ex.start)) * capacity / float64(ex.Entries)
	wait := time.Duration(ex.source.ExpFloat64() / rate * float64(time.Second))
	ex.time.after(wait, func() {
		ex.call(balancer)
		ex.arrive(balancer)
	})
}

func (ex *experiment) call(balancer *route.Balancer) {
	cl := &Call{
		Long: ex.source.Float64() < ex.Long, Importance: importanceOf(ex.source.Float64()), Arrived: ex.time.now,
		balancer: balancer, route: "short", left: ex.candidates(),
		work: time.Duration(float64(ex.Work) * (0.5 + ex.source.ExpFloat64()/2)),
	}
	cl.Deadline = cl.Arrived.Add(ex.Deadline)
	if cl.Long {
		cl.work *= LongFactor
		cl.Deadline = cl.Arrived.Add(LongFactor * ex.Deadline)
	}
	if cl.Long && ex.LongRoute {
		cl.route = "long"
	}
	ex.calls = append(ex.calls, cl)
	ex.attempt(cl)
	ex.time.after(cl.Deadline.Sub(cl.Arrived), func() { cl.cancel() })
}

// importanceOf is critical for 20% of the work, high for 10%, normal for 40%
// and low for 30%.
func importanceOf(share float64) conf.Importance {
	switch {
	case share < 0.2:
		return conf.Critical
	case share < 0.3:
		return conf.High
	case share < 0.7:
		return conf.Normal
	default:
		return conf.Low
	}
}

func (ex *experiment) candidates() []route.Candidate {
	var candidates []route.Candidate
	for at, ow := range ex.owners {
		if !ow.leaving {
			id := types.InstanceID(fmt.Sprint(at))
			candidates = append(candidates, route.Candidate{ID: id, SameZone: true, Slots: Slots})
		}
	}
	return candidates
}

// attempt sends a call to the upstream that its entry chooses.
func (ex *experiment) attempt(cl *Call) {
	target, ok := cl.balancer.Pick(cl.route, cl.left, ex.time.now)
	if !ok || cl.Attempts == maxAttempts {
		return
	}
	cl.Attempts++
	cl.balancer.AttemptStarted(target, ex.time.now)
	cl.target, cl.began = target, ex.time.now
	at := slices.IndexFunc(ex.owners, func(ow *owner) bool { return ow.id == target.ID })
	ex.owners[at].arrive(cl)
}
