package basilpool

import (
	"context"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
)

// Host returns one host; it fails with ErrHostNotExist and as the table does.
func (p *Pools) Host(ctx context.Context, id string) (basilmodel.Host, error) {
	var h basilmodel.Host
	version, err := load(ctx, p.trail.Table(), hostKey(id), &h)
	if err == nil && version == 0 {
		err = errors.WithStack(ErrHostNotExist{ID: id})
	}
	return h, err
}

// Hosts returns all hosts ordered by ID. It reads several pages without a consistent snapshot; it is meant for a cold start.
func (p *Pools) Hosts(ctx context.Context) ([]basilmodel.Host, error) {
	return queryHosts(ctx, p.trail.Table())
}

// Budget returns the service's budget; it fails with ErrServiceNotExist and as the table does.
func (p *Pools) Budget(ctx context.Context, service string) (basilmodel.Budget, error) {
	c, _, err := basilconfig.Current(ctx, p.trail.Table())
	if err != nil {
		return basilmodel.Budget{}, err
	}
	s, ok := c.Service(service)
	if !ok {
		return basilmodel.Budget{}, errors.WithStack(ErrServiceNotExist{Name: service})
	}
	t, err := p.tally(ctx, s.Pool)
	return t.budget(s), err
}

// Budgets returns the budgets of all declared services, in their declared order.
func (p *Pools) Budgets(ctx context.Context) ([]basilmodel.Budget, error) {
	c, _, err := basilconfig.Current(ctx, p.trail.Table())
	if err != nil {
		return nil, err
	}
	tallies := make(map[string]tallyRecord)
	budgets := make([]basilmodel.Budget, 0, len(c.Services()))
	for _, s := range c.Services() {
		t, ok := tallies[s.Pool]
		if !ok {
			if t, err = p.tally(ctx, s.Pool); err != nil {
				return nil, err
			}
			tallies[s.Pool] = t
		}
		budgets = append(budgets, t.budget(s))
	}
	return budgets, nil
}

func (p *Pools) tally(ctx context.Context, pool string) (tallyRecord, error) {
	var t tallyRecord
	_, err := load(ctx, p.trail.Table(), poolKey(pool), &t)
	return t, err
}
