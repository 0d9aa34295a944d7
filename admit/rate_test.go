package admit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

// rateLoad offers work to one controller on virtual time. Work runs for a fixed time.
type rateLoad struct {
	controller *admit.Controller
	now        time.Time
	runs       time.Duration
	timers     []types.SetTimer
	running    map[types.WorkID]time.Time
	// dispatched and refused are the times of these decisions.
	dispatched, refused []time.Time
	important           int
}

func newRateLoad(slots int, runs time.Duration) *rateLoad {
	rl := &rateLoad{controller: admit.NewController(admit.WithSeed(1)), now: time.Unix(1000, 0), runs: runs, running: map[types.WorkID]time.Time{}}
	rl.apply(rl.controller.SetSlots(slots, rl.now))
	return rl
}

func (rl *rateLoad) apply(effects []types.Effect) {
	for _, effect := range effects {
		switch ef := effect.(type) {
		case admit.Dispatch:
			rl.dispatched = append(rl.dispatched, rl.now)
			rl.running[ef.Work.ID] = rl.now.Add(rl.runs)
			if ef.Work.Importance == conf.High {
				rl.important++
			}
		case admit.Refuse:
			rl.refused = append(rl.refused, rl.now)
		case types.SetTimer:
			rl.timers = append(rl.timers, ef)
		}
	}
}

// advance lets a millisecond pass.
func (rl *rateLoad) advance() {
	rl.now = rl.now.Add(time.Millisecond)
	for id, end := range rl.running {
		if !end.After(rl.now) {
			delete(rl.running, id)
			rl.apply(rl.controller.Finish(id, rl.runs, rl.now))
		}
	}
	due := slices.Clone(rl.timers)
	rl.timers = nil
	for _, timer := range due {
		switch {
		case timer.At.After(rl.now):
			rl.timers = append(rl.timers, timer)
		case timer.Timer.Kind == types.RateLimitReset:
			rl.apply(rl.controller.RateTimerFired(rl.now))
		default:
			rl.apply(rl.controller.Expire(timer.Timer.Work, rl.now))
		}
	}
}

func (rl *rateLoad) submit(id int, importance conf.Importance) {
	work := admit.WorkItem{
		ID: types.WorkID(id), Route: "r", Importance: importance,
		Deadline: rl.now.Add(2 * time.Second), SoftDeadline: rl.now.Add(400 * time.Millisecond),
	}
	rl.apply(rl.controller.Submit(work, rl.now))
}

// mostWithin returns the greatest number of times within a span.
func mostWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestUpstreamGetsNoMoreThanItsRateLimit plays a limit of 20 a second at an upstream
// with 9 slots and work of 50 ms, that is of 180 a second, and more demand than either.
func TestUpstreamGetsNoMoreThanItsRateLimit(t *testing.T) {
	is := is.New(t)
	rl := newRateLoad(9, 50*time.Millisecond)
	source := rand.New(rand.NewPCG(1, 1))
	id := 0
	offer := func(limit time.Duration, perSecond float64) {
		for end := rl.now.Add(limit); rl.now.Before(end); rl.advance() {
			if source.Float64() < perSecond/1000 {
				id++
				rl.submit(id, conf.Normal)
			}
		}
	}
	offer(2*time.Second, 100)
	is.True(len(rl.dispatched) > 150) // no limit yet
	rl.apply(rl.controller.SetRateLimit(20, rl.now))
	rl.dispatched = nil
	offer(20*time.Second, 100)
	t.Logf("%d dispatched, at most %d in 4 s, %d refused", len(rl.dispatched), mostWithin(rl.dispatched, 4*time.Second), len(rl.refused))
	is.True(mostWithin(rl.dispatched, 4*time.Second) <= 4*20+5) // the limit and a quarter of a second of it
	is.True(mostWithin(rl.dispatched, time.Second) <= 20+5)
	is.True(len(rl.dispatched) >= 390) // the limit is used
	rl.apply(rl.controller.SetRateLimit(0, rl.now))
	rl.dispatched = nil
	offer(2*time.Second, 100)
	is.True(len(rl.dispatched) > 150) // the limit is gone
}

// TestRateLimitRefusesAtOnceWhatComesTooLate plays a burst of 40 at a limit of 20 a
// second: what can't start within its soft deadline is refused at once, with the time
// until the limit has room, and important work goes first.
func TestRateLimitRefusesAtOnceWhatComesTooLate(t *testing.T) {
	is := is.New(t)
	rl := newRateLoad(9, 10*time.Millisecond)
	rl.apply(rl.controller.SetRateLimit(20, rl.now))
	for id := range 40 {
		importance := conf.Normal
		if id >= 36 {
			importance = conf.High
		}
		rl.submit(id+1, importance)
	}
	is.True(len(rl.refused) >= 25)
	for _, at := range rl.refused {
		is.Equal(at, rl.now)
	}
	is.True(rl.controller.RateWait(rl.now) > 0)
	is.True(rl.controller.RetryAfter(rl.now) > rl.controller.RateWait(rl.now)/2)
	for range 1000 {
		rl.advance()
	}
	is.Equal(rl.important, 4)
	is.Equal(len(rl.dispatched)+len(rl.refused), 40)
	is.Equal(rl.controller.Queued(), 0)
}

// TestRateLimitedWorkIsDecided checks on random series of limits and work that no work
// is left waiting without a timer, and that the limit holds at all times.
func TestRateLimitedWorkIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rl := newRateLoad(rapid.IntRange(1, 4).Draw(t, "slots"), time.Duration(rapid.IntRange(1, 80).Draw(t, "runs"))*time.Millisecond)
		submitted := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "limit") {
				rl.apply(rl.controller.SetRateLimit(float64(rapid.IntRange(0, 40).Draw(t, "per second")), rl.now))
			}
			for range rapid.IntRange(0, 5).Draw(t, "arrivals") {
				submitted++
				rl.submit(submitted, conf.Normal)
			}
			for range rapid.IntRange(0, 200).Draw(t, "wait") {
				rl.advance()
			}
		}
		for range 2500 {
			rl.advance()
		}
		if len(rl.dispatched)+len(rl.refused) != submitted || rl.controller.Queued() > 0 {
			t.Fatalf("%d dispatched and %d refused of %d", len(rl.dispatched), len(rl.refused), submitted)
		}
	})
}
