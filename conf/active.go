package conf

import (
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// Reading is how a node came to read the configuration from the platform.
type Reading string

// The ways in which a node reads the configuration.
const (
	ReadByWatch Reading = "watch"
	ReadByPoll  Reading = "poll"
	// ReadInPlace is a read in place of a node whose reads are missing or not answered.
	ReadInPlace    Reading = "read for another"
	ReadAtJoin     Reading = "join"
	ReadAfterWrite Reading = "write"
)

// VersionOffered is the event that a configuration was fetched from the platform or
// received from a peer. It carries the decoded snapshot, or the error if
// fetching or decoding failed.
type VersionOffered struct {
	Snapshot Snapshot
	// Version is the version of the configuration, or 0 if it could not be read.
	// If Snapshot is set, the snapshot's version is used instead.
	Version types.Version
	// Digest is the hash of the encoded root. If Snapshot is set, the snapshot's
	// digest is used instead.
	Digest types.Hash
	// FromPlatform is true if the configuration is the one that the platform
	// currently stores. Reading tells how it was read there.
	FromPlatform bool
	Reading      Reading
	// Peer is the node that sent the configuration, or empty if none did.
	Peer types.InstanceID
	Err  *fault.Error
}

// Origin describes where the configuration came from, for the timeline.
func (o VersionOffered) Origin() string {
	switch {
	case o.FromPlatform && o.Reading != "":
		return "from the platform, by " + string(o.Reading)
	case o.FromPlatform:
		return "from the platform"
	case o.Peer != "":
		return "from " + string(o.Peer)
	default:
		return ""
	}
}

// Event implements types.Event.
func (VersionOffered) Event() {}

// VersionAdopted is the effect that makes a snapshot the configuration in force on
// this node, that is, the one that the node applies.
type VersionAdopted struct{ Snapshot Snapshot }

// Effect implements types.Effect.
func (VersionAdopted) Effect() {}

// VersionRefused is the effect to report that the node refused a configuration version,
// and why.
type VersionRefused struct {
	Version types.Version
	Err     *fault.Error
}

// Effect implements types.Effect.
func (VersionRefused) Effect() {}

// ActiveConfig holds the configuration in force on a node and decides whether an
// offered configuration replaces it.
type ActiveConfig struct {
	current Snapshot
	floor   types.Version
	refused VersionRefused
	// adoptedAt is when current was adopted.
	adoptedAt time.Time
}

// NewActiveConfig returns an ActiveConfig with the empty snapshot, which has version 0.
func NewActiveConfig() *ActiveConfig { return &ActiveConfig{} }

// Current returns the snapshot in force.
func (ac *ActiveConfig) Current() Snapshot { return ac.current }

// Floor returns the lowest version that the node may adopt. This is the highest
// version that the node is known to have held, including before a restart.
func (ac *ActiveConfig) Floor() types.Version { return ac.floor }

// Refused returns the last refused version, or the zero value if no version was
// refused or Offer has cleared the record.
func (ac *ActiveConfig) Refused() VersionRefused { return ac.refused }

// AdoptedAt returns when the current snapshot was adopted.
func (ac *ActiveConfig) AdoptedAt() time.Time { return ac.adoptedAt }

// Ready reports whether a version at or above the floor is in force.
func (ac *ActiveConfig) Ready() bool {
	return ac.current.Version() > 0 && ac.current.Version() >= ac.floor
}

// RaiseFloor raises the floor to the given version, which this instance is known
// to have held, for example before a restart. A lower version has no effect.
func (ac *ActiveConfig) RaiseFloor(version types.Version) {
	ac.floor = max(ac.floor, version)
}

// Offer adopts the offered snapshot if its version is above the current one and
// not below the floor. Otherwise the configuration in force stays.
//
// Offer records these offers as refused:
//
//   - an invalid configuration whose version is above the current one or unknown
//   - a version below the floor, if the platform stores it
//   - the current version with another digest, if the platform stores it
//
// Offer clears the record when it adopts the refused version or a higher one, or
// when the platform stores the current version with the current digest.
func (ac *ActiveConfig) Offer(offer VersionOffered, now time.Time) []types.Effect {
	if offer.Err == nil && offer.Snapshot.Version() != 0 {
		offer.Version, offer.Digest = offer.Snapshot.Version(), offer.Snapshot.Digest()
	}
	switch {
	case offer.Version != 0 && offer.Version <= ac.current.Version():
		return ac.checkPlatformRoot(offer)
	case offer.Err != nil:
		return ac.refuse(offer)
	case offer.Snapshot.Version() == 0:
		return nil
	case offer.Version < ac.floor:
		return ac.checkPlatformRoot(offer)
	}
	ac.current = offer.Snapshot
	ac.floor = offer.Version
	ac.adoptedAt = now
	if ac.refused.Version <= offer.Version {
		ac.refused = VersionRefused{}
	}
	return []types.Effect{VersionAdopted{Snapshot: offer.Snapshot}}
}

// withRefusal returns a copy of the offer whose error is of kind ConfigRefused.
func (o VersionOffered) withRefusal(format string, args ...any) VersionOffered {
	o.Err = fault.New(fault.ConfigRefused, format, args...)
	return o
}

// checkPlatformRoot handles an offer that can't be adopted because its version is
// too low. If the offer comes from the platform, it is refused when its version
// is below the floor, or when it has the current version but another root.
func (ac *ActiveConfig) checkPlatformRoot(offer VersionOffered) []types.Effect {
	switch {
	case !offer.FromPlatform:
		return nil
	case offer.Version < ac.floor:
		return ac.refuse(offer.withRefusal("the platform's root went back from version %d to %d", ac.floor, offer.Version))
	case offer.Digest != ac.current.Digest():
		return ac.refuse(offer.withRefusal("the platform's root of version %d differs from the one in force", offer.Version))
	}
	ac.refused = VersionRefused{}
	return nil
}

// refuse records a refused offer and reports it. It ignores an offer whose error
// is not of kind ConfigRefused, and one with the same version and message as the
// last refused offer.
func (ac *ActiveConfig) refuse(offer VersionOffered) []types.Effect {
	if offer.Err.Kind != fault.ConfigRefused {
		return nil
	}
	refused := VersionRefused{Version: offer.Version, Err: offer.Err}
	if ac.refused.Version == refused.Version && ac.refused.Err != nil && ac.refused.Err.Message == offer.Err.Message {
		return nil
	}
	ac.refused = refused
	return []types.Effect{refused}
}
