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
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// GoneFor is how long ago the member was found dead or left, as told in a
	// message.
	GoneFor time.Duration
}

// Report states the configuration version that a member holds.
type Report struct {
	ID   types.InstanceID
	Held types.Version
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

// WithStarted returns a copy of a process started at another instant.
func (m Member) WithStarted(started time.Time) Member {
	m.Started = started
	return m
}

// WithGoneFor returns a copy that was found dead or left some time ago.
func (m Member) WithGoneFor(age time.Duration) Member {
	m.GoneFor = age
	return m
}

// Gone reports whether the member is dead or left.
func (m Member) Gone() bool { return m.Status == Dead || m.Status == Left }

// overrides reports whether the record replaces an older belief: that of a
// process started later, of a higher incarnation, or of a later state.
func (m Member) overrides(old Member) bool {
	if !m.Started.Equal(old.Started) {
		return m.Started.After(old.Started)
	}
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}

// withdraws reports whether the record takes back an offer to do work.
func (m Member) withdraws(old Member) bool {
	return old.TakesWork() && !m.TakesWork() && m.Status != Suspect
}

// size returns an upper bound of the encoded record in bytes.
func (m Member) size() int {
	const fixed = 88
	return fixed + len(m.ID) + len(m.Address) + len(m.Zone) + len(m.Region) + len(m.Service)
}

// heldHash returns a hash of the version that the member reported.
func (m Member) heldHash() uint64 {
	const room = 64
	buffer := append(make([]byte, 0, room), m.ID...)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(buffer, uint64(m.Held)))
}

// hash returns a hash of all else that the nodes must agree on.
func (m Member) hash() uint64 {
	const room = 256
	buffer := make([]byte, 0, room)
	for _, text := range []string{string(m.ID), string(m.Address), string(m.Zone), string(m.Region), string(m.Service)} {
		buffer = append(append(buffer, text...), 0)
	}
	upstream, _ := m.Upstream.Get()
	numbers := []uint64{
		m.Incarnation, uint64(m.Status), uint64(m.Started.UnixMilli()), flag(m.Leaving),
		flag(m.Upstream.IsSome()), flag(upstream.Leaving), uint64(upstream.Slots), uint64(upstream.Connections),
		uint64(upstream.WarmUp.Milliseconds()), uint64(upstream.ReadyAt.UnixMilli()),
	}
	for _, number := range numbers {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	return xxhash.Sum64(buffer)
}

func flag(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}
