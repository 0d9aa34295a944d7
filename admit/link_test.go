package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// TestLink plays downloads of 100 kB a hundred times a second on a link of
// 1 MB/s, beside small answers. The link carries ten a second: the others are
// refused at once, and no small one is.
func TestLink(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	gate := admit.NewGate(admit.WithLink(1e6))
	gate.SetSlots(50, now)
	const size, aim = 100_000, 400 * time.Millisecond
	taken, refused := 0, 0
	var id types.WorkID
	arrive := func(route types.RouteName, bytes int) bool {
		id++
		work := admit.Work{ID: id, Route: route, Importance: conf.Normal, Remote: true, Aim: now.Add(aim), Deadline: now.Add(time.Second)}
		for _, effect := range gate.Arrive(work, now) {
			if refusal, ok := effect.(admit.Refuse); ok {
				is.Equal(refusal.Err.Kind, fault.Overloaded)
				is.True(refusal.Err.RetryAfter > 0)
				return false
			}
		}
		gate.Sent(id, bytes, now)
		gate.End(id, time.Millisecond, now)
		return true
	}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if arrive("chart", size) {
			taken++
		} else {
			refused++
		}
		is.True(arrive("index", 400))
	}
	is.True(taken >= 95 && taken <= 110)
	is.Equal(taken+refused, 1000)
}
