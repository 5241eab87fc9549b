package basiljob

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits for finding out the outcome of a transaction whose response was lost.
const (
	maxResolveReads   = 4
	resolveBackoff    = 20 * time.Millisecond
	resolveBackoffMax = 400 * time.Millisecond
)

// longJobStore reads and writes long jobs; it reports a write as made or not made only with proof.
type longJobStore struct {
	table  basilplatform.Table
	jitter func(time.Duration) time.Duration
}

// load returns the job; it fails with ErrJobNotExist if there is no record.
func (s longJobStore) load(ctx context.Context, id basilapi.JobID) (longJob, error) {
	i, err := s.table.Get(ctx, jobKey(id, sortRecord))
	if basilplatform.IsErrItemNotExist(err) {
		return longJob{}, errors.WithStack(ErrJobNotExist{ID: id})
	}
	if err != nil {
		return longJob{}, err
	}
	return parseLongJob(i)
}

// loadBody returns the raw body of an item; it fails with ErrItemCorrupt if the checksum differs.
func (s longJobStore) loadBody(ctx context.Context, k basilplatform.Key, sum uint64) ([]byte, error) {
	i, err := s.table.Get(ctx, k)
	if err != nil {
		return nil, err
	}
	if checksum(i.Body) != sum {
		return nil, errors.WithStack(ErrItemCorrupt{Key: k})
	}
	return i.Body, nil
}

// save replaces the job's record if its version is unchanged, with further writes in the same transaction.
//
// It fails with ErrConditionFailed if the record was changed by anyone; the
// caller must then reload it. ErrUnavailable means that nothing was written,
// and ErrOutcomeUnknown that the write may have taken effect or still may.
func (s longJobStore) save(ctx context.Context, j longJob, more ...basilplatform.Write) (longJob, error) {
	w, err := j.put(j.version)
	if err != nil {
		return longJob{}, err
	}
	x := basilplatform.Transaction{Token: ulid.Make().String(), Writes: append([]basilplatform.Write{w}, more...)}
	err = s.table.Transact(ctx, x)
	if basilplatform.IsErrOutcomeUnknown(err) {
		err = s.resolveOutcome(ctx, x, w)
	}
	if err != nil {
		return longJob{}, err
	}
	j.version, j.token = j.version+1, x.Token
	return j, nil
}

// resolveOutcome finds out the outcome of a transaction by reading the record that is its first write.
//
// While the record still has the version that the transaction requires, the
// transaction can safely be sent again: at most one copy can take effect.
func (s longJobStore) resolveOutcome(ctx context.Context, x basilplatform.Transaction, w basilplatform.Write) error {
	for n := range maxResolveReads {
		if err := s.waitBeforeRetry(ctx, n); err != nil {
			break
		}
		i, err := s.table.Get(ctx, w.Key)
		switch {
		case err == nil && i.Token == x.Token:
			return nil
		case err == nil && i.Version != w.Version:
			return errors.WithStack(basilplatform.ErrConditionFailed{Key: w.Key})
		case err != nil && !basilplatform.IsErrItemNotExist(err):
			continue
		}
		if err := s.table.Transact(ctx, x); err == nil {
			return nil
		}
	}
	return errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: "save job", Token: x.Token})
}

// waitBeforeRetry waits before the given retry; retry 0 is the first try and doesn't wait.
func (s longJobStore) waitBeforeRetry(ctx context.Context, retry int) error {
	if retry == 0 {
		return ctx.Err()
	}
	ceiling := min(resolveBackoff<<retry, resolveBackoffMax)
	return basiltimer.Wait(ctx, s.jitter(ceiling))
}

// fullJitter returns a random duration up to the ceiling.
func fullJitter(ceiling time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(ceiling)) + 1)
}
