package basilqueue

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrQueueFull says that the queue holds as many jobs as it may.
type ErrQueueFull struct {
	Service    string
	RetryAfter time.Duration
}

func (e ErrQueueFull) Error() string {
	return fmt.Sprintf("queue is full [service: %s, retry after: %s]", e.Service, e.RetryAfter)
}

// IsErrQueueFull tells whether the error is an ErrQueueFull.
func IsErrQueueFull(err error) bool { return errors.As(err, new(ErrQueueFull)) }

// ErrDeadlineUnreachable says that the job would not end by its deadline.
type ErrDeadlineUnreachable struct {
	Service    string
	RetryAfter time.Duration
}

func (e ErrDeadlineUnreachable) Error() string {
	return fmt.Sprintf("deadline can't be met [service: %s, retry after: %s]", e.Service, e.RetryAfter)
}

// IsErrDeadlineUnreachable tells whether the error is an ErrDeadlineUnreachable.
func IsErrDeadlineUnreachable(err error) bool { return errors.As(err, new(ErrDeadlineUnreachable)) }

// ErrNoCapacity says that nothing has run and no place could be taken for a while.
type ErrNoCapacity struct {
	Service    string
	RetryAfter time.Duration
}

func (e ErrNoCapacity) Error() string {
	return fmt.Sprintf("no backend server takes jobs [service: %s, retry after: %s]", e.Service, e.RetryAfter)
}

// IsErrNoCapacity tells whether the error is an ErrNoCapacity.
func IsErrNoCapacity(err error) bool { return errors.As(err, new(ErrNoCapacity)) }

// ErrQuotaExceeded says that the team asks more than its quota.
type ErrQuotaExceeded struct {
	Team       string
	RetryAfter time.Duration
}

func (e ErrQuotaExceeded) Error() string {
	return fmt.Sprintf("quota is used up [team: %s, retry after: %s]", e.Team, e.RetryAfter)
}

// IsErrQuotaExceeded tells whether the error is an ErrQuotaExceeded.
func IsErrQuotaExceeded(err error) bool { return errors.As(err, new(ErrQuotaExceeded)) }

// RetryAfter returns when the refused caller should come back, and whether the error is a refusal.
func RetryAfter(err error) (time.Duration, bool) {
	var full ErrQueueFull
	var unreachable ErrDeadlineUnreachable
	var none ErrNoCapacity
	var quota ErrQuotaExceeded
	switch {
	case errors.As(err, &none):
		return none.RetryAfter, true
	case errors.As(err, &full):
		return full.RetryAfter, true
	case errors.As(err, &unreachable):
		return unreachable.RetryAfter, true
	case errors.As(err, &quota):
		return quota.RetryAfter, true
	}
	return 0, false
}
