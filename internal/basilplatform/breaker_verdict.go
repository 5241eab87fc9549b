package basilplatform

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// minPatience is the least time a caller must give a call for its end to say anything of the table service.
const minPatience = 100 * time.Millisecond

// errSlowCall is the verdict on a call that took too long; callers never see it.
type errSlowCall struct{ took time.Duration }

func (e errSlowCall) Error() string { return fmt.Sprintf("slow call [took: %s]", e.took) }

// errNoVerdict is the verdict on a call that its caller left; callers never see it.
type errNoVerdict struct{}

func (e errNoVerdict) Error() string { return "no verdict" }

func isErrNoVerdict(err error) bool { return errors.As(err, new(errNoVerdict)) }

// verdict returns what the call says of the table service: nil when it is well.
func (b *Breaker) verdict(ctx context.Context, err error, took time.Duration) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled), ctx.Err() != nil && took < minPatience:
		return errNoVerdict{}
	case took > b.options.SlowCall:
		err = errSlowCall{took: took}
	case IsErrConflict(err), !IsErrUnavailable(err) && !IsErrOutcomeUnknown(err):
		return nil
	}
	b.failures.Add(1)
	return err
}
