package basilledger

import (
	"fmt"

	"github.com/pkg/errors"
)

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

// Unwrap returns the cause.
func (e ErrRecordUnreadable) Unwrap() error { return e.Cause }
