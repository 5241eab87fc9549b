package basilnode

import (
	"context"
	"strings"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// checkedStore tells of each write that the store takes for wrong: one with a row that is too long stays so, however
// often it is repeated.
type checkedStore struct {
	basilwork.Store
	log     *logrus.Logger
	metrics *metrics
}

// Transact is the store's, and tells of a write that was refused.
func (s checkedStore) Transact(ctx context.Context, t basilplatform.Transaction) error {
	_, err := s.Commit(ctx, t)
	return err
}

// Commit is the store's, and tells of a write that was refused.
func (s checkedStore) Commit(ctx context.Context, t basilplatform.Transaction) (int64, error) {
	version, err := s.Store.Commit(ctx, t)
	if basilplatform.IsErrRefused(err) {
		s.refused(t, err)
	}
	return version, err
}

func (s checkedStore) refused(t basilplatform.Transaction, err error) {
	var table, longest string
	bytes, most := 0, 0
	for _, w := range t.Writes {
		if table == "" && w.Kind != basilplatform.WriteKindCheck {
			table, _, _ = strings.Cut(w.Key.Partition, "/")
		}
		bytes += len(w.Body)
		if len(w.Body) > most {
			most, longest = len(w.Body), w.Key.Sort
		}
	}
	s.metrics.refusedWrite(table)
	s.log.WithError(err).WithFields(logrus.Fields{
		"table": table, "writes": len(t.Writes), "bytes": bytes, "longest": longest, "longest_bytes": most,
	}).Error("write refused by the store")
}
