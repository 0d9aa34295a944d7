package fakes

import (
	"container/heap"
	"time"
)

// Virtual runs functions in the order of their instants on virtual time.
type Virtual struct {
	now  time.Time
	todo agenda
	next int
}

type appointment struct {
	at    time.Time
	order int
	run   func()
}

// NewVirtual returns a virtual time that starts at an instant.
func NewVirtual(start time.Time) *Virtual { return &Virtual{now: start} }

// Now returns the present instant.
func (vt *Virtual) Now() time.Time { return vt.now }

// After plans a function for a time after the present one.
func (vt *Virtual) After(wait time.Duration, run func()) {
	vt.next++
	heap.Push(&vt.todo, appointment{at: vt.now.Add(max(wait, 0)), order: vt.next, run: run})
}

// RunUntil runs all that is planned up to an instant.
func (vt *Virtual) RunUntil(end time.Time) {
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
