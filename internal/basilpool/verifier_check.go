package basilpool

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
)

// ErrTableDiffers says that the table does not hold what the trail tells.
type ErrTableDiffers struct {
	Subject string
	Detail  string
}

func (e ErrTableDiffers) Error() string {
	return fmt.Sprintf("table differs from the trail [subject: %s, detail: %s]", e.Subject, e.Detail)
}

// IsErrTableDiffers tells whether the error is an ErrTableDiffers.
func IsErrTableDiffers(err error) bool { return errors.As(err, new(ErrTableDiffers)) }

// Check adds the entries that are new on the trail and, if there are any, compares
// the hosts and budgets in the table with the trail; no change may run meanwhile.
//
// It fails with ErrTrailViolated, ErrTableDiffers and as the table does.
func (v *Verifier) Check(ctx context.Context, p *Pools) error {
	entries, err := p.trail.After(ctx, v.sequence, 0)
	if err != nil || len(entries) == 0 {
		return err
	}
	for _, e := range entries {
		if err := v.Add(e); err != nil {
			return err
		}
	}
	return v.Compare(ctx, p)
}

// Compare fails with ErrTableDiffers unless the table holds what the entries tell that were added.
func (v *Verifier) Compare(ctx context.Context, p *Pools) error {
	hosts, err := p.Hosts(ctx)
	if err != nil {
		return err
	}
	if err := v.compareHosts(hosts); err != nil {
		return err
	}
	budgets, err := p.Budgets(ctx)
	if err != nil {
		return err
	}
	return v.compareBudgets(budgets)
}

func (v *Verifier) compareHosts(hosts []basilmodel.Host) error {
	if len(hosts) != len(v.hosts) {
		return errors.WithStack(ErrTableDiffers{Subject: "hosts", Detail: fmt.Sprintf("%d, the trail tells %d", len(hosts), len(v.hosts))})
	}
	for _, h := range hosts {
		if told := v.hosts[h.ID()]; told.Record() != h.Record() {
			return errors.WithStack(ErrTableDiffers{Subject: h.ID(), Detail: fmt.Sprintf("%+v, the trail tells %+v", h.Record(), told.Record())})
		}
	}
	return nil
}

func (v *Verifier) compareBudgets(budgets []basilmodel.Budget) error {
	for _, b := range budgets {
		total, available := 0, 0
		for _, h := range v.hosts {
			if h.Pool() != b.Pool() {
				continue
			}
			total++
			if h.State() == basilmodel.HostStateActive {
				available++
			}
		}
		if b.Hosts() != total || b.Available() != available {
			return errors.WithStack(ErrTableDiffers{
				Subject: b.Service(),
				Detail:  fmt.Sprintf("%d of %d available, the trail tells %d of %d", b.Available(), b.Hosts(), available, total),
			})
		}
	}
	return nil
}
