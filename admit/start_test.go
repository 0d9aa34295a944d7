package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/admit"
	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/types"
)

// TestQueuedWorkDoesNotStartOnceItsEntryNodeMayHaveGivenItUp checks that work whose time to
// start is limited leaves the queue by then, although its deadline is later.
func TestQueuedWorkDoesNotStartOnceItsEntryNodeMayHaveGivenItUp(t *testing.T) {
	check := is.New(t)
	now := time.Unix(1000, 0)
	controller := admit.NewController(admit.WithSeed(1))
	controller.SetSlots(1, now)
	work := admit.WorkItem{ID: 1, Route: "r", Importance: conf.Normal, Deadline: now.Add(10 * time.Second)}
	controller.Submit(work, now)
	work.ID, work.StartBy = 2, now.Add(2*time.Second)
	var expiry time.Duration
	for _, effect := range controller.Submit(work, now) {
		if ef, ok := effect.(types.SetTimer); ok && ef.Timer.Kind == types.QueueDeadline {
			expiry = ef.At.Sub(now)
		}
	}
	check.Equal(expiry, 2*time.Second)
	var refused int
	for _, effect := range controller.Finish(1, time.Second, now.Add(2*time.Second)) {
		switch effect.(type) {
		case admit.Refuse:
			refused++
		case admit.Dispatch:
			t.Error("the work starts")
		}
	}
	check.Equal(refused, 1)

	work.ID, work.StartBy = 3, now
	effects := controller.Submit(work, now)
	_, isRefused := effects[len(effects)-1].(admit.Refuse)
	check.True(isRefused)
}
