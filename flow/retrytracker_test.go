package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiamill.example/sequoiamill/flow"
)

// TestAgesRecognizeRetries simulates callers of one route that retry twice after
// failures. Each caller has a random deadline. The deadline that the node computes
// from each attempt is up to two milliseconds late, as the request takes that long
// to arrive.
func TestAgesRecognizeRetries(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 1))
	tracker := flow.NewRetryTracker()
	now := epoch
	wrong := 0
	for range 500 {
		now = now.Add(time.Duration(source.IntN(200)) * time.Millisecond)
		firstSent := now
		callerDeadline := firstSent.Add(3400*time.Millisecond + time.Duration(source.IntN(600_000))*time.Microsecond)
		for attempt := range 3 {
			at := firstSent.Add(time.Duration(attempt) * 900 * time.Millisecond)
			deadline := callerDeadline.Add(time.Duration(source.IntN(2000)) * time.Microsecond)
			got := tracker.FirstSent("r", deadline, at)
			if attempt == 0 && !got.Equal(at) || attempt > 0 && !got.Equal(firstSent) {
				wrong++
			}
			tracker.RecordFailure("r", deadline, got, at)
		}
	}
	is.True(wrong < 75) // of 1500 attempts: callers with nearly equal deadlines are confused
	is.True(tracker.Len() < 500)
}

// TestAgesKeepRoutesApart checks that a call is not taken for the retry of a failed
// call on another route, or of a failed call that was already matched to a retry.
func TestAgesKeepRoutesApart(t *testing.T) {
	is := is.New(t)
	tracker := flow.NewRetryTracker()
	callerDeadline := epoch.Add(time.Second)
	tracker.RecordFailure("r", callerDeadline, epoch, epoch)
	later := epoch.Add(300 * time.Millisecond)
	is.Equal(tracker.FirstSent("s", callerDeadline, later), later)
	is.Equal(tracker.FirstSent("r", callerDeadline, later), epoch)
	is.Equal(tracker.FirstSent("r", callerDeadline, later), later)
}

// TestAgesAreBounded checks that the number of stored calls is bounded and that
// calls whose deadline has passed are deleted.
func TestAgesAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := flow.NewRetryTracker()
	for number := range 20_000 {
		tracker.RecordFailure("r", epoch.Add(time.Hour+time.Duration(number)*time.Millisecond), epoch, epoch)
	}
	is.Equal(tracker.Len(), 8192)
	tracker.RecordFailure("r", epoch.Add(2*time.Hour), epoch, epoch.Add(90*time.Minute))
	is.Equal(tracker.Len(), 1)
}
