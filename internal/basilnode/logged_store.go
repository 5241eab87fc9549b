package basilnode

import (
	"context"
	"strings"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// loggedStore logs and counts each write that the store rejects as invalid, such as one with a row that is too long: no
// retry of it can succeed.
type loggedStore struct {
	basilwork.Store
	log     *logrus.Logger
	metrics *metrics
}

// Transact implements basilwork.Store and reports a rejected write.
func (s loggedStore) Transact(ctx context.Context, t basilplatform.Transaction) error {
	_, err := s.Commit(ctx, t)
	return err
}

// Commit implements basilwork.Store and reports a rejected write.
func (s loggedStore) Commit(ctx context.Context, t basilplatform.Transaction) (int64, error) {
	version, err := s.Store.Commit(ctx, t)
	if basilplatform.IsErrRefused(err) {
		s.logRejected(t, err)
	}
	return version, err
}

func (s loggedStore) logRejected(t basilplatform.Transaction, err error) {
	var table, longest string
	bytes, longestBytes := 0, 0
	for _, w := range t.Writes {
		if table == "" && w.Kind != basilplatform.WriteKindCheck {
			table, _, _ = strings.Cut(w.Key.Partition, "/")
		}
		bytes += len(w.Body)
		if len(w.Body) > longestBytes {
			longestBytes, longest = len(w.Body), w.Key.Sort
		}
	}
	s.metrics.writeRejected(table)
	s.log.WithError(err).WithFields(logrus.Fields{
		"table": table, "writes": len(t.Writes), "bytes": bytes, "longest": longest, "longest_bytes": longestBytes,
	}).Error("store rejected write as invalid")
}
