package basilpool

import (
	"context"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// Register takes a listed host into the pool that the listing names, or notes its new place and address.
//
// It is idempotent and fails with ErrPoolNotExist and as Do does.
func (p *Pools) Register(ctx context.Context, l basilplatform.ListedHost, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionRegister, Host: l.ID, listed: l}, a)
}

// Move starts to take an active host to the target pool; from then on it does not count as available.
//
// It fails with ErrBudgetExceeded, ErrPoolTooSmall, ErrPoolNotExist, ErrPoolSame, ErrHostConflict and as Do does.
func (p *Pools) Move(ctx context.Context, host, target string, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionMove, Host: host, Target: target}, a)
}

// Drain starts to take an active host out of service for maintenance.
//
// It fails with ErrBudgetExceeded, ErrHostConflict and as Do does.
func (p *Pools) Drain(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionDrain, Host: host}, a)
}

// Drained notes that a leaving host holds no more work; the epoch must be the host's current one.
//
// It fails with ErrHostStale, ErrHostConflict and as Do does.
func (p *Pools) Drained(ctx context.Context, host string, epoch int64, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionDrained, Host: host, Epoch: epoch}, a)
}

// Maintain notes that a drained host is handed to the platform; a host that moves can't be.
//
// It fails with ErrHostStale, ErrHostConflict and as Do does.
func (p *Pools) Maintain(ctx context.Context, host string, epoch int64, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionMaintain, Host: host, Epoch: epoch}, a)
}

// Finish ends a move in the target pool, or maintenance; the host is active again.
//
// It fails with ErrHostStale, ErrHostConflict, ErrPoolNotExist and as Do does.
func (p *Pools) Finish(ctx context.Context, host string, epoch int64, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionFinish, Host: host, Epoch: epoch}, a)
}

// Return takes a leaving, drained or failed host back into service in its own pool.
//
// It fails with ErrHostConflict and as Do does.
func (p *Pools) Return(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionReturn, Host: host}, a)
}

// Fail notes an unplanned loss; no budget refuses it, and a host that has failed already stays as it is.
//
// It fails with ErrHostNotExist and as Do does.
func (p *Pools) Fail(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionFail, Host: host}, a)
}

// Remove strikes a failed host off the fleet and returns it as it was.
//
// It fails with ErrHostConflict and as Do does.
func (p *Pools) Remove(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionRemove, Host: host}, a)
}
