package flow

import (
	"time"

	"github.com/google/uuid"

	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

const (
	// keyLength is the length of a UUID in its canonical form with hyphens.
	keyLength  = 36
	keyVersion = 7
)

// ParseKey returns the canonical form of an idempotency key and the time at which
// it was minted (generated). The key must be a UUIDv7, which contains that time.
func ParseKey(text types.Key) (types.Key, time.Time, *fault.Error) {
	id, err := uuid.Parse(string(text))
	if err != nil || len(text) != keyLength || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return "", time.Time{}, fault.New(fault.InvalidInput,
			"the idempotency key %q of a non-idempotent call is not a UUIDv7", text)
	}
	seconds, nanos := id.Time().UnixTime()
	return types.Key(id.String()), time.Unix(seconds, nanos), nil
}

// KeyLimits holds the limits on the age of idempotency keys.
type KeyLimits struct {
	// Margin is an upper bound for two things: the clock difference between
	// callers and nodes, and the time until every node knows that an owner node
	// joined or left.
	Margin time.Duration
	// Retention is the age above which a key is removed from the ledger.
	Retention time.Duration
}

// DefaultKeyLimits returns the limits that apply unless others are set.
func DefaultKeyLimits() KeyLimits {
	return KeyLimits{Margin: 2 * time.Second, Retention: 10 * time.Minute}
}

// Check returns an error if a key is older than Retention or was minted more than
// Margin in the future. No node can then know whether the key was used.
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

// Covers reports whether a key was minted at least Margin after the given start
// time. A node that has recorded keys from that time on has a record of each use
// of the key, even if the clocks differ by up to Margin.
func (l KeyLimits) Covers(minted, since time.Time) bool {
	return !since.After(minted.Add(-l.Margin))
}
