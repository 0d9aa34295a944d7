package types

import "time"

// TimerKind tells what a timer is for.
type TimerKind int

// The kinds of timers.
const (
	CallDeadline TimerKind = iota + 1
	CallHedge
	QueueDeadline
)

// String returns the kebab-case name of the kind.
func (k TimerKind) String() string {
	switch k {
	case CallDeadline:
		return "call-deadline"
	case CallHedge:
		return "call-hedge"
	case QueueDeadline:
		return "queue-deadline"
	default:
		return "unknown-timer"
	}
}

// Timer identifies one timer of the reducer.
type Timer struct {
	Kind TimerKind
	Call CallID
	Work WorkID
}

// SetTimer is the effect to deliver TimerFired at an instant.
type SetTimer struct {
	Timer Timer
	At    time.Time
}

// Effect marks the type as an effect.
func (SetTimer) Effect() {}

// TimerFired is the event that a timer is due. A timer of finished work is
// ignored.
type TimerFired struct{ Timer Timer }

// Event marks the type as an event.
func (TimerFired) Event() {}
