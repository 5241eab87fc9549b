package basilwork

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrTaskIDInvalid is returned when a string is not a task ID.
type ErrTaskIDInvalid struct{ Name string }

func (e ErrTaskIDInvalid) Error() string { return fmt.Sprintf("invalid task ID [name: %q]", e.Name) }

// IsErrTaskIDInvalid reports whether the error is an ErrTaskIDInvalid.
func IsErrTaskIDInvalid(err error) bool { return errors.As(err, new(ErrTaskIDInvalid)) }

// ErrJobInvalid is returned when a submitted job can't be parsed or is inconsistent.
type ErrJobInvalid struct{ Reason string }

func (e ErrJobInvalid) Error() string { return fmt.Sprintf("invalid job [reason: %s]", e.Reason) }

// IsErrJobInvalid reports whether the error is an ErrJobInvalid.
func IsErrJobInvalid(err error) bool { return errors.As(err, new(ErrJobInvalid)) }

// ErrRefused is returned when a backend server refused an order.
type ErrRefused struct{ Refusal Refusal }

func (e ErrRefused) Error() string {
	return fmt.Sprintf("backend server refused the order [reason: %s]", e.Refusal)
}

// RefusalOf returns the reason from an ErrRefused in the error's chain, or RefusalNone.
func RefusalOf(err error) Refusal {
	var refused ErrRefused
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return RefusalNone
}

// ErrNoAnswer is returned when an order got no answer; the order may still take effect, now or later.
type ErrNoAnswer struct{ Cause error }

func (e ErrNoAnswer) Error() string {
	return fmt.Sprintf("no answer to the order [cause: %v]", e.Cause)
}

// Unwrap returns the cause.
func (e ErrNoAnswer) Unwrap() error { return e.Cause }

// ErrMachineRefused is returned when the platform refused an order for a host.
type ErrMachineRefused struct{ Reason string }

func (e ErrMachineRefused) Error() string {
	return fmt.Sprintf("platform refused the host order [reason: %s]", e.Reason)
}

// IsErrMachineRefused reports whether the error is an ErrMachineRefused.
func IsErrMachineRefused(err error) bool { return errors.As(err, new(ErrMachineRefused)) }

// ErrHistoryDropped is returned when the store no longer has the changes that a watch asked for.
type ErrHistoryDropped struct{ Table string }

func (e ErrHistoryDropped) Error() string {
	return fmt.Sprintf("change history is no longer available [table: %s]", e.Table)
}

// IsErrHistoryDropped reports whether the error is an ErrHistoryDropped.
func IsErrHistoryDropped(err error) bool { return errors.As(err, new(ErrHistoryDropped)) }
