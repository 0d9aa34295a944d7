package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSuspension(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var sleep suspension
	is.Equal(sleep.since(now, time.Hour), time.Duration(0))
	is.Equal(sleep.since(now.Add(time.Second), time.Hour+time.Second), time.Duration(0))
	is.Equal(sleep.since(now.Add(2*time.Second), time.Hour+9*time.Second), 7*time.Second)
	is.Equal(sleep.since(now.Add(3*time.Second), time.Hour+10*time.Second), time.Duration(0))
	is.Equal(sleep.since(now.Add(4*time.Second), 0), time.Duration(0))
}
