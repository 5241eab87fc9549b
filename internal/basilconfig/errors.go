package basilconfig

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrRevisionNotExist reports that no such revision was accepted.
type ErrRevisionNotExist struct{ Revision int64 }

func (e ErrRevisionNotExist) Error() string {
	return fmt.Sprintf("configuration revision does not exist [revision: %d]", e.Revision)
}

// IsErrRevisionNotExist reports whether the error is an ErrRevisionNotExist.
func IsErrRevisionNotExist(err error) bool { return errors.As(err, new(ErrRevisionNotExist)) }

// ErrRevisionConflict reports that another revision was accepted first.
type ErrRevisionConflict struct {
	Base, Newest int64
	Author       string
}

func (e ErrRevisionConflict) Error() string {
	return fmt.Sprintf("configuration was changed by another operator [base: %d, newest: %d, author: %s]", e.Base, e.Newest, e.Author)
}

// IsErrRevisionConflict reports whether the error is an ErrRevisionConflict.
func IsErrRevisionConflict(err error) bool { return errors.As(err, new(ErrRevisionConflict)) }

// ErrConfigurationInvalid reports what is wrong with a configuration and how to fix it.
type ErrConfigurationInvalid struct{ Detail, Hint string }

func (e ErrConfigurationInvalid) Error() string {
	return fmt.Sprintf("configuration is invalid [detail: %s, hint: %s]", e.Detail, e.Hint)
}

// IsErrConfigurationInvalid reports whether the error is an ErrConfigurationInvalid.
func IsErrConfigurationInvalid(err error) bool { return errors.As(err, new(ErrConfigurationInvalid)) }

// ErrCommandReused reports that the command id was already used for another kind of change.
type ErrCommandReused struct{ Command string }

func (e ErrCommandReused) Error() string {
	return fmt.Sprintf("command id belongs to another change [command: %s]", e.Command)
}

// IsErrCommandReused reports whether the error is an ErrCommandReused.
func IsErrCommandReused(err error) bool { return errors.As(err, new(ErrCommandReused)) }
