package basilview

import (
	"context"
	"encoding/json"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
)

// Registration is the registration of one incarnation in its member's item.
//
// The item's version is read before the first heartbeat, and each heartbeat
// increments it. An incarnation that finds another incarnation's record at a
// later version has been replaced.
type Registration struct {
	registry      *Registry
	id            string
	incarnation   ulid.ULID
	versionLoaded bool
	version       int64
	heartbeats    int64
}

// NewRegistration returns the registration of an incarnation, which the first heartbeat writes to the table.
func NewRegistration(r *Registry, id string, incarnation ulid.ULID) *Registration {
	return &Registration{registry: r, id: id, incarnation: incarnation}
}

// Heartbeat registers the incarnation or renews its registration. It returns
// ErrFenced if another incarnation holds the item or the registration has ended,
// and the errors of the table.
func (r *Registration) Heartbeat(ctx context.Context, m MemberRecord) error {
	if err := r.loadVersion(ctx); err != nil {
		return err
	}
	r.heartbeats++
	m.Heartbeats = r.heartbeats
	m.ID = r.id
	m.Incarnation = r.incarnation
	err := r.registry.put(ctx, m, r.version)
	if basilplatform.IsErrConditionFailed(err) {
		if err := r.reloadVersion(ctx); err != nil {
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

// End marks the member as having left. It does nothing if another incarnation holds the item.
func (r *Registration) End(ctx context.Context, m MemberRecord) error {
	m.Left = true
	err := r.Heartbeat(ctx, m)
	if IsErrFenced(err) {
		return nil
	}
	return err
}

func (r *Registration) loadVersion(ctx context.Context) error {
	if r.versionLoaded {
		return nil
	}
	item, err := r.registry.table.Get(ctx, memberKey(r.id))
	if err != nil && !basilplatform.IsErrItemNotExist(err) {
		return err
	}
	r.version = item.Version
	r.versionLoaded = true
	return nil
}

// reloadVersion reads the item's version again after a heartbeat whose response was lost.
// It returns ErrFenced if the item is another incarnation's or marked as left.
func (r *Registration) reloadVersion(ctx context.Context) error {
	item, err := r.registry.table.Get(ctx, memberKey(r.id))
	if err != nil && !basilplatform.IsErrItemNotExist(err) {
		return err
	}
	var m MemberRecord
	if err == nil {
		if err := json.Unmarshal(item.Body, &m); err != nil {
			return errors.WithStack(err)
		}
	}
	if m.Incarnation != r.incarnation || m.Left {
		return errors.WithStack(ErrFenced{Member: r.id})
	}
	r.version = item.Version
	return nil
}
