// Package canary decides on roll-outs: it moves the work of a service from the upstreams of
// one version to those of another, keeps the exposure of callers to an unproved version
// bounded, and judges the version by comparison with the old one. It answers for a load
// that upstreams refuse or answer badly because of their software: its callers need that
// few of them meet it, and for a short time.
//
// A Rollout holds what one node knows of one order. Nodes merge each other's reports in any
// order and any number of times, and come to the same result. All of it is without I/O,
// clock and randomness.
//
// # Usage
//
//	rollout := canary.NewRollout(order, canary.Trial, now)
//	rollout.Record(key, canary.Answer{Route: "status", Elapsed: elapsed})
//	changed := rollout.Merge(report, now)
//	rollout.Observe(view, now)
//	phase, reason := rollout.Next(view, now)
package canary

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Bound limits the exposure of callers to a version that is not trusted.
type Bound struct {
	// Share is the part of all requests to the service that the version may get, and Slack
	// the number of requests beyond.
	Share float64
	Slack float64
	// Rollback is how long after the evidence of a bad version the last request may be
	// sent to it.
	Rollback time.Duration
}

// DefaultBound returns the bound that applies if none is set.
func DefaultBound() Bound { return Bound{Share: 0.1, Slack: 50, Rollback: 5 * time.Second} }

// aimedPart is the part of Bound.Share that entry nodes aim at. The rest is for requests
// that are counted at an entry and reach no upstream.
const aimedPart = 0.65

// Aim returns the share of its own requests that an entry node sends to the version.
func (b Bound) Aim() float64 { return float64(aimedPart * b.Share) }

// OrderID identifies an order of a service. An order that an operator has changed has
// another one.
type OrderID uint64

// Order is an operator's order to move the work of a service to the upstreams of a version.
type Order struct {
	ID      OrderID
	Service types.ServiceName
	To      types.UpstreamVersion
	// Sequence is higher for later orders of a service.
	Sequence int64
	// Start is when the order was first read, and Deadline when the roll-out must have
	// ended.
	Start    time.Time
	Deadline time.Time
}

// Same reports whether both are the same order.
func (o Order) Same(other Order) bool { return o.ID == other.ID && o.Service == other.Service }

// supersedes reports whether the order takes the place of another one of its service.
func (o Order) supersedes(other Order) bool {
	return o.Sequence > other.Sequence || o.Sequence == other.Sequence && o.ID > other.ID
}

// State is the state of a roll-out, as operators read it.
type State int

// The states of a roll-out.
const (
	Running State = iota + 1
	Completed
	RolledBack
)

// String returns the kebab-case name of the state.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled-back"
	default:
		return "unknown-state"
	}
}

// Phase is how far a roll-out has come. A roll-out only goes on to later phases, so that
// nodes that know different ones agree on the latest.
type Phase int

// The phases of a roll-out. On trial, the version gets few of the requests. While the work
// shifts, it gets all, and the old upstreams end what they run. Done and Back are final.
const (
	Trial Phase = iota + 1
	Shifting
	Done
	Back
)

var phaseNames = map[Phase]string{Trial: "trial", Shifting: "shifting", Done: "done", Back: "back"}

// String returns the kebab-case name of the phase.
func (p Phase) String() string {
	if name, ok := phaseNames[p]; ok {
		return name
	}
	return "unknown-phase"
}

// ParsePhase returns the phase with a name, or false if there is none.
func ParsePhase(name string) (Phase, bool) {
	for phase, known := range phaseNames {
		if known == name {
			return phase, true
		}
	}
	return 0, false
}

// Final reports whether the roll-out has ended.
func (p Phase) Final() bool { return p >= Done }

// State returns the state of a roll-out in the phase.
func (p Phase) State() State {
	switch p {
	case Done:
		return Completed
	case Back:
		return RolledBack
	default:
		return Running
	}
}

// Status is a roll-out as a node knows it.
type Status struct {
	Order  Order
	Phase  Phase
	Reason string
}
