package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// placed plays attempts of a route at one upstream in the own zone and two
// elsewhere, each lasting so long, and returns the share that stayed in the zone.
func placed(perSecond int, lasting time.Duration, size int) float64 {
	const aim, seconds, warmUp = 400 * time.Millisecond, 20, 5
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	balance := route.NewBalance(route.Adaptive(), route.WithSeed(3))
	candidates := []route.Candidate{
		{ID: "near", SameZone: true, Slots: 9, Aim: aim}, {ID: "far-1", Slots: 9, Aim: aim}, {ID: "far-2", Slots: 9, Aim: aim},
	}
	type flight struct {
		id  types.InstanceID
		end time.Time
	}
	var flights []flight
	near, all := 0, 0
	step := time.Second / time.Duration(perSecond)
	for number := range perSecond * seconds {
		now = now.Add(step)
		for len(flights) > 0 && !flights[0].end.After(now) {
			balance.Ended(route.Sample{ID: flights[0].id, Route: "r", Elapsed: lasting, Size: size}, now)
			flights = flights[1:]
		}
		target, _ := balance.Pick("r", candidates, now)
		balance.Began(target, now)
		flights = append(flights, flight{id: target.ID, end: now.Add(lasting)})
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

// TestNearWhileItMeetsTheAim plays loads from idle to more than the near
// upstream has slots for.
func TestNearWhileItMeetsTheAim(t *testing.T) {
	is := is.New(t)
	is.True(placed(20, 100*time.Millisecond, 400) == 1)       // idle: all stay
	is.True(placed(150, 100*time.Millisecond, 400) < 0.6)     // 15 at once on 9 slots: the others help
	is.True(placed(150, 100*time.Millisecond, 400) > 0.3)     // but the near one does its share
	is.True(placed(20, 380*time.Millisecond, 400) < 0.6)      // too slow for the aim anywhere: no preference
	is.True(placed(80, 100*time.Millisecond, 90_000) > 0.9)   // large answers stay longer
	is.True(placed(300, 100*time.Millisecond, 90_000) < 0.75) // and go elsewhere before they miss the aim
}

// TestSplitKeepsItsWeights draws short runs of a split route.
func TestSplitKeepsItsWeights(t *testing.T) {
	is := is.New(t)
	split := conf.Route{Name: "r", Split: []conf.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	for seed := range uint64(50) {
		splits := route.NewSplits(seed)
		counts := map[types.ServiceName]int{}
		for range 100 {
			counts[splits.Choose(split)]++
		}
		is.True(counts["b"] >= 8 && counts["b"] <= 12)
		is.Equal(counts["c"], 0)
	}
}
