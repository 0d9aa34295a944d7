package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

// TestOverloadMeetsAim offers twice as much work as the slots can serve, for ten
// seconds. The aim is the soft deadline.
// It guards against a queue in which admitted work ends after its soft
// deadline, against idle slots, and against work that is refused only after its
// soft deadline has passed.
func TestOverloadMeetsAim(t *testing.T) {
	is := is.New(t)
	const slots, serviceTime, aim, deadline = 9, 100 * time.Millisecond, 400 * time.Millisecond, 2500 * time.Millisecond
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	now := start
	controller := admit.NewController()
	controller.SetSlots(slots, now)
	arrived, ends := map[types.WorkID]time.Time{}, map[types.WorkID]time.Time{}
	timers := map[types.WorkID]time.Time{}
	inAim, afterAim, refused, refusedAfterAim := 0, 0, 0, 0
	apply := func(effects []types.Effect) {
		for _, effect := range effects {
			switch ef := effect.(type) {
			case admit.Dispatch:
				ends[ef.Work.ID] = now.Add(serviceTime)
			case types.SetTimer:
				timers[ef.Timer.Work] = ef.At
			case admit.Refuse:
				refused++
				if now.Sub(arrived[ef.Work.ID]) > aim {
					refusedAfterAim++
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
					afterAim++
				}
				apply(controller.Finish(id, serviceTime, now))
			} else if at, ok := timers[id]; ok && !at.After(now) {
				delete(timers, id)
				apply(controller.Expire(id, now))
			}
		}
		id := types.WorkID(number + 1)
		arrived[id] = now
		apply(controller.Submit(admit.WorkItem{ID: id, Route: "status", Importance: conf.Normal, SoftDeadline: now.Add(aim), Deadline: now.Add(deadline)}, now))
	}
	t.Logf("answered within aim %d, answered after aim %d, refused %d, refused after aim %d", inAim, afterAim, refused, refusedAfterAim)
	is.True(inAim >= 820) // the slots can serve 900
	is.True(afterAim <= 20)
	is.Equal(refusedAfterAim, 0)
}
