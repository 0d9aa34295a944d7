package proxy

import "time"

// Meters receive the time that a delivered call spends in each part of its
// path.
type Meters struct {
	// EntryResidence is the time in the entry without its attempts.
	EntryResidence func(time.Duration)
	// OwnerResidence is the time in the owner without the upstream.
	OwnerResidence func(time.Duration)
	// Hop is the time of a forwarded attempt outside its owner.
	Hop func(time.Duration)
}

func noMeters() Meters {
	ignore := func(time.Duration) {}
	return Meters{EntryResidence: ignore, OwnerResidence: ignore, Hop: ignore}
}

// WithMeters sets what receives the times of delivered calls.
func WithMeters(meters Meters) OwnerOption {
	return func(ow *Owner) { ow.meters = meters }
}
