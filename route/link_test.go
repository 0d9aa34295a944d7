package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// busyLinkShare simulates attempts at two upstreams on a route whose answers
// have size bytes. The owner node of the first upstream reports wait as the
// time that a large answer waits for the network link. The result is the share
// of attempts that went to the first upstream.
func busyLinkShare(size int, wait time.Duration) float64 {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	balancer := route.NewBalancer(route.Adaptive(), route.WithSeed(5))
	candidates := []route.Candidate{{ID: "busy", Slots: 9, TargetLatency: time.Second}, {ID: "idle", Slots: 9, TargetLatency: time.Second}}
	loads := map[types.InstanceID]route.Load{"busy": {LinkWait: wait}}
	busy, all := 0, 0
	for number := range 1000 {
		now = now.Add(20 * time.Millisecond)
		target, _ := balancer.Pick("r", candidates, now)
		balancer.AttemptStarted(target, now)
		balancer.AttemptEnded(route.Sample{ID: target.ID, Route: "r", Elapsed: 50 * time.Millisecond, Size: size, Load: loads[target.ID]}, now)
		if number < 100 {
			continue
		}
		all++
		if target.ID == "busy" {
			busy++
		}
	}
	return float64(busy) / float64(all)
}

// TestLargeAnswersAvoidBusyLink checks that a reported wait for the network link
// affects large answers only, and only until the link has sent the queued answers.
func TestLargeAnswersAvoidBusyLink(t *testing.T) {
	is := is.New(t)
	is.True(busyLinkShare(90_000, 500*time.Millisecond) < 0.1)
	is.True(busyLinkShare(90_000, 500*time.Millisecond) > 0) // tried again once the reported wait is over
	is.True(busyLinkShare(400, 500*time.Millisecond) > 0.4)
	is.True(busyLinkShare(90_000, 0) > 0.4)
}
