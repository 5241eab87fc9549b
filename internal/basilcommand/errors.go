package basilcommand

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrDryRunNotKnown reports that the command does not support dry runs; nothing was changed.
type ErrDryRunNotKnown struct{ Text string }

func (e ErrDryRunNotKnown) Error() string {
	return fmt.Sprintf("only changes of the configuration can be run dry [command: %s]", e.Text)
}

// IsErrDryRunNotKnown reports whether the error is an ErrDryRunNotKnown.
func IsErrDryRunNotKnown(err error) bool { return errors.As(err, new(ErrDryRunNotKnown)) }

// ErrPartExists reports that a pool, service or team of that name is already declared.
type ErrPartExists struct{ Kind, Name string }

func (e ErrPartExists) Error() string {
	return fmt.Sprintf("%s is declared already [name: %s]", e.Kind, e.Name)
}

// IsErrPartExists reports whether the error is an ErrPartExists.
func IsErrPartExists(err error) bool { return errors.As(err, new(ErrPartExists)) }

// ErrPartNotExist reports that no pool, service or team of that name is declared.
type ErrPartNotExist struct{ Kind, Name, Suggestion string }

func (e ErrPartNotExist) Error() string {
	s := fmt.Sprintf("%s is not declared [name: %s]", e.Kind, e.Name)
	if e.Suggestion != "" {
		s += fmt.Sprintf("; did you mean %q?", e.Suggestion)
	}
	return s
}

// IsErrPartNotExist reports whether the error is an ErrPartNotExist.
func IsErrPartNotExist(err error) bool { return errors.As(err, new(ErrPartNotExist)) }
