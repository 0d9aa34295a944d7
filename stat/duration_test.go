package stat_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/stat"
	"sequoiamill.example/sequoiamill/types"
)

func TestTypicalDurationIgnoresOutliers(t *testing.T) {
	check := is.New(t)
	durations := stat.NewDurations()
	_, known := durations.Typical("status")
	check.True(!known)
	now := time.Unix(0, 0)
	for number := range 500 {
		elapsed := 10 * time.Millisecond
		if number%50 == 49 {
			elapsed = time.Second
		}
		durations.Observe("status", elapsed, now)
	}
	typical, known := durations.Typical("status")
	check.True(known)
	check.True(typical > 9*time.Millisecond && typical < 14*time.Millisecond) // most samples are 10ms long, every 50th is 1s
}

func TestRoutesAreBounded(t *testing.T) {
	check := is.New(t)
	durations := stat.NewDurations()
	now := time.Unix(0, 0)
	for number := range 3000 {
		now = now.Add(time.Millisecond)
		durations.Observe(types.RouteName(fmt.Sprint(number)), time.Millisecond, now)
	}
	check.Equal(durations.Len(), 1024)
	_, known := durations.Typical("2999")
	check.True(known)
	_, known = durations.Typical("0")
	check.True(!known)
}
