package proxy

import "time"

// Metrics holds the functions that record how long a delivered call spends in
// each component.
type Metrics struct {
	// EntryResidence records the time in the entry, without the attempts.
	EntryResidence func(time.Duration)
	// OwnerResidence records the time in the owner, without the exchange with the
	// upstream.
	OwnerResidence func(time.Duration)
	// ForwardOverhead records the duration of a forwarded attempt, without the
	// time at its owner.
	ForwardOverhead func(time.Duration)
}

// noMetrics returns metrics that record nothing.
func noMetrics() Metrics {
	ignore := func(time.Duration) {}
	return Metrics{EntryResidence: ignore, OwnerResidence: ignore, ForwardOverhead: ignore}
}

// WithMetrics sets the functions that record the durations of delivered calls.
func WithMetrics(metrics Metrics) OwnerOption {
	return func(ow *Owner) { ow.metrics = metrics }
}
