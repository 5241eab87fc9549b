package basilview

import (
	"context"
	"encoding/json"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
)

// Registration is one incarnation's hold on its member's item.
//
// The item's version is read once, at the start; each heartbeat moves it by one.
// An incarnation that finds another's record at a later version was replaced.
type Registration struct {
	registry    *Registry
	id          string
	incarnation ulid.ULID
	begun       bool
	version     int64
	beat        int64
}

// NewRegistration returns the hold of the incarnation on the member's item.
func NewRegistration(r *Registry, id string, incarnation ulid.ULID) *Registration {
	return &Registration{registry: r, id: id, incarnation: incarnation}
}

// Beat registers the incarnation or renews its registration; it fails with
// ErrFenced when another incarnation has the item, and as the table does.
func (r *Registration) Beat(ctx context.Context, m MemberRecord) error {
	if err := r.begin(ctx); err != nil {
		return err
	}
	r.beat++
	m.Beat = r.beat
	m.ID = r.id
	m.Incarnation = r.incarnation
	err := r.registry.put(ctx, m, r.version)
	if basilplatform.IsErrConditionFailed(err) {
		if err := r.recover(ctx); err != nil {
			return err
		}
		err = r.registry.put(ctx, m, r.version)
	}
	if err != nil {
		return err
	}
	r.version++
	return nil
}

// End marks the registration as left; one that was replaced is left alone.
func (r *Registration) End(ctx context.Context, m MemberRecord) error {
	m.Left = true
	err := r.Beat(ctx, m)
	if IsErrFenced(err) {
		return nil
	}
	return err
}

func (r *Registration) begin(ctx context.Context) error {
	if r.begun {
		return nil
	}
	i, err := r.registry.table.Get(ctx, memberKey(r.id))
	if err != nil && !basilplatform.IsErrItemNotExist(err) {
		return err
	}
	r.version = i.Version
	r.begun = true
	return nil
}

// recover learns the version after a heartbeat whose answer was lost.
func (r *Registration) recover(ctx context.Context) error {
	i, err := r.registry.table.Get(ctx, memberKey(r.id))
	if err != nil && !basilplatform.IsErrItemNotExist(err) {
		return err
	}
	var m MemberRecord
	if err == nil {
		if err := json.Unmarshal(i.Body, &m); err != nil {
			return errors.WithStack(err)
		}
	}
	if m.Incarnation != r.incarnation || m.Left {
		return errors.WithStack(ErrFenced{Member: r.id})
	}
	r.version = i.Version
	return nil
}
