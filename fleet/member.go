// Package fleet maintains one node's view of the mesh's membership. It spreads
// member records by gossip, detects failed nodes and elects delegates: the few
// nodes of each zone that watch the platform's object API for new configurations
// on behalf of the others.
//
// A Table does no I/O: its methods take events and return the effects, such as
// messages to send, that the caller must carry out.
//
// # Usage
//
//	table := fleet.NewTable(self, source)
//	effects := table.Tick(now)
//	effects = table.HandleExchangeAnswered(fleet.ExchangeAnswered{Peer: peer, Message: message}, now)
package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiamill.example/sequoiamill/types"
)

// MaxNameLength is the maximum length in bytes of a name in a member's record. Other nodes
// refuse a message with a longer one.
const MaxNameLength = 253

// Status is the state of a member as seen by the local node.
type Status int

// The states of a member. Between records of the same incarnation, the state
// listed later takes precedence.
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

// Upstream describes the upstream process that runs on a node's instance.
type Upstream struct {
	Slots       int
	Connections int
	WarmUp      time.Duration
	ReadyAt     time.Time
	// Leaving is true if the upstream accepts no new work.
	Leaving bool
	// Version is the version of the upstream's software, or empty if it is not known. It
	// is no part of the record's hash, as nodes of earlier builds pass records on
	// without it.
	Version types.UpstreamVersion
}

// Member is the membership record of one node. It is immutable: the With
// methods return changed copies.
type Member struct {
	ID          types.InstanceID
	Incarnation uint64
	Status      Status
	Address     types.Address
	Zone        types.Zone
	Region      types.Region
	Service     types.ServiceName
	Upstream    types.Option[Upstream]
	// StartedAt is when the node's process started, by its own clock.
	StartedAt time.Time
	// HeldVersion is the highest configuration version that the node is known
	// to have held.
	HeldVersion types.Version
	// Leaving is true if the node is shutting down and accepts no new work.
	Leaving bool
	// Detached is true if the node's calls to the platform get no answer.
	Detached bool
	// Departure is the latest departure of a process of the node's upstream.
	Departure types.Option[Departure]
	// GoneFor is how long the sender of a message has known that the member is
	// dead or left. It is zero in records that are not part of a message.
	GoneFor time.Duration
}

// VersionReport carries the highest configuration version that a member holds,
// for a member whose record is otherwise unchanged.
type VersionReport struct {
	ID          types.InstanceID
	HeldVersion types.Version
}

// WithStatus returns a copy of the record with the given status.
func (m Member) WithStatus(status Status) Member {
	m.Status = status
	return m
}

// WithIncarnation returns a copy of the record with the given incarnation.
func (m Member) WithIncarnation(incarnation uint64) Member {
	m.Incarnation = incarnation
	return m
}

// WithHeldVersion returns a copy of the record whose HeldVersion is raised to the
// given version if that is higher.
func (m Member) WithHeldVersion(version types.Version) Member {
	m.HeldVersion = max(m.HeldVersion, version)
	return m
}

// WithUpstream returns a copy of the record with the given service and
// upstream.
func (m Member) WithUpstream(service types.ServiceName, upstream types.Option[Upstream]) Member {
	m.Service = service
	m.Upstream = upstream
	return m
}

// WithLeaving returns a copy of the record that is marked as leaving.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// WithDetached returns a copy of the record with Detached set to the given value.
func (m Member) WithDetached(detached bool) Member {
	m.Detached = detached
	return m
}

// AcceptsWork reports whether new work may be sent to the member's upstream.
func (m Member) AcceptsWork() bool {
	upstream, ok := m.Upstream.Get()
	return ok && !upstream.Leaving && !m.Leaving && m.Status == Alive
}

// WithStartedAt returns a copy of the record with the given process start time.
func (m Member) WithStartedAt(startedAt time.Time) Member {
	m.StartedAt = startedAt
	return m
}

// WithGoneFor returns a copy of the record with GoneFor set to age, the time
// for which the member is known to be dead or to have left.
func (m Member) WithGoneFor(age time.Duration) Member {
	m.GoneFor = age
	return m
}

// Gone reports whether the member's status is Dead or Left.
func (m Member) Gone() bool { return m.Status == Dead || m.Status == Left }

// overrides reports whether the record takes precedence over another record of
// the same member. The later process start wins, then the higher incarnation,
// then the later state.
func (m Member) overrides(old Member) bool {
	if !m.StartedAt.Equal(old.StartedAt) {
		return m.StartedAt.After(old.StartedAt)
	}
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}

// withdraws reports whether the member accepted new work according to the old
// record and no longer does. A suspicion does not count.
func (m Member) withdraws(old Member) bool {
	return old.AcceptsWork() && !m.AcceptsWork() && m.Status != Suspect
}

// size returns an upper bound for the size of the encoded record in bytes.
func (m Member) size() int {
	const fixedSize = 88
	size := fixedSize + len(m.ID) + len(m.Address) + len(m.Zone) + len(m.Region) + len(m.Service)
	if upstream, ok := m.Upstream.Get(); ok {
		size += len(upstream.Version)
	}
	if departure, ok := m.Departure.Get(); ok {
		size += departureSize + len(departure.Process)
	}
	return size
}

// heldHash returns a hash of the member's ID and the configuration version
// that it holds.
func (m Member) heldHash() uint64 {
	const initialCap = 64
	buffer := append(make([]byte, 0, initialCap), m.ID...)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(buffer, uint64(m.HeldVersion)))
}

// hash returns a hash of all fields on which the nodes must agree, except for
// HeldVersion, which heldHash covers.
func (m Member) hash() uint64 {
	const initialCap = 256
	buffer := make([]byte, 0, initialCap)
	for _, field := range []string{string(m.ID), string(m.Address), string(m.Zone), string(m.Region), string(m.Service)} {
		buffer = append(append(buffer, field...), 0)
	}
	upstream, _ := m.Upstream.Get()
	departure, departed := m.Departure.Get()
	buffer = append(append(buffer, departure.Process...), 0)
	numbers := []uint64{
		m.Incarnation, uint64(m.Status), uint64(m.StartedAt.UnixMilli()), boolToUint64(m.Leaving),
		boolToUint64(m.Upstream.IsSome()), boolToUint64(upstream.Leaving), uint64(upstream.Slots), uint64(upstream.Connections),
		uint64(upstream.WarmUp.Milliseconds()), uint64(upstream.ReadyAt.UnixMilli()),
		boolToUint64(departed), boolToUint64(departure.Ended), departure.Sequence, uint64(departure.StartedAt.UnixMilli()),
	}
	// Nodes that do not know Detached have the same hash of a record without it.
	if m.Detached {
		numbers = append(numbers, 1)
	}
	for _, number := range numbers {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	return xxhash.Sum64(buffer)
}

func boolToUint64(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}
