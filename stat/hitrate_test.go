package stat_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/stat"
)

// TestHitRate checks that the rate stays low after a single hit, approaches one
// half if every second event is a hit, and falls to almost 0 after 20 seconds
// without events.
func TestHitRate(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	var rate stat.HitRate
	is.Equal(rate.Value(now), 0.0)
	rate.Observe(true, now)
	is.True(rate.Value(now) <= 0.2)
	for number := range 200 {
		now = now.Add(20 * time.Millisecond)
		rate.Observe(number%2 == 0, now)
	}
	is.True(rate.Value(now) > 0.45 && rate.Value(now) < 0.55)
	is.True(rate.Value(now.Add(20*time.Second)) < 0.02)
}
