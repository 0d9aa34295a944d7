package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/route"
)

// limitedShare simulates attempts at two upstreams, of which the owner node of the first
// reports wait as the time that a new attempt waits for the upstream's rate limit. The
// result is the share of attempts that went to the first upstream.
func limitedShare(local bool, wait time.Duration) float64 {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	balancer := route.NewBalancer(route.Adaptive(), route.WithSeed(5))
	candidates := []route.Candidate{
		{ID: "limited", Slots: 9, TargetLatency: 400 * time.Millisecond, Local: local, SameZone: true},
		{ID: "other", Slots: 9, TargetLatency: 400 * time.Millisecond, SameZone: true},
	}
	limited := 0
	const attempts = 1000
	for range attempts {
		now = now.Add(20 * time.Millisecond)
		target, _ := balancer.Pick("r", candidates, now)
		load := route.Load{}
		if target.ID == "limited" {
			limited++
			load.RateWait = wait
		}
		balancer.AttemptStarted(target, now)
		balancer.AttemptEnded(route.Sample{ID: target.ID, Route: "r", Elapsed: 50 * time.Millisecond, Load: load}, now)
	}
	return float64(limited) / attempts
}

// TestEntriesAvoidUpstreamAtItsRateLimit checks that attempts go elsewhere for as long as
// an upstream's limit has no room, also from the node that owns the upstream.
func TestEntriesAvoidUpstreamAtItsRateLimit(t *testing.T) {
	is := is.New(t)
	for _, local := range []bool{false, true} {
		is.True(limitedShare(local, time.Second) < 0.1)
		is.True(limitedShare(local, time.Second) > 0) // tried again once the reported wait is over
	}
	is.True(limitedShare(false, 0) > 0.4)
	is.Equal(limitedShare(true, 0), 1.0)
}

func TestUpstreamAtItsRateLimitIsKnownFull(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	balancer := route.NewBalancer(route.Adaptive())
	candidate := route.Candidate{ID: "a", Slots: 9}
	balancer.AttemptStarted(candidate, now)
	balancer.AttemptEnded(route.Sample{ID: "a", Refused: true, Load: route.Load{RateWait: 200 * time.Millisecond}}, now)
	is.True(balancer.KnownFull(candidate, now.Add(100*time.Millisecond)))
	is.True(!balancer.KnownFull(candidate, now.Add(250*time.Millisecond)))
}
