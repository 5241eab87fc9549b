package basildemo

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrPromiseBroken says that the demonstration saw promises broken.
type ErrPromiseBroken struct{ Count int }

func (e ErrPromiseBroken) Error() string { return fmt.Sprintf("promises broken [count: %d]", e.Count) }

// IsErrPromiseBroken tells whether the error is an ErrPromiseBroken.
func IsErrPromiseBroken(err error) bool { return errors.As(err, new(ErrPromiseBroken)) }

// ErrStepLimit says that a step of the demonstration did not end in time.
type ErrStepLimit struct{ Step string }

func (e ErrStepLimit) Error() string { return fmt.Sprintf("step did not end [step: %s]", e.Step) }

// IsErrStepLimit tells whether the error is an ErrStepLimit.
func IsErrStepLimit(err error) bool { return errors.As(err, new(ErrStepLimit)) }
