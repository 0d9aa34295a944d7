package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/flow"
)

// TestAgesRecognizeRetries simulates callers of one route with random deadlines that
// retry twice after failures. The deadline that the node computes from each attempt
// is up to two milliseconds late, as the request takes that long to arrive.
func TestAgesRecognizeRetries(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 1))
	ages := flow.NewAges()
	now := epoch
	wrong := 0
	for range 500 {
		now = now.Add(time.Duration(source.IntN(200)) * time.Millisecond)
		first := now
		until := first.Add(3400*time.Millisecond + time.Duration(source.IntN(600_000))*time.Microsecond)
		for attempt := range 3 {
			at := first.Add(time.Duration(attempt) * 900 * time.Millisecond)
			deadline := until.Add(time.Duration(source.IntN(2000)) * time.Microsecond)
			got := ages.First("r", deadline, at)
			if attempt == 0 && !got.Equal(at) || attempt > 0 && !got.Equal(first) {
				wrong++
			}
			ages.Failed("r", deadline, got, at)
		}
	}
	is.True(wrong < 75) // of 1500 attempts: callers with nearly equal deadlines are confused
	is.True(ages.Len() < 500)
}

// TestAgesKeepRoutesApart checks that a call is not taken for a retry of a failed
// call of another route, or of one whose retry has already come.
func TestAgesKeepRoutesApart(t *testing.T) {
	is := is.New(t)
	ages := flow.NewAges()
	until := epoch.Add(time.Second)
	ages.Failed("r", until, epoch, epoch)
	later := epoch.Add(300 * time.Millisecond)
	is.Equal(ages.First("s", until, later), later)
	is.Equal(ages.First("r", until, later), epoch)
	is.Equal(ages.First("r", until, later), later)
}

// TestAgesAreBounded checks that the number of stored calls is bounded and that
// calls whose deadline has passed are deleted.
func TestAgesAreBounded(t *testing.T) {
	is := is.New(t)
	ages := flow.NewAges()
	for number := range 20_000 {
		ages.Failed("r", epoch.Add(time.Hour+time.Duration(number)*time.Millisecond), epoch, epoch)
	}
	is.Equal(ages.Len(), 8192)
	ages.Failed("r", epoch.Add(2*time.Hour), epoch, epoch.Add(90*time.Minute))
	is.Equal(ages.Len(), 1)
}
