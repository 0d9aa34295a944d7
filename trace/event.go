// Package trace holds the typed events of the time line, the counters, the
// hybrid logical clock that orders events over all nodes, and the bounded ring
// that keeps them.
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

// Kind classifies an event of the time line.
type Kind int

// The kinds of events.
const (
	ConfigAdopted Kind = iota + 1
	ConfigRefused
	ConfigPublished
	MemberChanged
	DelegateChanged
	UpstreamAnnounced
	UpstreamLeft
	NodeStarted
	NodeStopping
	CallRefused
	CallRetried
	CallHedged
	CallUnknown
	WorkRefused
	WorkReplayed
	PlatformFailed
	NodeRejoined
	InstanceDuplicated
	RecordRemoved
	CertsReloaded
	CertsRefused
	AnnouncementIgnored
	RetryDenied
	SettingsReloaded
	SettingsRefused
	NodeStopped
	PlatformRegained
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
	NodeStarted:        "node-started",
	NodeStopping:       "node-stopping",
	CallRefused:        "call-refused",
	CallRetried:        "call-retried",
	CallHedged:         "call-hedged",
	CallUnknown:        "call-unknown",
	WorkRefused:        "work-refused",
	WorkReplayed:       "work-replayed",
	PlatformFailed:     "platform-failed",
	NodeRejoined:       "node-rejoined",
	InstanceDuplicated: "instance-duplicated",
	RecordRemoved:      "record-removed",
	CertsReloaded:      "certs-reloaded",
	CertsRefused:       "certs-refused",

	AnnouncementIgnored: "announcement-ignored",
	RetryDenied:         "retry-denied",
	SettingsReloaded:    "settings-reloaded",
	SettingsRefused:     "settings-refused",
	NodeStopped:         "node-stopped",
	PlatformRegained:    "platform-regained",
}

// String returns the kebab-case name of the kind.
func (k Kind) String() string {
	if k < 1 || k >= kindCount {
		return "unknown-kind"
	}
	return kindNames[k]
}

// Event is something that happened on one node. As an effect it asks the
// shell to keep it.
type Event struct {
	Kind    Kind
	Request types.RequestID
	Version types.Version
	// Subject is the instance that the event is about.
	Subject types.InstanceID
	Detail  string
}

// Effect marks the type as an effect.
func (Event) Effect() {}

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	Wall    time.Time
	Logical uint32
}

// Before reports whether the stamp orders before another one.
func (s Stamp) Before(other Stamp) bool {
	if !s.Wall.Equal(other.Wall) {
		return s.Wall.Before(other.Wall)
	}
	return s.Logical < other.Logical
}

// Entry is an event with its place on the time line.
type Entry struct {
	Stamp    Stamp
	Instance types.InstanceID
	Event    Event
}

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, bool) {
	for kind, known := range kindNames {
		if known == name && kind > 0 {
			return Kind(kind), true
		}
	}
	return 0, false
}
