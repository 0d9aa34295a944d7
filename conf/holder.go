package conf

import (
	"time"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// Offered is the event that a snapshot, or the reason for having none, has
// arrived from the platform or from a peer.
type Offered struct {
	Snapshot Snapshot
	// Version is the version asked for, or 0 if it could not be read. The
	// version of a snapshot goes before it.
	Version types.Version
	// Digest is the hash of the root, if there is no snapshot.
	Digest types.Hash
	// Platform states that the root is the one that the platform holds now.
	Platform bool
	Err      *fault.Error
}

// Event marks the type as an event.
func (Offered) Event() {}

// Adopted is the effect that a snapshot is in force on this node.
type Adopted struct{ Snapshot Snapshot }

// Effect marks the type as an effect.
func (Adopted) Effect() {}

// Refused is the effect that a version was not taken.
type Refused struct {
	Version types.Version
	Err     *fault.Error
}

// Effect marks the type as an effect.
func (Refused) Effect() {}

// Holder decides which version is in force on one node.
type Holder struct {
	current Snapshot
	floor   types.Version
	refused Refused
	since   time.Time
}

// NewHolder returns a holder of the empty snapshot.
func NewHolder() *Holder { return &Holder{} }

// Current returns the snapshot in force.
func (h *Holder) Current() Snapshot { return h.current }

// Floor returns the lowest version that the node may serve.
func (h *Holder) Floor() types.Version { return h.floor }

// Refused returns the latest version that was not taken.
func (h *Holder) Refused() Refused { return h.refused }

// Since returns when the current snapshot was adopted.
func (h *Holder) Since() time.Time { return h.since }

// Ready reports whether a version at or above the floor is in force.
func (h *Holder) Ready() bool {
	return h.current.Version() > 0 && h.current.Version() >= h.floor
}

// RaiseFloor records that this slot held a version before.
func (h *Holder) RaiseFloor(version types.Version) {
	h.floor = max(h.floor, version)
}

// Offer takes a snapshot if its version is above the current one and not
// below the floor. An offer that is not above the current version changes
// nothing in force. If it comes from the platform and differs from what is in
// force, it is kept for the status, as is every bad offer above the current
// version. The next version taken clears it.
func (h *Holder) Offer(offer Offered, now time.Time) []types.Effect {
	if offer.Err == nil && offer.Snapshot.Version() != 0 {
		offer.Version, offer.Digest = offer.Snapshot.Version(), offer.Snapshot.Digest()
	}
	switch {
	case offer.Version != 0 && offer.Version <= h.current.Version():
		return h.compare(offer)
	case offer.Err != nil:
		return h.refuse(offer)
	case offer.Snapshot.Version() == 0:
		return nil
	case offer.Version < h.floor:
		return h.compare(offer)
	}
	h.current = offer.Snapshot
	h.floor = offer.Version
	h.since = now
	if h.refused.Version <= offer.Version {
		h.refused = Refused{}
	}
	return []types.Effect{Adopted{Snapshot: offer.Snapshot}}
}

func (o Offered) with(format string, args ...any) Offered {
	o.Err = fault.New(fault.ConfigRefused, format, args...)
	return o
}

// compare judges an offer of a version that is not above the one in force.
func (h *Holder) compare(offer Offered) []types.Effect {
	switch {
	case !offer.Platform:
		return nil
	case offer.Version < h.floor:
		return h.refuse(offer.with("the platform's root went back from version %d to %d", h.floor, offer.Version))
	case offer.Digest != h.current.Digest():
		return h.refuse(offer.with("the platform's root of version %d differs from the one in force", offer.Version))
	}
	h.refused = Refused{}
	return nil
}

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
