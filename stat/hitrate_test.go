package stat_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/stat"
)

// TestShare checks that a single hit gives a low share, that the share approaches
// one half when every second event is a hit, and that it decays without events.
func TestShare(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	var share stat.Share
	is.Equal(share.Now(now), 0.0)
	share.Observe(true, now)
	is.True(share.Now(now) <= 0.2)
	for number := range 200 {
		now = now.Add(20 * time.Millisecond)
		share.Observe(number%2 == 0, now)
	}
	is.True(share.Now(now) > 0.45 && share.Now(now) < 0.55)
	is.True(share.Now(now.Add(20*time.Second)) < 0.02)
}
