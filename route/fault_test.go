package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/types"
)

// failingShare simulates 20 entry nodes that together send 200 attempts a
// second to ten upstreams. The parameter bad is the number of failing
// upstreams, which come first in the list. The parameter failedShare is the
// share of their attempts that fail. A failed attempt takes 10 ms and a
// successful one 100 ms. If near is true, the first two upstreams are in the
// zone of the entry nodes. The result is the share of all attempts after the
// first five seconds that went to the failing upstreams.
func failingShare(bad int, failedShare float64, near bool) float64 {
	const entries, upstreams, seconds = 20, 10, 30
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	source := rand.New(rand.NewPCG(1, 2))
	var candidates []route.Candidate
	for number := range upstreams {
		id := types.InstanceID(string(rune('a' + number)))
		candidates = append(candidates, route.Candidate{ID: id, SameZone: near && number < 2, Slots: 9, TargetLatency: 500 * time.Millisecond})
	}
	rates := make([]stat.HitRate, upstreams)
	var balancers []*route.Balancer
	for number := range entries {
		balancers = append(balancers, route.NewBalancer(route.Adaptive(), route.WithSeed(uint64(number))))
	}
	toBad, all := 0, 0
	for step := range 200 * seconds {
		now = now.Add(5 * time.Millisecond)
		balancer := balancers[source.IntN(entries)]
		target, _ := balancer.Pick("r", candidates, now)
		balancer.AttemptStarted(target, now)
		i := int(target.ID[0] - 'a')
		failed := i < bad && source.Float64() < failedShare
		rates[i].Observe(failed, now)
		elapsed := 100 * time.Millisecond
		if failed {
			elapsed = 10 * time.Millisecond
		}
		balancer.AttemptEnded(route.Sample{ID: target.ID, Route: "r", Elapsed: elapsed, Load: route.Load{FaultShare: rates[i].Value(now)}}, now)
		if step < 200*5 {
			continue
		}
		all++
		if i < bad {
			toBad++
		}
	}
	return float64(toBad) / float64(all)
}

// TestAvoidsFailingUpstreams guards against sending most attempts to an
// upstream that fails fast and so looks quick and idle. It also checks that
// attempts are still sent if all upstreams fail alike.
func TestAvoidsFailingUpstreams(t *testing.T) {
	is := is.New(t)
	is.True(failingShare(1, 1, false) < 0.03)
	is.True(failingShare(1, 0.5, false) < 0.06)
	is.True(failingShare(1, 1, true) < 0.06)
	is.True(failingShare(4, 1, false) < 0.16) // both of two random candidates are bad with probability 0.13
	is.True(failingShare(10, 0.5, false) == 1)
	is.True(failingShare(8, 1, false) > 0.7) // most fail: the two good upstreams are not overloaded
}
