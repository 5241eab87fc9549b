package basilfleet

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrAnswerUnreadable says that an answer is cut off or is not what the protocol allows.
type ErrAnswerUnreadable struct {
	Status int // of HTTP
	Cause  error
}

func (e ErrAnswerUnreadable) Error() string {
	return fmt.Sprintf("answer is unreadable [status: %d, cause: %v]", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e ErrAnswerUnreadable) Unwrap() error { return e.Cause }

// IsErrAnswerUnreadable tells whether the error is an ErrAnswerUnreadable.
func IsErrAnswerUnreadable(err error) bool { return errors.As(err, new(ErrAnswerUnreadable)) }

// ErrNotTaken says that the server answered that it did nothing, and why.
type ErrNotTaken struct{ Reason string }

func (e ErrNotTaken) Error() string { return fmt.Sprintf("not taken [reason: %s]", e.Reason) }

// IsErrNotTaken tells whether the error is an ErrNotTaken.
func IsErrNotTaken(err error) bool { return errors.As(err, new(ErrNotTaken)) }

// ErrFieldMissing says that an answer lacks a field without which it means nothing.
type ErrFieldMissing struct{ Field string }

func (e ErrFieldMissing) Error() string {
	return fmt.Sprintf("answer lacks a field [field: %s]", e.Field)
}

// IsErrFieldMissing tells whether the error is an ErrFieldMissing.
func IsErrFieldMissing(err error) bool { return errors.As(err, new(ErrFieldMissing)) }
