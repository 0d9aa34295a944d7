package proxy

import "time"

// Meters holds the functions that record how long a delivered call spends in each
// component.
type Meters struct {
	// EntryResidence records the time in the entry, without the attempts.
	EntryResidence func(time.Duration)
	// OwnerResidence records the time in the owner, without the exchange with the
	// upstream.
	OwnerResidence func(time.Duration)
	// Hop records the duration of a forwarded attempt, without the time at its
	// owner.
	Hop func(time.Duration)
}

// noMeters returns meters that record nothing.
func noMeters() Meters {
	ignore := func(time.Duration) {}
	return Meters{EntryResidence: ignore, OwnerResidence: ignore, Hop: ignore}
}

// WithMeters sets the functions that record the durations of delivered calls.
func WithMeters(meters Meters) OwnerOption {
	return func(ow *Owner) { ow.meters = meters }
}
