package admit

import (
	"math"
	"time"
)

const (
	// ageing is how much a second of waiting lowers a rank in seconds of
	// expected duration.
	ageing = 1.0
	// importanceBonus is the waiting that each level of importance is worth, in
	// multiples of the mean duration of work.
	importanceBonus = 5

	// latePenalty puts work that can't be of full use behind all that can.
	latePenalty = 1e6

	delayTarget   = 20 * time.Millisecond
	delayInterval = 100 * time.Millisecond
)

// Discipline orders the queue of a gate.
type Discipline struct {
	// Rank rates a waiting work; the lowest rank runs next.
	Rank func(waiting Waiting, now time.Time) float64
	// Drop reports whether the work that would run next is refused. It may be
	// nil.
	Drop func(waiting Waiting, queued int, now time.Time) bool
}

// FIFO runs works in the order of arrival.
func FIFO() Discipline {
	return Discipline{Rank: func(waiting Waiting, now time.Time) float64 { return -now.Sub(waiting.Since).Seconds() }}
}

// ShortestFirst runs the shortest expected work first; waiting makes up for
// length and importance for some waiting.
func ShortestFirst() Discipline {
	return Discipline{Rank: func(waiting Waiting, now time.Time) float64 {
		bonus := importanceBonus * time.Duration(waiting.Work.Importance) * waiting.Mean
		return (waiting.Expected - bonus).Seconds() - ageing*now.Sub(waiting.Since).Seconds()
	}}
}

// CoDel runs works in the order of arrival and refuses some once all have
// waited longer than a target for an interval.
func CoDel() Discipline {
	control := &delayControl{}
	return Discipline{Rank: FIFO().Rank, Drop: control.drop}
}

// delayControl drops more often the longer the delay stays above the target.
type delayControl struct {
	above   time.Time
	dropAt  time.Time
	dropped int
}

func (dc *delayControl) drop(waiting Waiting, queued int, now time.Time) bool {
	if now.Sub(waiting.Since) < delayTarget || queued <= 1 {
		dc.above, dc.dropped = time.Time{}, 0
		return false
	}
	if dc.above.IsZero() {
		dc.above = now
		dc.dropAt = now.Add(delayInterval)
	}
	if now.Before(dc.dropAt) {
		return false
	}
	dc.dropped++
	dc.dropAt = dc.dropAt.Add(time.Duration(float64(delayInterval) / math.Sqrt(float64(dc.dropped))))
	return true
}
