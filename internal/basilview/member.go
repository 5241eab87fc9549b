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

const memberPage = 500

// MemberRecord is the stored form of a Member.
type MemberRecord struct {
	ID          string    `json:"id"`
	DataCentre  string    `json:"data_centre"`
	Incarnation ulid.ULID `json:"incarnation"`
	HTTP        string    `json:"http"` // IP:port for callers and operators
	Peer        string    `json:"peer"` // IP:port for peers
	Beat        int64     `json:"beat"`
	Applied     int64     `json:"applied"`  // audit sequence in force here and at those it sponsors
	Revision    int64     `json:"revision"` // configuration revision in force here
	Left        bool      `json:"left,omitempty"`
}

// Member is one registered entry host.
type Member struct{ record MemberRecord }

// NewMember returns the member that the record describes.
func NewMember(r MemberRecord) Member { return Member{record: r} }

// Record returns the stored form.
func (m Member) Record() MemberRecord { return m.record }

// ID returns the member's name.
func (m Member) ID() string { return m.record.ID }

// DataCentre returns the data centre that the member serves.
func (m Member) DataCentre() string { return m.record.DataCentre }

// Incarnation returns the id of the member's present process.
func (m Member) Incarnation() ulid.ULID { return m.record.Incarnation }

// Applied returns the audit sequence that the member has applied.
func (m Member) Applied() int64 { return m.record.Applied }

// Beat returns the count of heartbeats.
func (m Member) Beat() int64 { return m.record.Beat }

// Registry keeps the members' items in the table.
type Registry struct{ table basilplatform.Table }

// NewRegistry returns the registry kept in the table.
func NewRegistry(t basilplatform.Table) *Registry { return &Registry{table: t} }

func memberKey(id string) basilplatform.Key {
	return basilplatform.Key{Partition: memberPartition, Sort: id}
}

// List returns the registered members in the order of their ids.
func (r *Registry) List(ctx context.Context) ([]Member, error) {
	var all []Member
	after := ""
	for {
		items, err := r.table.Query(ctx, memberPartition, after, memberPage)
		if err != nil {
			return nil, err
		}
		for _, i := range items {
			var m MemberRecord
			if err := json.Unmarshal(i.Body, &m); err != nil {
				return nil, errors.WithStack(err)
			}
			after = i.Key.Sort
			if !m.Left {
				all = append(all, NewMember(m))
			}
		}
		if len(items) < memberPage {
			return all, nil
		}
	}
}

// Leave ends the registration of a member that the platform has declared gone, with an entry in the audit trail.
//
// The item stays as a mark, so that its version keeps growing and fences the
// former holder. It fails with ErrMemberNotExist and as basilaudit.Trail.Commit does.
func Leave(ctx context.Context, t *basilaudit.Trail, id string, a basilaudit.Actor) error {
	_, err := t.Commit(ctx, func(ctx context.Context, table basilplatform.Table) (basilaudit.Change, error) {
		c := basilaudit.Change{Entry: basilaudit.EntryRecord{
			Operator: a.Operator, Command: a.Command, Reason: a.Reason, Action: "forget member", Subject: id,
		}}
		w, err := leaveWrite(ctx, table, id)
		c.Writes = []basilplatform.Write{w}
		return c, err
	})
	return err
}

func leaveWrite(ctx context.Context, t basilplatform.Table, id string) (basilplatform.Write, error) {
	i, err := t.Get(ctx, memberKey(id))
	if basilplatform.IsErrItemNotExist(err) {
		return basilplatform.Write{}, errors.WithStack(ErrMemberNotExist{ID: id})
	}
	if err != nil {
		return basilplatform.Write{}, err
	}
	var m MemberRecord
	if err := json.Unmarshal(i.Body, &m); err != nil {
		return basilplatform.Write{}, errors.WithStack(err)
	}
	if m.Left {
		return basilplatform.Write{}, errors.WithStack(ErrMemberNotExist{ID: id})
	}
	m.Left = true
	return memberWrite(m, i.Version)
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
