package flow

import (
	"time"

	"github.com/google/uuid"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

const (
	keyLength  = 36
	keyVersion = 7
)

// ParseKey returns the canonical form of an idempotency key and when it was
// minted. The key must be a UUIDv7.
func ParseKey(text types.Key) (types.Key, time.Time, *fault.Error) {
	id, err := uuid.Parse(string(text))
	if err != nil || len(text) != keyLength || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return "", time.Time{}, fault.New(fault.InvalidInput,
			"the idempotency key %q of a non-idempotent call is not a UUIDv7", text)
	}
	seconds, nanos := id.Time().UnixTime()
	return types.Key(id.String()), time.Unix(seconds, nanos), nil
}

// KeyLimits bound the ages of idempotency keys.
type KeyLimits struct {
	// Margin is the greatest difference between the clocks of callers and
	// nodes, and the time in which news of an owner reaches every node.
	Margin time.Duration
	// Retention is the age above which a key is no longer known.
	Retention time.Duration
}

// DefaultKeyLimits returns the limits in use.
func DefaultKeyLimits() KeyLimits {
	return KeyLimits{Margin: 2 * time.Second, Retention: 10 * time.Minute}
}

// Check returns an error if a key is too old or too far in the future for
// any node to know whether it ran.
func (l KeyLimits) Check(minted, now time.Time) *fault.Error {
	if age := now.Sub(minted); age > l.Retention {
		return fault.New(fault.OutcomeUnknown, "the idempotency key was minted %s ago, above the retention of %s",
			age.Truncate(time.Second), l.Retention)
	}
	if minted.After(now.Add(l.Margin)) {
		return fault.New(fault.InvalidInput, "the idempotency key was minted in the future").WithOutcome(fault.Unknown)
	}
	return nil
}

// Knows reports whether a process that remembers keys since an instant can
// know a key.
func (l KeyLimits) Knows(minted, since time.Time) bool {
	return !since.After(minted.Add(-l.Margin))
}
