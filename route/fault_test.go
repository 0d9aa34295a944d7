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

// failing plays 20 entries that send 200 attempts a second to ten upstreams,
// some of which fail a part of their work ten times sooner than others end it.
// It returns the part of the attempts that the failing ones got.
func failing(bad int, part float64, near bool) float64 {
	const entries, upstreams, seconds = 20, 10, 30
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	source := rand.New(rand.NewPCG(1, 2))
	var candidates []route.Candidate
	for number := range upstreams {
		id := types.InstanceID(string(rune('a' + number)))
		candidates = append(candidates, route.Candidate{ID: id, SameZone: near && number < 2, Slots: 9, Aim: 500 * time.Millisecond})
	}
	shares := make([]stat.Share, upstreams)
	var balances []*route.Balance
	for number := range entries {
		balances = append(balances, route.NewBalance(route.Adaptive(), route.WithSeed(uint64(number))))
	}
	toBad, all := 0, 0
	for step := range 200 * seconds {
		now = now.Add(5 * time.Millisecond)
		balance := balances[source.IntN(entries)]
		target, _ := balance.Pick("r", candidates, now)
		balance.Began(target, now)
		at := int(target.ID[0] - 'a')
		failed := at < bad && source.Float64() < part
		shares[at].Observe(failed, now)
		elapsed := 100 * time.Millisecond
		if failed {
			elapsed = 10 * time.Millisecond
		}
		balance.Ended(route.Sample{ID: target.ID, Route: "r", Elapsed: elapsed, Load: route.Load{Faults: shares[at].Now(now)}}, now)
		if step < 200*5 {
			continue
		}
		all++
		if at < bad {
			toBad++
		}
	}
	return float64(toBad) / float64(all)
}

// TestFailingUpstreams checks that upstreams that fail soon, while they say that
// they are well, get little, and that failures of all change nothing.
func TestFailingUpstreams(t *testing.T) {
	is := is.New(t)
	is.True(failing(1, 1, false) < 0.03)
	is.True(failing(1, 0.5, false) < 0.06)
	is.True(failing(1, 1, true) < 0.06)
	is.True(failing(4, 1, false) < 0.16) // two random of ten are both of the four in 0.13
	is.True(failing(10, 0.5, false) == 1)
	is.True(failing(8, 1, false) > 0.7) // most fail: the two that are left are not crushed
}
