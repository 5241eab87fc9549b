package basilcommand

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrDryRunNotKnown says that the command can't be tried without effect; nothing was changed.
type ErrDryRunNotKnown struct{ Text string }

func (e ErrDryRunNotKnown) Error() string {
	return fmt.Sprintf("only changes of the configuration can be run dry [command: %s]", e.Text)
}

// IsErrDryRunNotKnown tells whether the error is an ErrDryRunNotKnown.
func IsErrDryRunNotKnown(err error) bool { return errors.As(err, new(ErrDryRunNotKnown)) }

// ErrPartExists says that a pool, service or team of that name is declared already.
type ErrPartExists struct{ Kind, Name string }

func (e ErrPartExists) Error() string {
	return fmt.Sprintf("%s is declared already [name: %s]", e.Kind, e.Name)
}

// IsErrPartExists tells whether the error is an ErrPartExists.
func IsErrPartExists(err error) bool { return errors.As(err, new(ErrPartExists)) }

// ErrPartNotExist says that no pool, service or team of that name is declared.
type ErrPartNotExist struct{ Kind, Name, Suggestion string }

func (e ErrPartNotExist) Error() string {
	s := fmt.Sprintf("%s is not declared [name: %s]", e.Kind, e.Name)
	if e.Suggestion != "" {
		s += fmt.Sprintf("; did you mean %q?", e.Suggestion)
	}
	return s
}

// IsErrPartNotExist tells whether the error is an ErrPartNotExist.
func IsErrPartNotExist(err error) bool { return errors.As(err, new(ErrPartNotExist)) }
