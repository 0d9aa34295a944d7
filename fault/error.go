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
	// RetryAfter is the time to wait before the request is sent again.
	RetryAfter time.Duration
	// Outcome states whether the request ran.
	Outcome Outcome
}

// New returns an error of a kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Outcome: AnswerOf(kind).Outcome}
}

// Wrap returns an error of a kind that carries the message of a cause.
func Wrap(kind Kind, err error, message string) *Error {
	return New(kind, "%v", errors.WithMessage(err, message))
}

// Error returns the kind and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// WithRetryAfter returns a copy with the time to wait before a retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	next := *e
	next.RetryAfter = wait
	return &next
}

// WithOutcome returns a copy with another outcome than the kind's usual one.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	next := *e
	next.Outcome = outcome
	return &next
}

// From returns err as an Error, of kind Internal if it has none.
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

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && From(err).Kind == kind
}
