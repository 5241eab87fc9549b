package basilconfig

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrRevisionNotExist says that no such revision was accepted.
type ErrRevisionNotExist struct{ Revision int64 }

func (e ErrRevisionNotExist) Error() string {
	return fmt.Sprintf("configuration revision does not exist [revision: %d]", e.Revision)
}

// IsErrRevisionNotExist tells whether the error is an ErrRevisionNotExist.
func IsErrRevisionNotExist(err error) bool { return errors.As(err, new(ErrRevisionNotExist)) }

// ErrRevisionConflict says that another revision was accepted first.
type ErrRevisionConflict struct {
	Base, Newest int64
	Author       string
}

func (e ErrRevisionConflict) Error() string {
	return fmt.Sprintf("configuration was changed by another operator [base: %d, newest: %d, author: %s]", e.Base, e.Newest, e.Author)
}

// IsErrRevisionConflict tells whether the error is an ErrRevisionConflict.
func IsErrRevisionConflict(err error) bool { return errors.As(err, new(ErrRevisionConflict)) }

// ErrConfigurationInvalid says what is wrong with a configuration and how to mend it.
type ErrConfigurationInvalid struct{ Detail, Hint string }

func (e ErrConfigurationInvalid) Error() string {
	return fmt.Sprintf("configuration is invalid [detail: %s, hint: %s]", e.Detail, e.Hint)
}

// IsErrConfigurationInvalid tells whether the error is an ErrConfigurationInvalid.
func IsErrConfigurationInvalid(err error) bool { return errors.As(err, new(ErrConfigurationInvalid)) }

// ErrCommandReused says that a command id was used for another kind of change before.
type ErrCommandReused struct{ Command string }

func (e ErrCommandReused) Error() string {
	return fmt.Sprintf("command id belongs to another change [command: %s]", e.Command)
}

// IsErrCommandReused tells whether the error is an ErrCommandReused.
func IsErrCommandReused(err error) bool { return errors.As(err, new(ErrCommandReused)) }
