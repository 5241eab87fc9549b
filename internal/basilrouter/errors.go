package basilrouter

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrNoBackend is returned if no backend server of the service can accept a job at the moment.
type ErrNoBackend struct {
	Service    string
	RetryAfter time.Duration
}

func (e ErrNoBackend) Error() string {
	return fmt.Sprintf("no backend server can take the job [service: %s, retry after: %s]", e.Service, e.RetryAfter)
}

// IsErrNoBackend reports whether err is or wraps an ErrNoBackend.
func IsErrNoBackend(err error) bool { return errors.As(err, new(ErrNoBackend)) }

// ErrIncompleteResponse is returned if a response declares no length, exceeds the size limit or ends early.
type ErrIncompleteResponse struct {
	Declared int64 // bytes; negative if no length was declared
	Read     int   // bytes
	Cause    error
}

func (e ErrIncompleteResponse) Error() string {
	return fmt.Sprintf("answer is not whole [declared: %d, read: %d, cause: %v]", e.Declared, e.Read, e.Cause)
}

// Unwrap returns the read error, if any.
func (e ErrIncompleteResponse) Unwrap() error { return e.Cause }

// IsErrIncompleteResponse reports whether err is or wraps an ErrIncompleteResponse.
func IsErrIncompleteResponse(err error) bool { return errors.As(err, new(ErrIncompleteResponse)) }
