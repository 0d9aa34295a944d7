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

// slowLink simulates a controller whose answers are sent in sequence over a link
// of low capacity.
type slowLink struct {
	controller *admit.Controller
	// rate is in bytes per second; idleAt is when the link has sent all answers.
	rate   float64
	idleAt time.Time
	last   types.WorkID
}

func newSlowLink(rate float64, now time.Time) *slowLink {
	controller := admit.NewController(admit.WithLinkBandwidth(rate))
	controller.SetSlots(50, now)
	return &slowLink{controller: controller, rate: rate, idleAt: now}
}

// arrive offers work to the controller and returns when the link has sent its
// answer, or the error if the work is refused.
func (tl *slowLink) arrive(work admit.WorkItem, bytes int, now time.Time) (time.Time, *fault.Error) {
	tl.last++
	work.ID, work.LinkWait = tl.last, max(0, tl.idleAt.Sub(now))
	for _, effect := range tl.controller.Submit(work, now) {
		if refusal, ok := effect.(admit.Refuse); ok {
			return time.Time{}, refusal.Err
		}
	}
	tl.controller.RecordAnswerSize(work.ID, bytes)
	tl.controller.Finish(work.ID, time.Millisecond, now)
	if tl.idleAt.Before(now) {
		tl.idleAt = now
	}
	tl.idleAt = tl.idleAt.Add(time.Duration(float64(bytes) / tl.rate * float64(time.Second)))
	return tl.idleAt, nil
}

// chart returns work with a large answer. Its soft deadline is the given time
// after now.
func chart(now time.Time, aim time.Duration) admit.WorkItem {
	return admit.WorkItem{Route: "chart", Importance: conf.Normal, SoftDeadline: now.Add(aim), Deadline: now.Add(2 * time.Second)}
}

// TestLinkLimitsLargeAnswers requests 100 downloads of 100 kB per second for 20
// s on a link of 1 MB/s, along with small answers. The link can send ten
// downloads per second. The test guards against a backlog on the link that
// keeps growing: all admitted downloads must be sent within the soft deadline,
// and small answers must not be refused.
func TestLinkLimitsLargeAnswers(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	link := newSlowLink(1e6, now)
	admitted, refused := 0, 0
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		sentAt, err := link.arrive(chart(now, chartAim), chartSize, now)
		if err != nil {
			is.Equal(err.Kind, fault.Overloaded)
			is.True(err.RetryAfter > 0)
			refused++
		} else {
			is.True(!sentAt.After(now.Add(chartAim)))
			admitted++
		}
		_, err = link.arrive(admit.WorkItem{Route: "index", Importance: conf.High, SoftDeadline: now.Add(chartAim), Deadline: now.Add(time.Second)}, 400, now)
		is.True(err == nil)
	}
	is.True(admitted >= 185 && admitted <= 205)
	is.Equal(admitted+refused, 2000)
}

// TestLinkSendsLateAnswersOnlyWhenIdle checks that a large answer that can no
// longer meet its soft deadline is refused while other answers wait for the
// link, and admitted when the link is idle.
func TestLinkSendsLateAnswersOnlyWhenIdle(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	link := newSlowLink(1e6, now)
	_, err := link.arrive(chart(now, chartAim), chartSize, now)
	is.True(err == nil)
	_, err = link.arrive(chart(now, -chartAim), chartSize, now)
	is.True(err != nil)
	now = now.Add(time.Second)
	_, err = link.arrive(chart(now, -chartAim), chartSize, now)
	is.True(err == nil)
}
