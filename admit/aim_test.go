package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

// TestCrestMeetsTheAim plays twice as much work as the slots do, for ten seconds.
// What is taken is answered within its aim, the slots stay busy, and what is
// refused is refused at once or before its aim.
func TestCrestMeetsTheAim(t *testing.T) {
	is := is.New(t)
	const slots, lasting, aim, deadline = 9, 100 * time.Millisecond, 400 * time.Millisecond, 2500 * time.Millisecond
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	now := start
	gate := admit.NewGate()
	gate.SetSlots(slots, now)
	arrived, ends := map[types.WorkID]time.Time{}, map[types.WorkID]time.Time{}
	timers := map[types.WorkID]time.Time{}
	inAim, late, refused, refusedLate := 0, 0, 0, 0
	apply := func(effects []types.Effect) {
		for _, effect := range effects {
			switch ef := effect.(type) {
			case admit.Dispatch:
				ends[ef.Work.ID] = now.Add(lasting)
			case types.SetTimer:
				timers[ef.Timer.Work] = ef.At
			case admit.Refuse:
				refused++
				if now.Sub(arrived[ef.Work.ID]) > aim {
					refusedLate++
				}
			}
		}
	}
	for number := range 1800 {
		now = start.Add(time.Duration(number) * 10 * time.Second / 1800)
		for id := types.WorkID(1); id <= types.WorkID(number); id++ {
			if end, ok := ends[id]; ok && !end.After(now) {
				delete(ends, id)
				if end.Sub(arrived[id]) <= aim {
					inAim++
				} else {
					late++
				}
				apply(gate.End(id, lasting, now))
			} else if at, ok := timers[id]; ok && !at.After(now) {
				delete(timers, id)
				apply(gate.Expire(id, now))
			}
		}
		id := types.WorkID(number + 1)
		arrived[id] = now
		apply(gate.Arrive(admit.Work{ID: id, Route: "status", Importance: conf.Normal, Aim: now.Add(aim), Deadline: now.Add(deadline)}, now))
	}
	t.Logf("in aim %d, late %d, refused %d, late refusals %d", inAim, late, refused, refusedLate)
	is.True(inAim >= 820) // 900 is what the slots do
	is.True(late <= 20)
	is.Equal(refusedLate, 0)
}
