package basilplatform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrItemNotExist says that the table holds no such item.
type ErrItemNotExist struct{ Key Key }

func (e ErrItemNotExist) Error() string {
	return fmt.Sprintf("item does not exist [partition: %s, sort: %s]", e.Key.Partition, e.Key.Sort)
}

// IsErrItemNotExist tells whether the error is an ErrItemNotExist.
func IsErrItemNotExist(err error) bool { return errors.As(err, new(ErrItemNotExist)) }

// ErrConditionFailed says that a transaction had no effect because of the item at Key.
type ErrConditionFailed struct {
	Key     Key
	Version int64 // that the item has, 0 for no item; only tables whose items carry versions tell it
	Others  []Key // further items that differ; only some tables tell them
}

func (e ErrConditionFailed) Error() string {
	return fmt.Sprintf("precondition failed [partition: %s, sort: %s]", e.Key.Partition, e.Key.Sort)
}

// IsErrConditionFailed tells whether the error is an ErrConditionFailed.
func IsErrConditionFailed(err error) bool { return errors.As(err, new(ErrConditionFailed)) }

// ErrUnavailable says that the platform did not take the request: it had no effect.
type ErrUnavailable struct {
	Operation  string
	RetryAfter time.Duration
	Cause      error
}

func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("platform unavailable [operation: %s, retry after: %s, cause: %v]", e.Operation, e.RetryAfter, e.Cause)
}

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable tells whether the error is an ErrUnavailable.
func IsErrUnavailable(err error) bool { return errors.As(err, new(ErrUnavailable)) }

// ErrOverloaded is the cause of an ErrUnavailable of a platform that carries out other requests first.
type ErrOverloaded struct{}

func (ErrOverloaded) Error() string { return "overloaded" }

// IsErrOverloaded reports whether the error is an ErrOverloaded.
func IsErrOverloaded(err error) bool { return errors.As(err, new(ErrOverloaded)) }

// ErrOutcomeUnknown says that no answer came: the request may take effect, now or later.
type ErrOutcomeUnknown struct {
	Operation string
	Token     string
	Cause     error
}

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome unknown [operation: %s, token: %s, cause: %v]", e.Operation, e.Token, e.Cause)
}

// Unwrap returns the cause.
func (e ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// IsErrOutcomeUnknown tells whether the error is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool { return errors.As(err, new(ErrOutcomeUnknown)) }

// ErrRefused says that the platform understood the request and will not do it.
type ErrRefused struct {
	Operation string
	Reason    string
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("platform refused [operation: %s, reason: %s]", e.Operation, e.Reason)
}

// IsErrRefused tells whether the error is an ErrRefused.
func IsErrRefused(err error) bool { return errors.As(err, new(ErrRefused)) }
