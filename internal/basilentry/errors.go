package basilentry

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrListen says that an address of the settings can't be listened on.
type ErrListen struct {
	Address string
	Cause   error
}

func (e ErrListen) Error() string {
	return fmt.Sprintf("can't listen [address: %s, cause: %v]", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e ErrListen) Unwrap() error { return e.Cause }

// IsErrListen tells whether the error is an ErrListen.
func IsErrListen(err error) bool { return errors.As(err, new(ErrListen)) }
