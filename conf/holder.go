package conf

import (
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// Offered is the event that a configuration was fetched from the platform or
// received from a peer. It carries the decoded snapshot, or the error if
// fetching or decoding failed.
type Offered struct {
	Snapshot Snapshot
	// Version is the version of the configuration, or 0 if it could not be read.
	// If Snapshot is set, its own version is used instead.
	Version types.Version
	// Digest is the hash of the encoded root. If Snapshot is set, its own digest is
	// used instead.
	Digest types.Hash
	// Platform is true if the configuration is the one that the platform
	// currently stores.
	Platform bool
	Err      *fault.Error
}

// Event implements types.Event.
func (Offered) Event() {}

// Adopted is the effect to put a snapshot into force on this node.
type Adopted struct{ Snapshot Snapshot }

// Effect implements types.Effect.
func (Adopted) Effect() {}

// Refused is the effect to report that the node refused a configuration version,
// and why.
type Refused struct {
	Version types.Version
	Err     *fault.Error
}

// Effect implements types.Effect.
func (Refused) Effect() {}

// Holder holds the configuration in force on a node and decides whether to replace
// it by one that is offered.
type Holder struct {
	current Snapshot
	floor   types.Version
	refused Refused
	// adoptedAt is when current was adopted.
	adoptedAt time.Time
}

// NewHolder returns a Holder with the empty snapshot, which has version 0.
func NewHolder() *Holder { return &Holder{} }

// Current returns the snapshot in force.
func (h *Holder) Current() Snapshot { return h.current }

// Floor returns the lowest version that the node may put into force. It is the
// highest version that the node is known to have held.
func (h *Holder) Floor() types.Version { return h.floor }

// Refused returns the last refused version, or the zero value if there is none or
// its record was cleared by Offer.
func (h *Holder) Refused() Refused { return h.refused }

// Since returns when the current snapshot was adopted.
func (h *Holder) Since() time.Time { return h.adoptedAt }

// Ready reports whether a version at or above the floor is in force.
func (h *Holder) Ready() bool {
	return h.current.Version() > 0 && h.current.Version() >= h.floor
}

// RaiseFloor raises the floor to a version that this node's instance already held,
// such as before a restart of the node.
func (h *Holder) RaiseFloor(version types.Version) {
	h.floor = max(h.floor, version)
}

// Offer adopts the offered snapshot if its version is above the current one and
// not below the floor. Otherwise the configuration in force stays.
//
// An invalid offer of a version above the current one, or of an unknown version,
// is recorded as refused. So is an offer from the platform whose version is below
// the floor, or that has the current version but another digest. The record is
// cleared when the refused version or a higher one is adopted, or when the platform
// offers the current version with its digest.
func (h *Holder) Offer(offer Offered, now time.Time) []types.Effect {
	if offer.Err == nil && offer.Snapshot.Version() != 0 {
		offer.Version, offer.Digest = offer.Snapshot.Version(), offer.Snapshot.Digest()
	}
	switch {
	case offer.Version != 0 && offer.Version <= h.current.Version():
		return h.checkPlatformRoot(offer)
	case offer.Err != nil:
		return h.refuse(offer)
	case offer.Snapshot.Version() == 0:
		return nil
	case offer.Version < h.floor:
		return h.checkPlatformRoot(offer)
	}
	h.current = offer.Snapshot
	h.floor = offer.Version
	h.adoptedAt = now
	if h.refused.Version <= offer.Version {
		h.refused = Refused{}
	}
	return []types.Effect{Adopted{Snapshot: offer.Snapshot}}
}

// withRefusal returns a copy of the offer whose error is of kind ConfigRefused.
func (o Offered) withRefusal(format string, args ...any) Offered {
	o.Err = fault.New(fault.ConfigRefused, format, args...)
	return o
}

// checkPlatformRoot handles an offer that can't be adopted because its version is
// too low. It refuses the offer if the platform stores a version below the floor or
// another root for the current version.
func (h *Holder) checkPlatformRoot(offer Offered) []types.Effect {
	switch {
	case !offer.Platform:
		return nil
	case offer.Version < h.floor:
		return h.refuse(offer.withRefusal("the platform's root went back from version %d to %d", h.floor, offer.Version))
	case offer.Digest != h.current.Digest():
		return h.refuse(offer.withRefusal("the platform's root of version %d differs from the one in force", offer.Version))
	}
	h.refused = Refused{}
	return nil
}

// refuse records a refused offer and reports it. It ignores errors of other kinds
// than ConfigRefused, and an offer with the same version and message as the last
// refused one.
func (h *Holder) refuse(offer Offered) []types.Effect {
	if offer.Err.Kind != fault.ConfigRefused {
		return nil
	}
	refused := Refused{Version: offer.Version, Err: offer.Err}
	if h.refused.Version == refused.Version && h.refused.Err != nil && h.refused.Err.Message == offer.Err.Message {
		return nil
	}
	h.refused = refused
	return []types.Effect{refused}
}
