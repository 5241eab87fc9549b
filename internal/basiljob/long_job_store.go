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

// Limits of the search for the fate of a write whose answer was lost.
const (
	maxResolveReads   = 4
	resolveBackoff    = 20 * time.Millisecond
	resolveBackoffMax = 400 * time.Millisecond
)

// longJobStore reads and writes long jobs; it never guesses what became of a write.
type longJobStore struct {
	table  basilplatform.Table
	jitter func(time.Duration) time.Duration
}

// load returns the job; it fails with ErrJobNotExist.
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

// body returns an item that is stored as it is; it fails with ErrItemCorrupt on a wrong checksum.
func (s longJobStore) body(ctx context.Context, k basilplatform.Key, sum uint64) ([]byte, error) {
	i, err := s.table.Get(ctx, k)
	if err != nil {
		return nil, err
	}
	if checksum(i.Body) != sum {
		return nil, errors.WithStack(ErrItemCorrupt{Key: k})
	}
	return i.Body, nil
}

// save replaces the job's record at its version, with further writes in the same transaction.
//
// It fails with ErrConditionFailed when the record has moved on, by whomever;
// the caller then reads it again. ErrUnavailable means that nothing was
// written, and ErrOutcomeUnknown that it may still be.
func (s longJobStore) save(ctx context.Context, j longJob, more ...basilplatform.Write) (longJob, error) {
	w, err := j.put(j.version)
	if err != nil {
		return longJob{}, err
	}
	x := basilplatform.Transaction{Token: ulid.Make().String(), Writes: append([]basilplatform.Write{w}, more...)}
	err = s.table.Transact(ctx, x)
	if basilplatform.IsErrOutcomeUnknown(err) {
		err = s.resolve(ctx, x, w)
	}
	if err != nil {
		return longJob{}, err
	}
	j.version, j.token = j.version+1, x.Token
	return j, nil
}

// resolve finds out what became of a transaction from the record that it writes first.
//
// While the record stands at the version that the transaction needs, sending it
// again is harmless: at most one copy can take effect.
func (s longJobStore) resolve(ctx context.Context, x basilplatform.Transaction, w basilplatform.Write) error {
	for n := range maxResolveReads {
		if err := s.pause(ctx, n); err != nil {
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

// pause waits before the nth retry.
func (s longJobStore) pause(ctx context.Context, n int) error {
	if n == 0 {
		return ctx.Err()
	}
	ceiling := min(resolveBackoff<<n, resolveBackoffMax)
	return basiltimer.Wait(ctx, s.jitter(ceiling))
}

// fullJitter returns a random wait up to the ceiling.
func fullJitter(ceiling time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(ceiling)) + 1)
}
