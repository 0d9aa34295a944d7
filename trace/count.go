package trace

// Counter identifies a counter metric of a node.
type Counter int

// The counters of a node.
const (
	CallsArrived Counter = iota + 1
	CallsDelivered
	CallsFailed
	CallsCanceled
	CallsHeld
	AttemptsStarted
	AttemptsRetried
	AttemptsHedged
	RetriesDenied
	WorkDispatched
	WorkQueued
	WorkShed
	WorkJoined
	WorkReplays
	ExchangesSent
	ExchangesFailed
	ConfigPulls
	ConfigPullsFailed
	ExchangesServed
	PullsServed
	PullsRefused
	PlatformReads
	PlatformCachedReads
	PlatformWrites
	PlatformWatches
	ControlBytesIn
	ControlBytesOut
	// CallsReadAhead counts the requests that ran before the answers ahead of them on
	// their connection were written, CallsHeldBehind those that had to wait for that.
	CallsReadAhead
	CallsHeldBehind
	// BodiesRefused counts the bodies of requests for which there was no memory,
	// BodiesGivenUp those whose memory another one got because they arrived slowly, and
	// BodiesLate those that stopped before their end.
	BodiesRefused
	BodiesGivenUp
	BodiesLate
	// ReadsHedged counts the reads of the platform that peers were asked for, ReadsServed
	// those that this node made for peers.
	ReadsHedged
	ReadsServed
	counterCount
)

var counterNames = [counterCount]string{
	CallsArrived:        "calls_arrived",
	CallsDelivered:      "calls_delivered",
	CallsFailed:         "calls_failed",
	CallsCanceled:       "calls_canceled",
	CallsHeld:           "calls_held",
	AttemptsStarted:     "attempts_started",
	AttemptsRetried:     "attempts_retried",
	AttemptsHedged:      "attempts_hedged",
	RetriesDenied:       "retries_denied",
	WorkDispatched:      "work_dispatched",
	WorkQueued:          "work_queued",
	WorkShed:            "work_shed",
	WorkJoined:          "work_joined",
	WorkReplays:         "work_replays",
	ExchangesSent:       "exchanges_sent",
	ExchangesFailed:     "exchanges_failed",
	ConfigPulls:         "config_pulls",
	ConfigPullsFailed:   "config_pulls_failed",
	ExchangesServed:     "exchanges_served",
	PullsServed:         "pulls_served",
	PullsRefused:        "pulls_refused",
	PlatformReads:       "platform_reads",
	PlatformCachedReads: "platform_peeks",
	PlatformWrites:      "platform_writes",
	PlatformWatches:     "platform_watches",
	ControlBytesIn:      "control_bytes_in",
	ControlBytesOut:     "control_bytes_out",
	CallsReadAhead:      "calls_read_ahead",
	CallsHeldBehind:     "calls_held_behind",
	BodiesRefused:       "bodies_refused",
	BodiesGivenUp:       "bodies_given_up",
	BodiesLate:          "bodies_late",
	ReadsHedged:         "reads_hedged",
	ReadsServed:         "reads_served",
}

// Counters returns every counter.
func Counters() []Counter {
	all := make([]Counter, 0, counterCount)
	for counter := Counter(1); counter < counterCount; counter++ {
		all = append(all, counter)
	}
	return all
}

// String returns the name of the counter in snake case. The name of the metric is
// this name between the prefix sequoiamill_ and the suffix _total.
func (c Counter) String() string {
	if c < 1 || c >= counterCount {
		return "unknown_counter"
	}
	return counterNames[c]
}

// Count is an effect of a node's state machine that increments a counter by one.
type Count struct{ Counter Counter }

// Effect implements types.Effect.
func (Count) Effect() {}
