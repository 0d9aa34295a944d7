package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// zoneShare simulates perSecond attempts a second on a route that has one
// upstream in the entry node's zone and two in other zones. Each attempt takes
// the given duration, and its answer has size bytes. The result is the share of
// attempts that stayed in the zone.
func zoneShare(perSecond int, duration time.Duration, size int) float64 {
	const aim, seconds, warmUp = 400 * time.Millisecond, 20, 5
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	balancer := route.NewBalancer(route.Adaptive(), route.WithSeed(3))
	candidates := []route.Candidate{
		{ID: "near", SameZone: true, Slots: 9, TargetLatency: aim}, {ID: "far-1", Slots: 9, TargetLatency: aim}, {ID: "far-2", Slots: 9, TargetLatency: aim},
	}
	type pendingAttempt struct {
		id  types.InstanceID
		end time.Time
	}
	var pending []pendingAttempt
	near, all := 0, 0
	step := time.Second / time.Duration(perSecond)
	for number := range perSecond * seconds {
		now = now.Add(step)
		for len(pending) > 0 && !pending[0].end.After(now) {
			balancer.AttemptEnded(route.Sample{ID: pending[0].id, Route: "r", Elapsed: duration, Size: size}, now)
			pending = pending[1:]
		}
		target, _ := balancer.Pick("r", candidates, now)
		balancer.AttemptStarted(target, now)
		pending = append(pending, pendingAttempt{id: target.ID, end: now.Add(duration)})
		if number < perSecond*warmUp {
			continue
		}
		all++
		if target.ID == "near" {
			near++
		}
	}
	return float64(near) / float64(all)
}

// TestPrefersNearWhileAimIsMet checks which share of the attempts stays in the
// zone, for loads from idle to more than the near upstream has slots for.
func TestPrefersNearWhileAimIsMet(t *testing.T) {
	is := is.New(t)
	is.True(zoneShare(20, 100*time.Millisecond, 400) == 1)       // idle: all stay in the zone
	is.True(zoneShare(150, 100*time.Millisecond, 400) < 0.6)     // about 15 concurrent attempts for 9 slots: the far upstreams take some
	is.True(zoneShare(150, 100*time.Millisecond, 400) > 0.3)     // but the near upstream keeps its share
	is.True(zoneShare(20, 380*time.Millisecond, 400) < 0.6)      // no upstream answers well within the target latency: no preference
	is.True(zoneShare(80, 100*time.Millisecond, 90_000) > 0.9)   // large answers stay in the zone at higher load
	is.True(zoneShare(300, 100*time.Millisecond, 90_000) < 0.75) // and leave it before they miss the target latency
}

// TestSplitKeepsWeights checks that a traffic split keeps its weights over a run of
// only 100 requests.
func TestSplitKeepsWeights(t *testing.T) {
	is := is.New(t)
	split := conf.Route{Name: "r", Split: []conf.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	for seed := range uint64(50) {
		splitter := route.NewSplitter(seed)
		counts := map[types.ServiceName]int{}
		for range 100 {
			counts[splitter.Choose(split)]++
		}
		is.True(counts["b"] >= 8 && counts["b"] <= 12)
		is.Equal(counts["c"], 0)
	}
}
