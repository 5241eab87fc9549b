package basilview

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrStale is returned if the entry host may not serve with its current view:
// its standing doesn't allow it, or the control loop has stalled.
type ErrStale struct {
	Standing Standing
	Age      time.Duration // time since the control loop's last tick
}

func (e ErrStale) Error() string {
	return fmt.Sprintf("view is too old to act on [standing: %s, age: %s]", e.Standing, e.Age)
}

// IsErrStale reports whether the error is an ErrStale.
func IsErrStale(err error) bool { return errors.As(err, new(ErrStale)) }

// ErrFenced is returned if another incarnation has replaced this one.
type ErrFenced struct{ Member string }

func (e ErrFenced) Error() string {
	return fmt.Sprintf("member was replaced by another incarnation [member: %s]", e.Member)
}

// IsErrFenced reports whether the error is an ErrFenced.
func IsErrFenced(err error) bool { return errors.As(err, new(ErrFenced)) }

// ErrMemberNotExist is returned if no member with this ID is registered.
type ErrMemberNotExist struct{ ID string }

func (e ErrMemberNotExist) Error() string {
	return fmt.Sprintf("member does not exist [id: %s]", e.ID)
}

// IsErrMemberNotExist reports whether the error is an ErrMemberNotExist.
func IsErrMemberNotExist(err error) bool { return errors.As(err, new(ErrMemberNotExist)) }
