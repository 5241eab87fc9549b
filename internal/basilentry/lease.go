package basilentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/internal/basilplatform"
)

// Periods of a lease.
const (
	leasePeriod = 3 * time.Second // between renewals by the holder and looks by the others
	leaseLooks  = 5               // unchanged looks in a row after which another takes it
)

// lease lets one process work at a time; nothing that must hold rests on it.
type lease struct {
	table  basilplatform.Table
	key    basilplatform.Key
	holder string
	held   bool
	looked time.Time
	last   int64 // the version seen last
	looks  int   // in a row at that version
}

func newLease(t basilplatform.Table, name, holder string) *lease {
	return &lease{table: t, key: basilplatform.Key{Partition: "lease", Sort: name}, holder: holder}
}

// Hold takes or renews the lease when due, and tells whether it is held.
func (l *lease) Hold(ctx context.Context) bool {
	if now := time.Now(); now.Sub(l.looked) >= leasePeriod {
		l.looked = now
		l.held = l.renew(ctx)
	}
	return l.held
}

func (l *lease) renew(ctx context.Context) bool {
	i, err := l.table.Get(ctx, l.key)
	if err != nil && !basilplatform.IsErrItemNotExist(err) {
		return false
	}
	var holder string
	if err == nil && json.Unmarshal(i.Body, &holder) != nil {
		return false
	}
	if i.Version != l.last {
		l.last = i.Version
		l.looks = 0
	}
	l.looks++
	if err == nil && holder != l.holder && l.looks < leaseLooks {
		return false
	}
	return l.put(ctx, i.Version)
}

func (l *lease) put(ctx context.Context, version int64) bool {
	body, err := json.Marshal(l.holder)
	if err != nil {
		return false
	}
	w := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: l.key, Body: body}
	if version > 0 {
		w.Precondition = basilplatform.PreconditionVersion
		w.Version = version
	}
	err = l.table.Transact(ctx, basilplatform.Transaction{Token: ulid.Make().String(), Writes: []basilplatform.Write{w}})
	return err == nil
}
