package basilview

import (
	"context"
	"encoding/json"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilplatform"
)

const memberPartition = "member"

const memberPageSize = 500 // items per query

// MemberRecord is the stored form of a Member.
type MemberRecord struct {
	ID          string    `json:"id"`
	DataCentre  string    `json:"data_centre"`
	Incarnation ulid.ULID `json:"incarnation"`
	HTTP        string    `json:"http"`           // IP:port that serves callers and operators
	Peer        string    `json:"peer"`           // IP:port that serves peers
	Heartbeats  int64     `json:"beat"`           // number of heartbeats of this incarnation
	Applied     int64     `json:"applied"`        // audit sequence applied by this entry host and by all that it sponsors
	Revision    int64     `json:"revision"`       // configuration revision in force on this entry host
	Left        bool      `json:"left,omitempty"` // registration has ended; the item is a tombstone
}

// Member is a registered entry host.
type Member struct{ record MemberRecord }

// NewMember returns the member described by the record.
func NewMember(r MemberRecord) Member { return Member{record: r} }

// Record returns the stored form.
func (m Member) Record() MemberRecord { return m.record }

// ID returns the ID under which the member is registered.
func (m Member) ID() string { return m.record.ID }

// DataCentre returns the data centre that the member serves.
func (m Member) DataCentre() string { return m.record.DataCentre }

// Incarnation returns the ID of the member's current process.
func (m Member) Incarnation() ulid.ULID { return m.record.Incarnation }

// Applied returns the audit sequence applied by the member and by all entry hosts that it sponsors.
func (m Member) Applied() int64 { return m.record.Applied }

// Heartbeats returns the number of heartbeats of the member's incarnation.
func (m Member) Heartbeats() int64 { return m.record.Heartbeats }

// Registry reads and writes the member items in the table.
type Registry struct{ table basilplatform.Table }

// NewRegistry returns a registry that is stored in the table.
func NewRegistry(table basilplatform.Table) *Registry { return &Registry{table: table} }

func memberKey(id string) basilplatform.Key {
	return basilplatform.Key{Partition: memberPartition, Sort: id}
}

// List returns the registered members, sorted by ID.
func (r *Registry) List(ctx context.Context) ([]Member, error) {
	var members []Member
	after := ""
	for {
		items, err := r.table.Query(ctx, memberPartition, after, memberPageSize)
		if err != nil {
			return nil, err
		}
		for _, item := range items {
			var m MemberRecord
			if err := json.Unmarshal(item.Body, &m); err != nil {
				return nil, errors.WithStack(err)
			}
			after = item.Key.Sort
			if !m.Left {
				members = append(members, NewMember(m))
			}
		}
		if len(items) < memberPageSize {
			return members, nil
		}
	}
}

// Leave ends the registration of a member that the platform has declared gone, and records it in the audit trail.
//
// The item is kept as a tombstone, so that its version keeps growing and fences
// the former holder. Leave returns ErrMemberNotExist if the member isn't
// registered, and the errors of basilaudit.Trail.Commit.
func Leave(ctx context.Context, trail *basilaudit.Trail, id string, actor basilaudit.Actor) error {
	_, err := trail.Commit(ctx, func(ctx context.Context, table basilplatform.Table) (basilaudit.Change, error) {
		c := basilaudit.Change{Entry: basilaudit.EntryRecord{
			Operator: actor.Operator, Command: actor.Command, Reason: actor.Reason, Action: "forget member", Subject: id,
		}}
		w, err := tombstoneWrite(ctx, table, id)
		c.Writes = []basilplatform.Write{w}
		return c, err
	})
	return err
}

func tombstoneWrite(ctx context.Context, table basilplatform.Table, id string) (basilplatform.Write, error) {
	item, err := table.Get(ctx, memberKey(id))
	if basilplatform.IsErrItemNotExist(err) {
		return basilplatform.Write{}, errors.WithStack(ErrMemberNotExist{ID: id})
	}
	if err != nil {
		return basilplatform.Write{}, err
	}
	var m MemberRecord
	if err := json.Unmarshal(item.Body, &m); err != nil {
		return basilplatform.Write{}, errors.WithStack(err)
	}
	if m.Left {
		return basilplatform.Write{}, errors.WithStack(ErrMemberNotExist{ID: id})
	}
	m.Left = true
	return memberWrite(m, item.Version)
}

func memberWrite(m MemberRecord, version int64) (basilplatform.Write, error) {
	body, err := json.Marshal(m)
	w := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: memberKey(m.ID), Body: body}
	if version > 0 {
		w.Precondition = basilplatform.PreconditionVersion
		w.Version = version
	}
	return w, errors.WithStack(err)
}

func (r *Registry) put(ctx context.Context, m MemberRecord, version int64) error {
	w, err := memberWrite(m, version)
	if err != nil {
		return err
	}
	return r.table.Transact(ctx, basilplatform.Transaction{Token: ulid.Make().String(), Writes: []basilplatform.Write{w}})
}
