package basilwork

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrTaskIDInvalid says that a text names no task.
type ErrTaskIDInvalid struct{ Name string }

func (e ErrTaskIDInvalid) Error() string { return fmt.Sprintf("task id invalid [name: %q]", e.Name) }

// IsErrTaskIDInvalid tells whether the error is an ErrTaskIDInvalid.
func IsErrTaskIDInvalid(err error) bool { return errors.As(err, new(ErrTaskIDInvalid)) }

// ErrJobInvalid says that a submitted job can't be understood.
type ErrJobInvalid struct{ Reason string }

func (e ErrJobInvalid) Error() string { return fmt.Sprintf("job invalid [reason: %s]", e.Reason) }

// IsErrJobInvalid tells whether the error is an ErrJobInvalid.
func IsErrJobInvalid(err error) bool { return errors.As(err, new(ErrJobInvalid)) }

// ErrRefused says that a backend server did not carry out an order.
type ErrRefused struct{ Refusal Refusal }

func (e ErrRefused) Error() string { return fmt.Sprintf("order refused [reason: %s]", e.Refusal) }

// AsErrRefused returns the refusal that the error carries, or RefusalNone.
func AsErrRefused(err error) Refusal {
	var refused ErrRefused
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return RefusalNone
}

// ErrNoAnswer says that an order got no answer: it may be carried out, now or later.
type ErrNoAnswer struct{ Cause error }

func (e ErrNoAnswer) Error() string { return fmt.Sprintf("no answer [cause: %v]", e.Cause) }

// Unwrap returns the cause.
func (e ErrNoAnswer) Unwrap() error { return e.Cause }

// ErrMachineRefused says that the platform did not carry out an order for a host.
type ErrMachineRefused struct{ Reason string }

func (e ErrMachineRefused) Error() string {
	return fmt.Sprintf("host order refused [reason: %s]", e.Reason)
}

// IsErrMachineRefused tells whether the error is an ErrMachineRefused.
func IsErrMachineRefused(err error) bool { return errors.As(err, new(ErrMachineRefused)) }

// ErrHistoryGone says that the store forgot the changes that a watch asked for.
type ErrHistoryGone struct{ Table string }

func (e ErrHistoryGone) Error() string { return fmt.Sprintf("history gone [table: %s]", e.Table) }

// IsErrHistoryGone tells whether the error is an ErrHistoryGone.
func IsErrHistoryGone(err error) bool { return errors.As(err, new(ErrHistoryGone)) }
