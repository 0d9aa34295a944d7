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
	// Version is the version asked for.
	Version types.Version
	Err     *fault.Error
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

// Ready reports whether a version at or above the floor is in force.
func (h *Holder) Ready() bool {
	return h.current.Version() > 0 && h.current.Version() >= h.floor
}

// RaiseFloor records that this slot held a version before.
func (h *Holder) RaiseFloor(version types.Version) {
	h.floor = max(h.floor, version)
}

// Offer takes a snapshot if its version is above the current one and not
// below the floor.
func (h *Holder) Offer(offer Offered, now time.Time) []types.Effect {
	if offer.Err != nil {
		return h.refuse(offer)
	}
	version := offer.Snapshot.Version()
	if version <= h.current.Version() || version < h.floor {
		return nil
	}
	h.current = offer.Snapshot
	h.floor = version
	h.since = now
	if h.refused.Version <= version {
		h.refused = Refused{}
	}
	return []types.Effect{Adopted{Snapshot: offer.Snapshot}}
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
