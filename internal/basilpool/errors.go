package basilpool

import (
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
)

// ErrBudgetExceeded reports that a planned change would leave a service with too few hosts.
type ErrBudgetExceeded struct {
	Service      string
	Available    int // before the change
	MinAvailable int
}

func (e ErrBudgetExceeded) Error() string {
	return fmt.Sprintf("availability budget would be exceeded [service: %s, available: %d, min available: %d]", e.Service, e.Available, e.MinAvailable)
}

// IsErrBudgetExceeded reports whether the error is an ErrBudgetExceeded.
func IsErrBudgetExceeded(err error) bool { return errors.As(err, new(ErrBudgetExceeded)) }

// ErrPoolTooSmall reports that a move would leave the pool with fewer hosts than declared.
type ErrPoolTooSmall struct {
	Pool     string
	Hosts    int // before the change, without those that are already moving away
	MinHosts int
}

func (e ErrPoolTooSmall) Error() string {
	return fmt.Sprintf("pool would become too small [pool: %s, hosts: %d, min hosts: %d]", e.Pool, e.Hosts, e.MinHosts)
}

// IsErrPoolTooSmall reports whether the error is an ErrPoolTooSmall.
func IsErrPoolTooSmall(err error) bool { return errors.As(err, new(ErrPoolTooSmall)) }

// ErrPoolNotExist reports that no such pool is declared.
type ErrPoolNotExist struct{ Name string }

func (e ErrPoolNotExist) Error() string { return fmt.Sprintf("pool does not exist [name: %s]", e.Name) }

// IsErrPoolNotExist reports whether the error is an ErrPoolNotExist.
func IsErrPoolNotExist(err error) bool { return errors.As(err, new(ErrPoolNotExist)) }

// ErrPoolSame reports that the host already belongs to the pool that it should move to.
type ErrPoolSame struct{ Host, Pool string }

func (e ErrPoolSame) Error() string {
	return fmt.Sprintf("host already belongs to the pool [host: %s, pool: %s]", e.Host, e.Pool)
}

// IsErrPoolSame reports whether the error is an ErrPoolSame.
func IsErrPoolSame(err error) bool { return errors.As(err, new(ErrPoolSame)) }

// ErrServiceNotExist reports that no such service is declared.
type ErrServiceNotExist struct{ Name string }

func (e ErrServiceNotExist) Error() string {
	return fmt.Sprintf("service does not exist [name: %s]", e.Name)
}

// IsErrServiceNotExist reports whether the error is an ErrServiceNotExist.
func IsErrServiceNotExist(err error) bool { return errors.As(err, new(ErrServiceNotExist)) }

// ErrHostNotExist reports that the fleet has no such host.
type ErrHostNotExist struct{ ID string }

func (e ErrHostNotExist) Error() string { return fmt.Sprintf("host does not exist [id: %s]", e.ID) }

// IsErrHostNotExist reports whether the error is an ErrHostNotExist.
func IsErrHostNotExist(err error) bool { return errors.As(err, new(ErrHostNotExist)) }

// ErrHostConflict reports that the host's state doesn't allow the action, and which change led to that state.
type ErrHostConflict struct {
	Host     string
	State    basilmodel.HostState
	Operator string
	Action   string
	Sequence int64
}

func (e ErrHostConflict) Error() string {
	return fmt.Sprintf("host is held by another change [host: %s, state: %s, operator: %s, action: %s, sequence: %d]",
		e.Host, e.State, e.Operator, e.Action, e.Sequence)
}

// IsErrHostConflict reports whether the error is an ErrHostConflict.
func IsErrHostConflict(err error) bool { return errors.As(err, new(ErrHostConflict)) }

// ErrHostStale reports that the host has changed since the caller read it.
type ErrHostStale struct {
	Host           string
	Epoch, Current int64
}

func (e ErrHostStale) Error() string {
	return fmt.Sprintf("host has changed since [host: %s, epoch: %d, current: %d]", e.Host, e.Epoch, e.Current)
}

// IsErrHostStale reports whether the error is an ErrHostStale.
func IsErrHostStale(err error) bool { return errors.As(err, new(ErrHostStale)) }

// errHostUnchanged aborts a commit that would change nothing.
type errHostUnchanged struct{ host basilmodel.Host }

func (e errHostUnchanged) Error() string { return "host is unchanged [host: " + e.host.ID() + "]" }
