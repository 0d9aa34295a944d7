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

const (
	chartSize = 100_000
	chartAim  = 400 * time.Millisecond
)

// thinLink plays a gate before a link on which answers leave one after the
// other.
type thinLink struct {
	gate *admit.Gate
	// rate is in bytes a second and free when the link has sent all.
	rate float64
	free time.Time
	last types.WorkID
}

func newThinLink(rate float64, now time.Time) *thinLink {
	gate := admit.NewGate(admit.WithLink(rate))
	gate.SetSlots(50, now)
	return &thinLink{gate: gate, rate: rate, free: now}
}

// arrive asks for an answer and returns when it has left, or why it was
// refused.
func (tl *thinLink) arrive(work admit.Work, bytes int, now time.Time) (time.Time, *fault.Error) {
	tl.last++
	work.ID, work.LinkWait = tl.last, max(0, tl.free.Sub(now))
	for _, effect := range tl.gate.Arrive(work, now) {
		if refusal, ok := effect.(admit.Refuse); ok {
			return time.Time{}, refusal.Err
		}
	}
	tl.gate.Sized(work.ID, bytes)
	tl.gate.End(work.ID, time.Millisecond, now)
	if tl.free.Before(now) {
		tl.free = now
	}
	tl.free = tl.free.Add(time.Duration(float64(bytes) / tl.rate * float64(time.Second)))
	return tl.free, nil
}

func chart(now time.Time, aim time.Duration) admit.Work {
	return admit.Work{Route: "chart", Importance: conf.Normal, Aim: now.Add(aim), Deadline: now.Add(2 * time.Second)}
}

// TestLink plays downloads of 100 kB a hundred times a second for 20 s on a
// link of 1 MB/s, beside small answers. The link carries ten a second, and what
// is taken leaves within the aim, however long the load lasts.
func TestLink(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	link := newThinLink(1e6, now)
	taken, refused := 0, 0
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		left, err := link.arrive(chart(now, chartAim), chartSize, now)
		if err != nil {
			is.Equal(err.Kind, fault.Overloaded)
			is.True(err.RetryAfter > 0)
			refused++
		} else {
			is.True(!left.After(now.Add(chartAim)))
			taken++
		}
		_, err = link.arrive(admit.Work{Route: "index", Importance: conf.High, Aim: now.Add(chartAim), Deadline: now.Add(time.Second)}, 400, now)
		is.True(err == nil)
	}
	is.True(taken >= 185 && taken <= 205)
	is.Equal(taken+refused, 2000)
}

// TestLinkLate checks that an answer that can't meet its aim any more is sent
// over an idle link, and refused while others wait for it.
func TestLinkLate(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	link := newThinLink(1e6, now)
	_, err := link.arrive(chart(now, chartAim), chartSize, now)
	is.True(err == nil)
	_, err = link.arrive(chart(now, -chartAim), chartSize, now)
	is.True(err != nil)
	now = now.Add(time.Second)
	_, err = link.arrive(chart(now, -chartAim), chartSize, now)
	is.True(err == nil)
}
