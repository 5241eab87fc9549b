package basilqueue

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrQueueFull reports that the queue has reached its maximum length.
type ErrQueueFull struct {
	Service    string
	RetryAfter time.Duration
}

func (e ErrQueueFull) Error() string {
	return fmt.Sprintf("queue is full [service: %s, retry after: %s]", e.Service, e.RetryAfter)
}

// IsErrQueueFull reports whether err is an ErrQueueFull.
func IsErrQueueFull(err error) bool { return errors.As(err, new(ErrQueueFull)) }

// ErrDeadlineUnreachable reports that the job can't finish by its deadline.
type ErrDeadlineUnreachable struct {
	Service    string
	RetryAfter time.Duration
}

func (e ErrDeadlineUnreachable) Error() string {
	return fmt.Sprintf("deadline can't be met [service: %s, retry after: %s]", e.Service, e.RetryAfter)
}

// IsErrDeadlineUnreachable reports whether err is an ErrDeadlineUnreachable.
func IsErrDeadlineUnreachable(err error) bool { return errors.As(err, new(ErrDeadlineUnreachable)) }

// ErrNoCapacity reports that no job of the service is running and no slot has been available for outageGrace.
type ErrNoCapacity struct {
	Service    string
	RetryAfter time.Duration
}

func (e ErrNoCapacity) Error() string {
	return fmt.Sprintf("no backend server takes jobs [service: %s, retry after: %s]", e.Service, e.RetryAfter)
}

// IsErrNoCapacity reports whether err is an ErrNoCapacity.
func IsErrNoCapacity(err error) bool { return errors.As(err, new(ErrNoCapacity)) }

// ErrQuotaExceeded reports that the team has used up its rate quota.
type ErrQuotaExceeded struct {
	Team       string
	RetryAfter time.Duration
}

func (e ErrQuotaExceeded) Error() string {
	return fmt.Sprintf("quota is used up [team: %s, retry after: %s]", e.Team, e.RetryAfter)
}

// IsErrQuotaExceeded reports whether err is an ErrQuotaExceeded.
func IsErrQuotaExceeded(err error) bool { return errors.As(err, new(ErrQuotaExceeded)) }

// RetryAfter returns the delay before the caller should retry; the bool is false if err isn't one of this package's rejections.
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
