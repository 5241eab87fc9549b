package basilview

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrStale says that the view is too old to act on.
type ErrStale struct {
	Standing Standing
	Age      time.Duration // of the control loop's last tick
}

func (e ErrStale) Error() string {
	return fmt.Sprintf("view is too old to act on [standing: %s, age: %s]", e.Standing, e.Age)
}

// IsErrStale tells whether the error is an ErrStale.
func IsErrStale(err error) bool { return errors.As(err, new(ErrStale)) }

// ErrFenced says that another incarnation has taken the member's place.
type ErrFenced struct{ Member string }

func (e ErrFenced) Error() string {
	return fmt.Sprintf("member was replaced by another incarnation [member: %s]", e.Member)
}

// IsErrFenced tells whether the error is an ErrFenced.
func IsErrFenced(err error) bool { return errors.As(err, new(ErrFenced)) }

// ErrMemberNotExist says that no such member is registered.
type ErrMemberNotExist struct{ ID string }

func (e ErrMemberNotExist) Error() string {
	return fmt.Sprintf("member does not exist [id: %s]", e.ID)
}

// IsErrMemberNotExist tells whether the error is an ErrMemberNotExist.
func IsErrMemberNotExist(err error) bool { return errors.As(err, new(ErrMemberNotExist)) }
