package basilstandin

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrRequestRefused says that a request is not of the few forms that the stand-in takes.
type ErrRequestRefused struct{ Reason string }

func (e ErrRequestRefused) Error() string {
	return fmt.Sprintf("request refused [reason: %s]", e.Reason)
}

// IsErrRequestRefused tells whether the error is an ErrRequestRefused.
func IsErrRequestRefused(err error) bool { return errors.As(err, new(ErrRequestRefused)) }
