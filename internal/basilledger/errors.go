package basilledger

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
)

// linePause is the time until a full line is worth another try: what the store's part lets wait.
const linePause = time.Second

// ErrJobNotExist says that the ledger holds no such job.
type ErrJobNotExist struct{ ID string }

func (e ErrJobNotExist) Error() string { return fmt.Sprintf("job does not exist [id: %s]", e.ID) }

// IsErrJobNotExist tells whether the error is an ErrJobNotExist.
func IsErrJobNotExist(err error) bool { return errors.As(err, new(ErrJobNotExist)) }

// ErrDeposed says that another entry host owns the shard now.
type ErrDeposed struct{ Shard string }

func (e ErrDeposed) Error() string { return fmt.Sprintf("shard owned by another [shard: %s]", e.Shard) }

// IsErrDeposed tells whether the error is an ErrDeposed.
func IsErrDeposed(err error) bool { return errors.As(err, new(ErrDeposed)) }

// ErrRecordUnreadable says that a stored record can't be read.
type ErrRecordUnreadable struct {
	Key   string
	Cause error
}

func (e ErrRecordUnreadable) Error() string {
	return fmt.Sprintf("record unreadable [key: %s, cause: %v]", e.Key, e.Cause)
}

// IsErrRecordUnreadable tells whether the error is an ErrRecordUnreadable.
func IsErrRecordUnreadable(err error) bool { return errors.As(err, new(ErrRecordUnreadable)) }

// Unwrap returns the cause.
func (e ErrRecordUnreadable) Unwrap() error { return e.Cause }

// ErrLineFull says that more jobs wait to be stored than a caller would wait for.
type ErrLineFull struct{ Shard string }

func (e ErrLineFull) Error() string {
	return fmt.Sprintf("too many jobs wait to be stored [shard: %s]", e.Shard)
}

// NewErrLineFull returns an ErrUnavailable for a line that is full.
func NewErrLineFull(shard string) error {
	return errors.WithStack(basilplatform.ErrUnavailable{Operation: "accept", RetryAfter: linePause, Cause: ErrLineFull{Shard: shard}})
}

// IsErrLineFull tells whether the error is an ErrLineFull.
func IsErrLineFull(err error) bool { return errors.As(err, new(ErrLineFull)) }

// ErrTriedBefore says that a try failed after one whose outcome is unknown. It hides what failed: that the last try did
// nothing does not mean that nothing was done.
type ErrTriedBefore struct{ Detail string }

func (e ErrTriedBefore) Error() string {
	return "tried before without an answer [last try: " + e.Detail + "]"
}

// IsErrTriedBefore tells whether the error is an ErrTriedBefore.
func IsErrTriedBefore(err error) bool { return errors.As(err, new(ErrTriedBefore)) }

// NewErrMayBeStored returns the ErrOutcomeUnknown of a job whose last try failed after one without an answer.
func NewErrMayBeStored(last error) error {
	return errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: "accept", Cause: ErrTriedBefore{Detail: last.Error()}})
}

// ErrNoNewJob says that a record is none of a job that has just been handed in.
type ErrNoNewJob struct{}

func (ErrNoNewJob) Error() string { return "no new job" }

// IsErrNoNewJob tells whether the error is an ErrNoNewJob.
func IsErrNoNewJob(err error) bool { return errors.As(err, new(ErrNoNewJob)) }
