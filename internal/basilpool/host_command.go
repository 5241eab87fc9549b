package basilpool

import (
	"context"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// Register adds a listed host to the pool named in the listing, or updates its location and address.
//
// It is idempotent and fails with ErrPoolNotExist and as Do does.
func (p *Pools) Register(ctx context.Context, l basilplatform.ListedHost, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionRegister, Host: l.ID, listed: l}, a)
}

// Move starts to move an active host to the target pool; from then on it doesn't count as available.
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

// Drained records that a leaving host has no more work; the epoch must be the host's current one.
//
// It fails with ErrHostStale, ErrHostConflict and as Do does.
func (p *Pools) Drained(ctx context.Context, host string, epoch int64, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionDrained, Host: host, Epoch: epoch}, a)
}

// Maintain records that a drained host is handed over to the platform; a moving host is refused.
//
// It fails with ErrHostStale, ErrHostConflict and as Do does.
func (p *Pools) Maintain(ctx context.Context, host string, epoch int64, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionMaintain, Host: host, Epoch: epoch}, a)
}

// Finish completes a move or maintenance; the host is active again, after a move in the target pool.
//
// It fails with ErrHostStale, ErrHostConflict, ErrPoolNotExist and as Do does.
func (p *Pools) Finish(ctx context.Context, host string, epoch int64, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionFinish, Host: host, Epoch: epoch}, a)
}

// Return puts a leaving, drained or failed host back into service in its own pool.
//
// It fails with ErrHostConflict and as Do does.
func (p *Pools) Return(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionReturn, Host: host}, a)
}

// Fail records an unplanned failure regardless of budgets; a host that has already failed stays unchanged.
//
// It fails with ErrHostNotExist and as Do does.
func (p *Pools) Fail(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionFail, Host: host}, a)
}

// Remove removes a failed host from the fleet and returns its last state.
//
// It fails with ErrHostConflict and as Do does.
func (p *Pools) Remove(ctx context.Context, host string, a basilaudit.Actor) (basilmodel.Host, error) {
	return p.Do(ctx, Order{Action: ActionRemove, Host: host}, a)
}
