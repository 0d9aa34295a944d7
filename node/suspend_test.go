package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSuspension(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var detector suspendDetector
	is.Equal(detector.sinceLast(now, time.Hour), time.Duration(0))
	is.Equal(detector.sinceLast(now.Add(time.Second), time.Hour+time.Second), time.Duration(0))
	is.Equal(detector.sinceLast(now.Add(2*time.Second), time.Hour+9*time.Second), 7*time.Second)
	is.Equal(detector.sinceLast(now.Add(3*time.Second), time.Hour+10*time.Second), time.Duration(0))
	is.Equal(detector.sinceLast(now.Add(4*time.Second), 0), time.Duration(0))
}
