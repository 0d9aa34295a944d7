// Package trace defines the events of the timeline, which operators read to see
// what happened on the nodes, and the nodes' counters. It also has the hybrid
// logical clock that orders the events of all nodes, and the ring buffer that
// stores a node's latest events.
//
// # Usage
//
//	ring := trace.NewRing(4096)
//	clock := trace.NewClock()
//	ring.Add(trace.Entry{Stamp: clock.Now(now), Instance: id, Event: event})
//	entries := ring.Select(trace.Filter{Request: "0198..."})
package trace

import (
	"time"

	"sequoiamill.example/sequoiamill/types"
)

// Kind is the kind of a timeline event.
type Kind int

// The kinds of timeline events.
const (
	ConfigAdopted Kind = iota + 1
	ConfigRefused
	ConfigPublished
	MemberChanged
	DelegateChanged
	UpstreamAnnounced
	UpstreamLeft
	// UpstreamDoubted: the upstream may have departed before this node started.
	UpstreamDoubted
	NodeStarted
	NodeStopping
	CallRefused
	CallRetried
	CallHedged
	CallOutcomeUnknown
	WorkRefused
	WorkReplayed
	PlatformFailed
	NodeRejoined
	InstanceDuplicated
	NodeRecordRemoved
	CertsReloaded
	CertsRefused
	AnnouncementIgnored
	DepartureUnrecorded
	PlatformRestored
	RetryDenied
	SettingsReloaded
	SettingsRefused
	NodeStopped
	PlatformRecovered
	RateLimitChanged
	UpstreamEnded
	RequestHeld
	RequestReleased
	TeamLimited
	RolloutChanged
	ConfigLearned
	ConfigPullStarted
	ConfigPullEnded
	PollingChanged
	EntryUnreadable
	CallersWait
	NodePaused
	WorkBrokenOff
	BodyRefused
	BodyGivenUp
	BodyLate
	ReadHedged
	kindCount
)

var kindNames = [kindCount]string{
	ConfigAdopted:      "config-adopted",
	ConfigRefused:      "config-refused",
	ConfigPublished:    "config-published",
	MemberChanged:      "member-changed",
	DelegateChanged:    "delegate-changed",
	UpstreamAnnounced:  "upstream-announced",
	UpstreamLeft:       "upstream-left",
	UpstreamDoubted:    "upstream-doubted",
	NodeStarted:        "node-started",
	NodeStopping:       "node-stopping",
	CallRefused:        "call-refused",
	CallRetried:        "call-retried",
	CallHedged:         "call-hedged",
	CallOutcomeUnknown: "call-unknown",
	WorkRefused:        "work-refused",
	WorkReplayed:       "work-replayed",
	PlatformFailed:     "platform-failed",
	NodeRejoined:       "node-rejoined",
	InstanceDuplicated: "instance-duplicated",
	NodeRecordRemoved:  "record-removed",
	CertsReloaded:      "certs-reloaded",
	CertsRefused:       "certs-refused",

	AnnouncementIgnored: "announcement-ignored",
	DepartureUnrecorded: "departure-unrecorded",
	PlatformRestored:    "platform-restored",
	RetryDenied:         "retry-denied",
	SettingsReloaded:    "settings-reloaded",
	SettingsRefused:     "settings-refused",
	NodeStopped:         "node-stopped",
	PlatformRecovered:   "platform-regained",
	RateLimitChanged:    "rate-limit-changed",
	UpstreamEnded:       "upstream-ended",
	RequestHeld:         "request-held",
	RequestReleased:     "request-released",
	TeamLimited:         "team-limited",
	RolloutChanged:      "rollout-changed",
	ConfigLearned:       "config-learned",
	ConfigPullStarted:   "config-pull-started",
	ConfigPullEnded:     "config-pull-ended",
	PollingChanged:      "polling-changed",
	EntryUnreadable:     "entry-unreadable",
	CallersWait:         "callers-wait",
	NodePaused:          "node-paused",
	WorkBrokenOff:       "work-broken-off",
	BodyRefused:         "bodies-refused",
	BodyGivenUp:         "bodies-given-up",
	BodyLate:            "bodies-late",
	ReadHedged:          "read-hedged",
}

// String returns the kebab-case name of the kind, which the timeline shows.
func (k Kind) String() string {
	if k < 1 || k >= kindCount {
		return "unknown-kind"
	}
	return kindNames[k]
}

// Event is something that happened on one node. As an effect of the node's state
// machine, it makes the node record the event in its timeline.
type Event struct {
	Kind    Kind
	Request types.RequestID
	Version types.Version
	// Subject is the instance that the event is about.
	Subject types.InstanceID
	Detail  string
}

// Effect implements types.Effect.
func (Event) Effect() {}

// Stamp is a timestamp of a hybrid logical clock. Stamps are ordered by Wall, the
// time of day, and those with the same Wall by Logical.
type Stamp struct {
	Wall    time.Time
	Logical uint32
}

// Before reports whether the stamp is earlier than another one.
func (s Stamp) Before(other Stamp) bool {
	if !s.Wall.Equal(other.Wall) {
		return s.Wall.Before(other.Wall)
	}
	return s.Logical < other.Logical
}

// Entry is a recorded event with its timestamp and the instance of the node that
// recorded it.
type Entry struct {
	Stamp    Stamp
	Instance types.InstanceID
	Event    Event
}

// ParseKind returns the kind with the given name. It returns false if no kind has
// that name.
func ParseKind(name string) (Kind, bool) {
	for kind, known := range kindNames {
		if known == name && kind > 0 {
			return Kind(kind), true
		}
	}
	return 0, false
}
