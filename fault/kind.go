// Package fault defines the error kinds and a table that maps each kind to the
// HTTP status, RPC code and exit code with which it is reported.
//
// # Usage
//
//	err := fault.New(fault.Overloaded, "queue of %d is full", 20).WithRetryAfter(time.Second)
//	status := fault.StatusOf(err.Kind)
//	w.WriteHeader(status.HTTPStatus)
package fault

// Kind classifies an error.
type Kind int

// The kinds of errors.
const (
	Internal Kind = iota
	InvalidInput
	NotFound
	TooLarge
	NoRoute
	NoUpstream
	Overloaded
	Closed
	Stopping
	NotReady
	DeadlineExceeded
	Canceled
	OutcomeUnknown
	BrokenAnswer
	Unreachable
	VersionConflict
	ConfigRefused
	PlatformUnavailable
	KeyReused
	Expired
	Held
	Unauthenticated
	LimitExceeded
	RequestTimeout
	kindCount
)

var kindNames = [kindCount]string{
	Internal:            "internal",
	InvalidInput:        "invalid-input",
	NotFound:            "not-found",
	TooLarge:            "too-large",
	NoRoute:             "no-route",
	NoUpstream:          "no-upstream",
	Overloaded:          "overloaded",
	Closed:              "closed",
	Stopping:            "stopping",
	NotReady:            "not-ready",
	DeadlineExceeded:    "deadline-exceeded",
	Canceled:            "canceled",
	OutcomeUnknown:      "outcome-unknown",
	BrokenAnswer:        "broken-answer",
	Unreachable:         "unreachable",
	VersionConflict:     "version-conflict",
	ConfigRefused:       "config-refused",
	PlatformUnavailable: "platform-unavailable",
	KeyReused:           "key-reused",
	Expired:             "expired",
	Held:                "held",
	Unauthenticated:     "unauthenticated",
	LimitExceeded:       "limit-exceeded",
	RequestTimeout:      "request-timeout",
}

// String returns the kebab-case name of the kind.
func (k Kind) String() string {
	if k < 0 || k >= kindCount {
		return "unknown-kind"
	}
	return kindNames[k]
}

// Kinds returns every kind.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for kind := Kind(0); kind < kindCount; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// ParseKind returns the kind with the given name, or Internal and false.
func ParseKind(name string) (Kind, bool) {
	for kind, known := range kindNames {
		if known == name {
			return Kind(kind), true
		}
	}
	return Internal, false
}
