package stat_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/stat"
)

// TestShare learns that half of the events are hits, and forgets it.
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
