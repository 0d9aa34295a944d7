package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/route"
	"sequoiamill.example/sequoiamill/types"
)

// behindLink plays attempts of a route with answers of a size at one upstream
// whose instance reports that large answers wait for its link, and at another.
// It returns the part that went to the first.
func behindLink(size int, wait time.Duration) float64 {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	balance := route.NewBalance(route.Adaptive(), route.WithSeed(5))
	candidates := []route.Candidate{{ID: "busy", Slots: 9, Aim: time.Second}, {ID: "idle", Slots: 9, Aim: time.Second}}
	loads := map[types.InstanceID]route.Load{"busy": {LinkWait: wait}}
	busy, all := 0, 0
	for number := range 1000 {
		now = now.Add(20 * time.Millisecond)
		target, _ := balance.Pick("r", candidates, now)
		balance.Began(target, now)
		balance.Ended(route.Sample{ID: target.ID, Route: "r", Elapsed: 50 * time.Millisecond, Size: size, Load: loads[target.ID]}, now)
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

// TestLargeAnswersAvoidABusyLink checks that a report of a busy link counts for
// large answers alone, and only until the link has sent what waited.
func TestLargeAnswersAvoidABusyLink(t *testing.T) {
	is := is.New(t)
	is.True(behindLink(90_000, 500*time.Millisecond) < 0.1)
	is.True(behindLink(90_000, 500*time.Millisecond) > 0) // tried again once the report has run down
	is.True(behindLink(400, 500*time.Millisecond) > 0.4)
	is.True(behindLink(90_000, 0) > 0.4)
}
