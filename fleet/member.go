// Package fleet holds the membership of the nodes: their records, the gossip
// that spreads them, failure detection and the choice of delegates.
//
// # Usage
//
//	table := fleet.NewTable(self, source)
//	effects := table.Tick(now)
//	effects = table.Answered(fleet.ExchangeAnswered{Peer: peer, Message: message}, now)
package fleet

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Status is what a node is believed to be.
type Status int

// The states of a member, a later one overriding an earlier one of the same
// incarnation.
const (
	Alive Status = iota + 1
	Suspect
	Dead
	Left
)

// String returns the kebab-case name of the state.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown-status"
	}
}

// Upstream is the local upstream that a node owns.
type Upstream struct {
	Slots       int
	Connections int
	WarmUp      time.Duration
	ReadyAt     time.Time
	// Leaving states that the upstream takes no new work.
	Leaving bool
}

// Member is one node's record. It is immutable.
type Member struct {
	ID          types.InstanceID
	Incarnation uint64
	Status      Status
	Address     types.Address
	Zone        types.Zone
	Region      types.Region
	Service     types.ServiceName
	Upstream    types.Option[Upstream]
	// Started is when the node's process started, by its own clock.
	Started time.Time
	// Held is the highest configuration version that the node reported.
	Held types.Version
	// Leaving states that the node takes no new work.
	Leaving bool
}

// WithStatus returns a copy in another state.
func (m Member) WithStatus(status Status) Member {
	m.Status = status
	return m
}

// WithIncarnation returns a copy of another incarnation.
func (m Member) WithIncarnation(incarnation uint64) Member {
	m.Incarnation = incarnation
	return m
}

// WithHeld returns a copy that holds at least a version.
func (m Member) WithHeld(version types.Version) Member {
	m.Held = max(m.Held, version)
	return m
}

// WithUpstream returns a copy with another upstream.
func (m Member) WithUpstream(service types.ServiceName, upstream types.Option[Upstream]) Member {
	m.Service = service
	m.Upstream = upstream
	return m
}

// WithLeaving returns a copy that takes no new work.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// TakesWork reports whether new work may be sent to the member's upstream.
func (m Member) TakesWork() bool {
	upstream, ok := m.Upstream.Get()
	return ok && !upstream.Leaving && !m.Leaving && m.Status == Alive
}

// overrides reports whether the record replaces an older belief.
func (m Member) overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}
