package basilconfig

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

var headKey = basilplatform.Key{Partition: "configuration", Sort: "head"}

// Current returns the newest accepted configuration and its table item, or an
// empty configuration with revision 0 when there is none.
func Current(ctx context.Context, t basilplatform.Table) (basilmodel.Configuration, basilplatform.Item, error) {
	var c basilmodel.Configuration
	i, err := t.Get(ctx, headKey)
	if basilplatform.IsErrItemNotExist(err) {
		return c, i, nil
	}
	if err != nil {
		return c, i, err
	}
	err = json.Unmarshal(i.Body, &c)
	return c, i, errors.WithStack(err)
}

// Apply accepts the record as the revision that follows base and returns it.
//
// It fails with ErrRevisionConflict when base is not the newest revision, with
// ErrConfigurationInvalid, and as basilaudit.Trail.Commit does.
func Apply(ctx context.Context, t *basilaudit.Trail, base int64, r basilmodel.ConfigurationRecord, a basilaudit.Actor) (basilmodel.Configuration, error) {
	if err := Check(r); err != nil {
		return basilmodel.Configuration{}, err
	}
	r = r.Canonical()
	var accepted basilmodel.Configuration
	e, err := t.Commit(ctx, func(ctx context.Context, table basilplatform.Table) (basilaudit.Change, error) {
		var c basilaudit.Change
		var err error
		c, accepted, err = decideRevision(ctx, table, base, r, a)
		return c, err
	})
	if err != nil {
		return basilmodel.Configuration{}, err
	}
	if e.Configuration() == nil {
		return basilmodel.Configuration{}, errors.WithStack(ErrCommandReused{Command: a.Command})
	}
	if d := e.Configuration(); d.Revision != accepted.Revision() || e.Record().Command != "" {
		return Revision(ctx, t.Table(), d.Revision) // an earlier command with the same id may have made this revision
	}
	return accepted, nil
}

func decideRevision(ctx context.Context, t basilplatform.Table, base int64, r basilmodel.ConfigurationRecord, a basilaudit.Actor) (basilaudit.Change, basilmodel.Configuration, error) {
	c := basilaudit.Change{Entry: basilaudit.EntryRecord{
		Operator: a.Operator, Command: a.Command, Reason: a.Reason, Action: "apply configuration",
	}}
	current, i, err := Current(ctx, t)
	if err != nil {
		return c, current, err
	}
	if current.Revision() != base {
		return c, current, errors.WithStack(ErrRevisionConflict{Base: base, Newest: current.Revision(), Author: current.Author()})
	}
	r.Revision = base + 1
	r.Author = a.Operator
	r.Reason = a.Reason
	next := basilmodel.NewConfiguration(r)
	delta := current.Delta(next)
	c.Entry.Subject = fmt.Sprintf("revision %d", r.Revision)
	c.Entry.Configuration = &delta
	c.Writes, err = revisionWrites(i, next, delta)
	return c, next, err
}
