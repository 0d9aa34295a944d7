package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a kind, which determines the status codes with which it
// is reported.
type Error struct {
	Kind    Kind
	Message string
	// RetryAfter is how long the sender of the failed request should wait before
	// it retries. Zero means that no time is suggested.
	RetryAfter time.Duration
	// Outcome states whether the failed request was executed.
	Outcome Outcome
}

// New returns an error of a kind with a formatted message. Its outcome is the one
// that StatusOf lists for the kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Outcome: StatusOf(kind).Outcome}
}

// Wrap returns an error of a kind whose text is the given message followed by that
// of err. The result does not wrap err itself, so errors.Is and errors.As don't
// find err in it.
func Wrap(kind Kind, err error, message string) *Error {
	return New(kind, "%v", errors.WithMessage(err, message))
}

// Error returns the kind and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// WithRetryAfter returns a copy of the error whose RetryAfter is wait.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	next := *e
	next.RetryAfter = wait
	return &next
}

// WithOutcome returns a copy of the error with the given outcome.
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

// Is reports whether err is of the given kind. An error without an *Error in its
// chain is of kind Internal. A nil error is of no kind.
func Is(err error, kind Kind) bool {
	return err != nil && From(err).Kind == kind
}
