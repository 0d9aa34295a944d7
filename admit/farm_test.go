package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fakes"
	"sequoiamill.example/sequoiamill/types"
)

const (
	farmSlots    = 10
	farmWork     = 10 * time.Millisecond
	farmCapacity = float64(farmSlots) * float64(time.Second) / float64(farmWork)
	longFactor   = 100
	window       = 100 * time.Millisecond
)

// farm is one gate before an upstream with slots and a queue of its own.
type farm struct {
	// demand is the arrival rate as a share of the capacity.
	demand   func(since time.Duration) float64
	deadline time.Duration
	length   time.Duration
	// long is the share of work that runs 100 times longer.
	long float64
	// ownRoute states that long work has a route of its own.
	ownRoute bool
	gate     *admit.Gate

	time    *fakes.Virtual
	start   time.Time
	source  *rand.Rand
	last    types.WorkID
	jobs    map[types.WorkID]*job
	serving int
	backlog []types.WorkID
	done    []*job
}

type job struct {
	work    admit.Work
	length  time.Duration
	long    bool
	arrived time.Time
	begun   time.Time
	ended   time.Time
	refused bool
	aborted bool
}

func (fm *farm) run() *farm {
	fm.start = time.Unix(1000, 0)
	fm.time = fakes.NewVirtual(fm.start)
	fm.source = rand.New(rand.NewPCG(3, 5))
	fm.jobs = map[types.WorkID]*job{}
	fm.apply(fm.gate.SetSlots(farmSlots, fm.start))
	fm.arrive()
	fm.tick()
	fm.time.RunUntil(fm.start.Add(fm.length))
	return fm
}

func (fm *farm) tick() {
	fm.apply(fm.gate.SetSlots(farmSlots, fm.time.Now()))
	fm.time.After(window, fm.tick)
}

func (fm *farm) arrive() {
	rate := fm.demand(fm.time.Now().Sub(fm.start)) * farmCapacity
	fm.time.After(time.Duration(fm.source.ExpFloat64()/rate*float64(time.Second)), func() {
		fm.submit()
		fm.arrive()
	})
}

// importance is critical for 20% of the work, high for 10%, normal for 40% and
// low for 30%.
func importance(share float64) conf.Importance {
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

func (fm *farm) submit() {
	now := fm.time.Now()
	fm.last++
	jb := &job{arrived: now, long: fm.source.Float64() < fm.long}
	jb.length = time.Duration(float64(farmWork) * (0.5 + fm.source.ExpFloat64()/2))
	jb.work = admit.Work{ID: fm.last, Route: "short", Deadline: now.Add(fm.deadline)}
	jb.work.Importance = importance(fm.source.Float64())
	if jb.long {
		jb.length *= longFactor
		jb.work.Deadline = now.Add(longFactor * fm.deadline)
	}
	if jb.long && fm.ownRoute {
		jb.work.Route = "long"
	}
	fm.jobs[fm.last] = jb
	fm.done = append(fm.done, jb)
	fm.apply(fm.gate.Arrive(jb.work, now))
	id := fm.last
	fm.time.After(jb.work.Deadline.Sub(now), func() {
		if _, ok := fm.jobs[id]; ok {
			fm.apply(fm.gate.Withdraw(id, fm.time.Now()))
		}
	})
}

func (fm *farm) apply(effects []types.Effect) {
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			fm.backlog = append(fm.backlog, ef.Work.ID)
			fm.serve()
		case admit.Refuse:
			fm.jobs[ef.Work.ID].refused = true
			delete(fm.jobs, ef.Work.ID)
		case admit.Abort:
			fm.jobs[ef.ID].aborted = true
			fm.end(ef.ID)
		case types.SetTimer:
			fm.time.After(ef.At.Sub(fm.time.Now()), func() { fm.apply(fm.gate.Expire(ef.Timer.Work, fm.time.Now())) })
		}
	}
}

// serve gives the upstream's slots to the work that was dispatched to it.
func (fm *farm) serve() {
	for fm.serving < farmSlots && len(fm.backlog) > 0 {
		id := fm.backlog[0]
		fm.backlog = fm.backlog[1:]
		jb, ok := fm.jobs[id]
		if !ok {
			continue
		}
		fm.serving++
		jb.begun = fm.time.Now()
		fm.time.After(jb.length, func() { fm.end(id) })
	}
}

func (fm *farm) end(id types.WorkID) {
	jb, ok := fm.jobs[id]
	if !ok {
		return
	}
	delete(fm.jobs, id)
	now := fm.time.Now()
	if !jb.begun.IsZero() {
		fm.serving--
	}
	if !jb.aborted {
		jb.ended = now
	}
	fm.apply(fm.gate.End(id, now.Sub(jb.begun), now))
	fm.serve()
}

func (jb *job) inTime() bool { return !jb.ended.IsZero() && !jb.ended.After(jb.work.Deadline) }

// share returns the share of the chosen jobs that ended in time.
func (fm *farm) share(chosen func(*job) bool) float64 {
	total, served := 0, 0
	for _, jb := range fm.done {
		if !chosen(jb) || jb.arrived.Add(2*fm.deadline).After(fm.time.Now()) {
			continue
		}
		total++
		if jb.inTime() {
			served++
		}
	}
	return float64(served) / float64(max(total, 1))
}

func (fm *farm) within(from, to time.Duration) func(*job) bool {
	return func(jb *job) bool {
		since := jb.arrived.Sub(fm.start)
		return since >= from && since < to
	}
}

// p99 returns that of the time from arrival to the end of short work.
func (fm *farm) p99() time.Duration {
	var all []time.Duration
	for _, jb := range fm.done {
		if !jb.long && jb.inTime() {
			all = append(all, jb.ended.Sub(jb.arrived))
		}
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	rampBegin = 5 * time.Second
	rampTime  = time.Second
	crestTime = 8 * time.Second
	crestEnd  = rampBegin + 2*rampTime + crestTime
)

// crest rises from 0.7 to 3 times the capacity within a second and returns.
func crest(since time.Duration) float64 {
	const normal, high = 0.7, 3.0
	switch {
	case since < rampBegin || since > crestEnd:
		return normal
	case since < rampBegin+rampTime:
		return normal + (high-normal)*float64(since-rampBegin)/float64(rampTime)
	case since > crestEnd-rampTime:
		return normal + (high-normal)*float64(crestEnd-since)/float64(rampTime)
	default:
		return high
	}
}

// recovery returns the time after the crest until no later window serves less
// than 99% of its arrivals in time.
func (fm *farm) recovery() time.Duration {
	recovered := time.Duration(0)
	for from := crestEnd; from < fm.length-2*fm.deadline-window; from += window {
		if fm.share(fm.within(from, from+window)) < 0.99 {
			recovered = from + window - crestEnd
		}
	}
	return recovered
}

var gates = []struct {
	name string
	gate func() *admit.Gate
}{
	{"none", func() *admit.Gate { return admit.NewGate(admit.WithoutAdmission()) }},
	{"fifo", func() *admit.Gate { return admit.NewGate(admit.WithoutShedding()) }},
	{"shed-fifo", func() *admit.Gate { return admit.NewGate(admit.WithDiscipline(admit.FIFO())) }},
	{"shed-codel", func() *admit.Gate { return admit.NewGate(admit.WithDiscipline(admit.CoDel())) }},
	{"shed", func() *admit.Gate { return admit.NewGate() }},
}

// BenchmarkCrest measures a swing of demand to three times the capacity.
func BenchmarkCrest(b *testing.B) {
	for _, deadline := range []time.Duration{100 * time.Millisecond, time.Second} {
		for _, known := range gates {
			b.Run(fmt.Sprintf("deadline-%s/%s", deadline, known.name), func(b *testing.B) {
				var fm *farm
				for b.Loop() {
					fm = (&farm{demand: crest, deadline: deadline, length: 25 * time.Second, gate: known.gate()}).run()
				}
				high := fm.within(rampBegin+rampTime, rampBegin+rampTime+crestTime)
				critical := func(jb *job) bool { return high(jb) && jb.work.Importance == conf.Critical }
				important := func(jb *job) bool { return high(jb) && jb.work.Importance >= conf.High }
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(300*fm.share(high), "%capacity")
				b.ReportMetric(100*fm.share(critical), "%critical")
				b.ReportMetric(100*fm.share(important), "%important")
				b.ReportMetric(milliseconds(fm.recovery()), "recovery-ms")
			})
		}
	}
}

// BenchmarkLong measures short work while 2% of the work is 100 times longer,
// against the same short work without.
func BenchmarkLong(b *testing.B) {
	const share, short = 0.02, 0.2
	for _, ownRoute := range []bool{true, false} {
		for _, known := range gates {
			b.Run(fmt.Sprintf("own-route-%t/%s", ownRoute, known.name), func(b *testing.B) {
				var without, with *farm
				steady := func(time.Duration) float64 { return short }
				for b.Loop() {
					without = (&farm{demand: steady, deadline: time.Second, length: 120 * time.Second, gate: known.gate()}).run()
					with = (&farm{demand: steady, deadline: time.Second, length: 120 * time.Second, gate: known.gate(), long: share, ownRoute: ownRoute}).run()
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(milliseconds(without.p99()), "without-p99-ms")
				b.ReportMetric(milliseconds(with.p99()), "with-p99-ms")
				b.ReportMetric(float64(with.p99())/float64(without.p99()), "ratio")
				b.ReportMetric(100*with.share(func(jb *job) bool { return !jb.long }), "%short")
				b.ReportMetric(100*with.share(func(jb *job) bool {
					return jb.long && jb.arrived.Before(with.time.Now().Add(-10*time.Second))
				}), "%long")
			})
		}
	}
}
