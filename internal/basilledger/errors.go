package basilledger

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
)

// queueFullRetryAfter is the time after which a caller may retry when the queue is full: about the time that the store
// takes to work off what waits.
const queueFullRetryAfter = time.Second

// ErrJobNotExist is returned when the ledger has no such job.
type ErrJobNotExist struct{ ID string }

func (e ErrJobNotExist) Error() string { return fmt.Sprintf("job does not exist [id: %s]", e.ID) }

// IsErrJobNotExist reports whether the error is an ErrJobNotExist.
func IsErrJobNotExist(err error) bool { return errors.As(err, new(ErrJobNotExist)) }

// ErrDeposed is returned when another entry host has become the owner of the shard.
type ErrDeposed struct{ Shard string }

func (e ErrDeposed) Error() string {
	return fmt.Sprintf("shard is owned by another entry host [shard: %s]", e.Shard)
}

// IsErrDeposed reports whether the error is an ErrDeposed.
func IsErrDeposed(err error) bool { return errors.As(err, new(ErrDeposed)) }

// ErrRecordUnreadable is returned when a job record can't be encoded or decoded, or isn't valid.
type ErrRecordUnreadable struct {
	Key   string
	Cause error
}

func (e ErrRecordUnreadable) Error() string {
	return fmt.Sprintf("invalid job record [key: %s, cause: %v]", e.Key, e.Cause)
}

// IsErrRecordUnreadable reports whether the error is an ErrRecordUnreadable.
func IsErrRecordUnreadable(err error) bool { return errors.As(err, new(ErrRecordUnreadable)) }

// Unwrap returns the cause.
func (e ErrRecordUnreadable) Unwrap() error { return e.Cause }

// ErrQueueFull is returned when so many jobs wait to be stored that a caller would time out.
type ErrQueueFull struct{ Shard string }

func (e ErrQueueFull) Error() string {
	return fmt.Sprintf("too many jobs are waiting to be stored [shard: %s]", e.Shard)
}

// NewErrQueueFull returns an ErrUnavailable that wraps an ErrQueueFull.
func NewErrQueueFull(shard string) error {
	return errors.WithStack(basilplatform.ErrUnavailable{Operation: "accept", RetryAfter: queueFullRetryAfter, Cause: ErrQueueFull{Shard: shard}})
}

// IsErrQueueFull reports whether the error is an ErrQueueFull.
func IsErrQueueFull(err error) bool { return errors.As(err, new(ErrQueueFull)) }

// ErrEarlierAttemptUnknown is the cause of an unknown outcome when the last attempt failed after an earlier attempt with an
// unknown outcome. It doesn't wrap the last error: that the last attempt did nothing doesn't mean that the earlier one did
// nothing.
type ErrEarlierAttemptUnknown struct{ LastAttempt string }

func (e ErrEarlierAttemptUnknown) Error() string {
	return "an earlier attempt got no answer [last attempt: " + e.LastAttempt + "]"
}

// IsErrEarlierAttemptUnknown reports whether the error is an ErrEarlierAttemptUnknown.
func IsErrEarlierAttemptUnknown(err error) bool { return errors.As(err, new(ErrEarlierAttemptUnknown)) }

// NewErrMayBeStored returns an ErrOutcomeUnknown for a job whose last attempt failed after an earlier one got no answer.
func NewErrMayBeStored(last error) error {
	return errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: "accept", Cause: ErrEarlierAttemptUnknown{LastAttempt: last.Error()}})
}

// ErrNotNewJob is returned when a record isn't that of a newly submitted job.
type ErrNotNewJob struct{}

func (ErrNotNewJob) Error() string { return "record is not that of a new job" }

// IsErrNotNewJob reports whether the error is an ErrNotNewJob.
func IsErrNotNewJob(err error) bool { return errors.As(err, new(ErrNotNewJob)) }

// ErrAssignmentChanged is returned when a queue may have been assigned to another service since its assignment was read.
type ErrAssignmentChanged struct{ Queue string }

func (e ErrAssignmentChanged) Error() string {
	return fmt.Sprintf("assignment of queue has changed [queue: %s]", e.Queue)
}

// IsErrAssignmentChanged reports whether the error is an ErrAssignmentChanged.
func IsErrAssignmentChanged(err error) bool { return errors.As(err, new(ErrAssignmentChanged)) }
