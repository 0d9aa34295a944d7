package farm

import (
	"container/heap"
	"time"
)

// virtual runs functions in the order of their instants on virtual time.
type virtual struct {
	now  time.Time
	todo agenda
	next int
}

type appointment struct {
	at    time.Time
	order int
	run   func()
}

// after plans a function for a time after the present one.
func (vt *virtual) after(wait time.Duration, run func()) {
	vt.next++
	heap.Push(&vt.todo, appointment{at: vt.now.Add(max(wait, 0)), order: vt.next, run: run})
}

// runUntil runs all that is planned up to an instant.
func (vt *virtual) runUntil(end time.Time) {
	for len(vt.todo) > 0 && !vt.todo[0].at.After(end) {
		next := heap.Pop(&vt.todo).(appointment)
		vt.now = next.at
		next.run()
	}
	vt.now = end
}

type agenda []appointment

// Len returns the number of appointments.
func (a agenda) Len() int { return len(a) }

// Less orders by instant, then by the time of planning.
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}

// Swap exchanges two appointments.
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an appointment.
func (a *agenda) Push(x any) { *a = append(*a, x.(appointment)) }

// Pop removes the last appointment.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
