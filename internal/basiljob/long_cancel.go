package basiljob

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits of cancellations, which arrive in bursts.
const (
	maxCancelTries  = 5 // if the record changes concurrently
	cancelTimeout   = 10 * time.Second
	maxCancelWait   = 5 * time.Second // longest wait for the rate limiter
	cancelCacheSize = 10_000          // answers of cancellations in the cache
)

// Cancel cancels the job if it hasn't run; after success it never runs.
//
// Concurrent calls for one job share one cancellation, and cancellations of
// different jobs are rate limited. It fails with ErrTooLate if an attempt may
// have started, and lets that attempt continue. It fails with an ErrProblem of
// OutcomeUnknown if the table doesn't answer or too many cancellations are
// waiting.
func (l *LongJobs) Cancel(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	result := l.cancelGroup.DoChan(id.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		return l.cancelRateLimited(ctx, id)
	})
	select {
	case r := <-result:
		a, _ := r.Val.(basilapi.JobAnswer)
		return a, r.Err
	case <-ctx.Done():
		return unknownAnswer(id), outcomeUnknownError(id, "the caller hung up", 0)
	}
}

// cancelRateLimited answers repeated cancellations from the cache; only jobs that may still be open count against the rate limit.
func (l *LongJobs) cancelRateLimited(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	if a, ok := l.cancelCache.Get(id); ok {
		return a, nil
	}
	wait := l.reserveCancel()
	if wait > maxCancelWait {
		return unknownAnswer(id), outcomeUnknownError(id, "too many cancels wait", wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	<-timer.C
	a, err := l.cancel(ctx, id)
	if err == nil {
		l.cancelCache.Add(id, a)
	}
	return a, err
}

// reserveCancel reserves a cancellation and returns the wait for it; beyond maxCancelWait nothing is reserved.
//
// The mutex makes sure that a rejected reservation is returned before the next
// one is made; otherwise the limiter restores it only in part.
func (l *LongJobs) reserveCancel() time.Duration {
	l.reserveMutex.Lock()
	defer l.reserveMutex.Unlock()
	reservation := l.cancelLimiter.Reserve()
	wait := reservation.Delay()
	if wait > maxCancelWait {
		reservation.Cancel()
	}
	return wait
}

func (l *LongJobs) cancel(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	for n := range maxCancelTries {
		if err := l.store.waitBeforeRetry(ctx, n); err != nil {
			break
		}
		a, err := l.cancelOnce(ctx, id)
		if !basilplatform.IsErrConditionFailed(err) {
			return a, l.toCancelError(id, err)
		}
	}
	return unknownAnswer(id), outcomeUnknownError(id, "the job changes too fast", storeRetryAfter)
}

func (l *LongJobs) toCancelError(id basilapi.JobID, err error) error {
	if err == nil || IsErrTooLate(err) || IsErrItemCorrupt(err) {
		return err
	}
	return outcomeUnknownError(id, "the platform did not answer", storeRetryAfter)
}

func (l *LongJobs) cancelOnce(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	j, err := l.store.load(ctx, id)
	if IsErrJobNotExist(err) {
		return l.storeTombstone(ctx, id)
	}
	if err != nil {
		return unknownAnswer(id), err
	}
	if j.final() {
		return cancelEnded(j)
	}
	if j.MayHaveRun {
		return j.answer(), errors.WithStack(ErrTooLate{ID: id})
	}
	if j.State == basilapi.JobStateStarted {
		if err := l.preventStart(ctx, j); err != nil {
			return j.answer(), err
		}
	}
	c := j.withFinalState(basilapi.JobStateCancelled, basilapi.OutcomeNotRun, basilapi.CodeCancelled, reasonCancelled)
	saved, err := l.store.save(ctx, c, c.finalWrites()...)
	if err != nil {
		return unknownAnswer(id), err
	}
	l.disown(id)
	return saved.answer(), nil
}

func cancelEnded(j longJob) (basilapi.JobAnswer, error) {
	if j.Outcome == basilapi.OutcomeNotRun {
		return j.answer(), nil
	}
	return j.answer(), errors.WithStack(ErrTooLate{ID: j.ID})
}

// preventStart makes sure that the recorded attempt never starts, or fails with ErrTooLate.
//
// It doesn't stop an attempt that is known to be running.
func (l *LongJobs) preventStart(ctx context.Context, j longJob) error {
	if j.StartConfirmed {
		return errors.WithStack(ErrTooLate{ID: j.ID})
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	s, err := l.tasks.Status(ctx, j.Address, j.ID.String(), j.Attempt)
	if err == nil && s.State == basilplatform.TaskStateAbsent {
		s, err = l.tasks.Stop(ctx, j.Address, j.ID.String(), j.Attempt)
	}
	if err != nil || !j.neverStarted(s) {
		return errors.WithStack(ErrTooLate{ID: j.ID})
	}
	return nil
}

// withFinalState returns a copy of the job in the given final state.
func (j longJob) withFinalState(s basilapi.JobState, o basilapi.Outcome, c basilapi.Code, reason string) longJob {
	j.State, j.Outcome, j.Code, j.Reason = s, o, c, reason
	return j
}

// finalWrites returns the writes that must accompany a record in a final state.
func (j longJob) finalWrites() []basilplatform.Write {
	w := []basilplatform.Write{
		deleteItem(j.indexKey()),
		deleteItem(jobKey(j.ID, sortPayload)),
		putBody(j.endedKey(time.Now()), basilplatform.PreconditionNone, nil),
	}
	if j.CheckpointSum != 0 {
		w = append(w, deleteItem(jobKey(j.ID, sortCheckpoint)))
	}
	return w
}
