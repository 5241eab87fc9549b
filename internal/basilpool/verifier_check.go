package basilpool

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
)

// ErrTableDiffers reports that the table doesn't match the trail.
type ErrTableDiffers struct {
	Subject string
	Detail  string
}

func (e ErrTableDiffers) Error() string {
	return fmt.Sprintf("table differs from the trail [subject: %s, detail: %s]", e.Subject, e.Detail)
}

// IsErrTableDiffers reports whether the error is an ErrTableDiffers.
func IsErrTableDiffers(err error) bool { return errors.As(err, new(ErrTableDiffers)) }

// Check adds the new entries of the trail and, if there are any, compares the hosts and budgets in the table with the
// trail. No change may run concurrently.
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

// Compare checks that the table matches the entries added so far; it fails with ErrTableDiffers if not.
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
		return errors.WithStack(ErrTableDiffers{Subject: "hosts", Detail: fmt.Sprintf("%d, expected %d from the trail", len(hosts), len(v.hosts))})
	}
	for _, h := range hosts {
		if expected := v.hosts[h.ID()]; expected.Record() != h.Record() {
			return errors.WithStack(ErrTableDiffers{Subject: h.ID(), Detail: fmt.Sprintf("%+v, expected %+v from the trail", h.Record(), expected.Record())})
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
				Detail:  fmt.Sprintf("%d of %d available, expected %d of %d from the trail", b.Available(), b.Hosts(), available, total),
			})
		}
	}
	return nil
}
