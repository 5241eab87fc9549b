package basilaudit

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrContended says that other changes kept winning; nothing was changed.
type ErrContended struct{ Attempts int }

func (e ErrContended) Error() string {
	return fmt.Sprintf("change not made, others kept winning [attempts: %d]", e.Attempts)
}

// IsErrContended tells whether the error is an ErrContended.
func IsErrContended(err error) bool { return errors.As(err, new(ErrContended)) }

// ErrChangeUnknown says that no answer tells whether the change was made; ask again with the command's id.
type ErrChangeUnknown struct {
	Command  string
	Sequence int64
}

func (e ErrChangeUnknown) Error() string {
	return fmt.Sprintf("change may have been made [command: %s, sequence: %d]", e.Command, e.Sequence)
}

// IsErrChangeUnknown tells whether the error is an ErrChangeUnknown.
func IsErrChangeUnknown(err error) bool { return errors.As(err, new(ErrChangeUnknown)) }
