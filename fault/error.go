package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error of a known kind.
type Error struct {
	Kind    Kind
	Message string
	// RetryAfter is how long the sender should wait before a retry.
	RetryAfter time.Duration
	// Outcome states whether the failed request was executed.
	Outcome Outcome
}

// New returns an error of a kind with a formatted message and the kind's usual
// outcome.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Outcome: StatusOf(kind).Outcome}
}

// Wrap returns an error of a kind whose message is the given message followed by
// that of err. The result does not wrap err itself.
func Wrap(kind Kind, err error, message string) *Error {
	return New(kind, "%v", errors.WithMessage(err, message))
}

// Error returns the kind and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// WithRetryAfter returns a copy of the error with the time to wait before a retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	next := *e
	next.RetryAfter = wait
	return &next
}

// WithOutcome returns a copy of the error whose outcome replaces the kind's usual
// one.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	next := *e
	next.Outcome = outcome
	return &next
}

// From returns the first *Error in the chain of err. An error without one becomes
// an Error of kind Internal. From returns nil if err is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return New(Internal, "%v", err)
}

// Is reports whether err is of the given kind. A nil error has no kind.
func Is(err error, kind Kind) bool {
	return err != nil && From(err).Kind == kind
}
