package basilrouter

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrNoBackend says that no backend server of the service can take a job now.
type ErrNoBackend struct {
	Service    string
	RetryAfter time.Duration
}

func (e ErrNoBackend) Error() string {
	return fmt.Sprintf("no backend server can take the job [service: %s, retry after: %s]", e.Service, e.RetryAfter)
}

// IsErrNoBackend tells whether the error is an ErrNoBackend.
func IsErrNoBackend(err error) bool { return errors.As(err, new(ErrNoBackend)) }

// ErrAnswerNotWhole says that an answer has no declared length, too great a one, or fell short of it.
type ErrAnswerNotWhole struct {
	Declared int64 // bytes; below 0 is none
	Read     int   // bytes
	Cause    error
}

func (e ErrAnswerNotWhole) Error() string {
	return fmt.Sprintf("answer is not whole [declared: %d, read: %d, cause: %v]", e.Declared, e.Read, e.Cause)
}

// Unwrap returns the cause.
func (e ErrAnswerNotWhole) Unwrap() error { return e.Cause }

// IsErrAnswerNotWhole tells whether the error is an ErrAnswerNotWhole.
func IsErrAnswerNotWhole(err error) bool { return errors.As(err, new(ErrAnswerNotWhole)) }
