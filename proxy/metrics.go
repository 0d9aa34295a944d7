package proxy

import "time"

// Metrics holds the functions that record how long an answered call spends in
// each component.
type Metrics struct {
	// EntryResidence records the time that a call spends in the Entry, excluding
	// its attempts.
	EntryResidence func(time.Duration)
	// OwnerResidence records the time that a job spends in the Owner, excluding
	// the exchange with the upstream.
	OwnerResidence func(time.Duration)
	// ForwardOverhead records the duration of an attempt that was forwarded to
	// another node, excluding the time that the job spent at its owner there.
	ForwardOverhead func(time.Duration)
}

// noMetrics returns metrics that record nothing.
func noMetrics() Metrics {
	ignore := func(time.Duration) {}
	return Metrics{EntryResidence: ignore, OwnerResidence: ignore, ForwardOverhead: ignore}
}

// WithMetrics sets the functions that record the durations of answered calls.
func WithMetrics(metrics Metrics) OwnerOption {
	return func(ow *Owner) { ow.metrics = metrics }
}
