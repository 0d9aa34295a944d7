package types

import "time"

// TimerKind states what a timer is for.
type TimerKind int

// The kinds of timers.
const (
	CallDeadline TimerKind = iota + 1
	CallHedge
	QueueDeadline
	RateLimitReset
	UpstreamEndSettled
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
	case RateLimitReset:
		return "rate-limit-reset"
	case UpstreamEndSettled:
		return "upstream-end-settled"
	default:
		return "unknown-timer"
	}
}

// Timer identifies a timer of a node's state machine. Call is set for the kinds
// CallDeadline and CallHedge, Work for QueueDeadline, none for the others.
type Timer struct {
	Kind TimerKind
	Call CallID
	Work WorkID
}

// SetTimer is the effect that schedules the event TimerFired for the time At.
type SetTimer struct {
	Timer Timer
	At    time.Time
}

// Effect implements Effect.
func (SetTimer) Effect() {}

// TimerFired is the event that a timer expired. It is ignored if the call or work
// item of the timer has already ended.
type TimerFired struct{ Timer Timer }

// Event implements Event.
func (TimerFired) Event() {}
