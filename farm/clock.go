package farm

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// virtualClock runs functions in virtual time, in the order of the times for which
// they are scheduled.
type virtualClock struct {
	now    time.Time
	events eventQueue
	// scheduled is the number of events scheduled so far.
	scheduled int
}

// event is a function scheduled for a virtual time.
type event struct {
	at time.Time
	// sequence breaks ties between events of the same time.
	sequence int
	run      func()
}

// after schedules a function to run after a delay. A negative delay counts as
// zero.
func (vc *virtualClock) after(delay time.Duration, run func()) {
	vc.scheduled++
	heap.Push(&vc.events, event{at: vc.now.Add(max(delay, 0)), sequence: vc.scheduled, run: run})
}

// runUntil runs the functions that are scheduled for end or earlier, and then sets
// the clock to end. A function that runs may schedule further functions; runUntil
// also runs these if they are due by end.
func (vc *virtualClock) runUntil(end time.Time) {
	for len(vc.events) > 0 && !vc.events[0].at.After(end) {
		next := heap.Pop(&vc.events).(event)
		vc.now = next.at
		next.run()
	}
	vc.now = end
}

// eventQueue is a heap of events with the next event first. It implements
// heap.Interface.
type eventQueue []event

// Len implements heap.Interface.
func (eq eventQueue) Len() int { return len(eq) }

// Less implements heap.Interface. It orders events by time, and events of the same
// time in the order in which they were scheduled.
func (eq eventQueue) Less(i, j int) bool {
	if !eq[i].at.Equal(eq[j].at) {
		return eq[i].at.Before(eq[j].at)
	}
	return eq[i].sequence < eq[j].sequence
}

// Swap implements heap.Interface.
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }

// Push implements heap.Interface.
func (eq *eventQueue) Push(x any) { *eq = append(*eq, x.(event)) }

// Pop implements heap.Interface.
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

// uniform returns a number between low and high.
func uniform(source *rand.Rand, low, high float64) float64 {
	return low + float64((high-low)*source.Float64())
}
