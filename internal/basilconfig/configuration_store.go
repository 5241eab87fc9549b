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

const partition = "configuration"

const headSort = "head"

var headKey = basilplatform.Key{Partition: partition, Sort: headSort}

func revisionKey(revision int64) basilplatform.Key {
	return basilplatform.Key{Partition: partition, Sort: fmt.Sprintf("revision-%019d", revision)}
}

// Current returns the newest accepted configuration and its item; revision 0 when there is none.
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

// Revision returns one accepted revision; it fails with ErrRevisionNotExist.
func Revision(ctx context.Context, t basilplatform.Table, revision int64) (basilmodel.Configuration, error) {
	var c basilmodel.Configuration
	i, err := t.Get(ctx, revisionKey(revision))
	if basilplatform.IsErrItemNotExist(err) {
		return c, errors.WithStack(ErrRevisionNotExist{Revision: revision})
	}
	if err != nil {
		return c, err
	}
	err = json.Unmarshal(i.Body, &c)
	return c, errors.WithStack(err)
}

// Apply accepts the record as the revision that follows base and returns it.
//
// It fails with ErrRevisionConflict when base is not the newest revision, with
// ErrConfigurationInvalid, and as basilaudit.Trail.Commit does.
func Apply(ctx context.Context, t *basilaudit.Trail, base int64, r basilmodel.ConfigurationRecord, a basilaudit.Actor) (basilmodel.Configuration, error) {
	if err := Check(r); err != nil {
		return basilmodel.Configuration{}, err
	}
	e, err := t.Commit(ctx, func(ctx context.Context, table basilplatform.Table) (basilaudit.Change, error) {
		return decide(ctx, table, base, r, a)
	})
	if err != nil {
		return basilmodel.Configuration{}, err
	}
	if e.Configuration() == nil {
		return basilmodel.Configuration{}, errors.WithStack(ErrCommandReused{Command: a.Command})
	}
	return *e.Configuration(), nil
}

func decide(ctx context.Context, t basilplatform.Table, base int64, r basilmodel.ConfigurationRecord, a basilaudit.Actor) (basilaudit.Change, error) {
	current, i, err := Current(ctx, t)
	if err != nil {
		return basilaudit.Change{}, err
	}
	if current.Revision() != base {
		return basilaudit.Change{}, errors.WithStack(ErrRevisionConflict{Base: base, Newest: current.Revision(), Author: current.Author()})
	}
	r.Revision = base + 1
	r.Author = a.Operator
	r.Reason = a.Reason
	next := basilmodel.NewConfiguration(r)
	body, err := json.Marshal(next)
	if err != nil {
		return basilaudit.Change{}, errors.WithStack(err)
	}
	move := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: headKey, Body: body}
	if i.Version > 0 {
		move.Precondition = basilplatform.PreconditionVersion
		move.Version = i.Version
	}
	keep := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: revisionKey(r.Revision), Body: body}
	return basilaudit.Change{
		Entry: basilaudit.EntryRecord{
			Operator: a.Operator, Command: a.Command, Reason: a.Reason,
			Action: "apply configuration", Subject: fmt.Sprintf("revision %d", r.Revision), Configuration: &next,
		},
		Writes: []basilplatform.Write{move, keep},
	}, nil
}
