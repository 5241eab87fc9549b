package basilaudit

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrContended reports that every attempt lost against a concurrent change; nothing was changed.
type ErrContended struct{ Attempts int }

func (e ErrContended) Error() string {
	return fmt.Sprintf("change not made, others kept winning [attempts: %d]", e.Attempts)
}

// IsErrContended reports whether the error is an ErrContended.
func IsErrContended(err error) bool { return errors.As(err, new(ErrContended)) }

// ErrChangeUnknown reports that the outcome of the change could not be determined.
//
// Retrying with the same command id is safe and resolves it.
type ErrChangeUnknown struct {
	Command  string
	Sequence int64
}

func (e ErrChangeUnknown) Error() string {
	return fmt.Sprintf("change may have been made [command: %s, sequence: %d]", e.Command, e.Sequence)
}

// IsErrChangeUnknown reports whether the error is an ErrChangeUnknown.
func IsErrChangeUnknown(err error) bool { return errors.As(err, new(ErrChangeUnknown)) }
