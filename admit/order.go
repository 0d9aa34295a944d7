package admit

import (
	"math"
	"time"
)

const (
	// agingRate is how much the rank of a work item falls per second in the queue.
	// Ranks are in seconds of expected duration, and the lowest rank runs next.
	agingRate = 1.0
	// importanceBonus is how much each level of importance lowers the rank, as a
	// multiple of the mean duration of short work.
	importanceBonus = 5

	// missedSoftDeadlinePenalty is added to the rank of work that can no longer
	// meet its soft deadline, so that it runs after all work that can.
	missedSoftDeadlinePenalty = 1e6

	// CoDel refuses work once the queueing delay has been at or above delayTarget
	// for delayInterval.
	delayTarget   = 20 * time.Millisecond
	delayInterval = 100 * time.Millisecond
)

// Discipline decides in which order a controller runs queued work.
type Discipline struct {
	// Rank returns the rank of a queued work item; the lowest rank runs next.
	Rank func(item QueueItem, now time.Time) float64
	// Drop reports whether the work item that would run next is refused instead.
	// A nil Drop refuses none.
	Drop func(item QueueItem, queued int, now time.Time) bool
}

// FIFO runs work in the order of arrival.
func FIFO() Discipline {
	return Discipline{Rank: func(item QueueItem, now time.Time) float64 { return -now.Sub(item.ArrivedAt).Seconds() }}
}

// ShortestFirst runs the work with the shortest expected duration first. Time in
// the queue and importance lower the rank, so that long work does not starve and
// important work runs earlier.
func ShortestFirst() Discipline {
	return Discipline{Rank: func(item QueueItem, now time.Time) float64 {
		bonus := importanceBonus * time.Duration(item.Work.Importance) * item.MeanDuration
		return (item.rankDuration() - bonus).Seconds() - agingRate*now.Sub(item.ArrivedAt).Seconds()
	}}
}

// CoDel runs work in the order of arrival. Once the queueing delay has stayed
// above a target for an interval, it refuses work at a growing rate, as in the
// CoDel algorithm of active queue management.
func CoDel() Discipline {
	control := &codelState{}
	return Discipline{Rank: FIFO().Rank, Drop: control.drop}
}

// codelState is the drop state of CoDel. The longer the queueing delay stays
// above the target, the shorter is the time between two drops.
type codelState struct {
	aboveSince time.Time
	dropAt     time.Time
	dropped    int
}

func (dc *codelState) drop(item QueueItem, queued int, now time.Time) bool {
	if now.Sub(item.ArrivedAt) < delayTarget || queued <= 1 {
		dc.aboveSince, dc.dropped = time.Time{}, 0
		return false
	}
	if dc.aboveSince.IsZero() {
		dc.aboveSince = now
		dc.dropAt = now.Add(delayInterval)
	}
	if now.Before(dc.dropAt) {
		return false
	}
	dc.dropped++
	dc.dropAt = dc.dropAt.Add(time.Duration(float64(delayInterval) / math.Sqrt(float64(dc.dropped))))
	return true
}
