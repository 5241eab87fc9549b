package basilplatform

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrConflict is the cause of an ErrUnavailable whose transaction met another one in flight.
//
// It had no effect, and the service is well: it can be sent again soon.
type ErrConflict struct{ Key Key }

func (e ErrConflict) Error() string {
	return fmt.Sprintf("transactions conflict [partition: %s, sort: %s]", e.Key.Partition, e.Key.Sort)
}

// IsErrConflict tells whether the error is an ErrConflict.
func IsErrConflict(err error) bool { return errors.As(err, new(ErrConflict)) }
