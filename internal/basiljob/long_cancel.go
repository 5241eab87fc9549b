package basiljob

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits of cancels, which arrive in bursts.
const (
	maxCancelTries = 5 // when the record moves on under a cancel
	cancelTimeout  = 10 * time.Second
	cancelPatience = 5 * time.Second // for a turn
	maxCancelled   = 10_000          // answers of cancels that are remembered
)

// Cancel ends the job if it was not run; from then on it never will be.
//
// Cancels of one job are made once for all who ask, and those of different jobs
// take turns. It fails with ErrTooLate when an attempt may
// have started, which goes on, and with an ErrProblem of OutcomeUnknown when
// the table doesn't tell, or too many cancels wait.
func (l *LongJobs) Cancel(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	shared := l.cancels.DoChan(id.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		return l.cancelInTurn(ctx, id)
	})
	select {
	case r := <-shared:
		a, _ := r.Val.(basilapi.JobAnswer)
		return a, r.Err
	case <-ctx.Done():
		return pending(id), unknown(id, "the caller hung up", 0)
	}
}

// cancelInTurn answers a repeat from memory: a turn is for a job that may still be open.
func (l *LongJobs) cancelInTurn(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	if a, ok := l.cancelled.Get(id); ok {
		return a, nil
	}
	wait := l.takeTurn()
	if wait > cancelPatience {
		return pending(id), unknown(id, "too many cancels wait", wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	<-timer.C
	a, err := l.cancel(ctx, id)
	if err == nil {
		l.cancelled.Add(id, a)
	}
	return a, err
}

// takeTurn returns the time until the turn that it took; beyond cancelPatience it took none.
//
// A turn is given back before the next is taken: the limiter restores it only in part otherwise.
func (l *LongJobs) takeTurn() time.Duration {
	l.turning.Lock()
	defer l.turning.Unlock()
	turn := l.cancelTurns.Reserve()
	wait := turn.Delay()
	if wait > cancelPatience {
		turn.Cancel()
	}
	return wait
}

func (l *LongJobs) cancel(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	for n := range maxCancelTries {
		if err := l.store.pause(ctx, n); err != nil {
			break
		}
		a, err := l.tryCancel(ctx, id)
		if !basilplatform.IsErrConditionFailed(err) {
			return a, l.cancelError(id, err)
		}
	}
	return pending(id), unknown(id, "the job changes too fast", storeRetryAfter)
}

func (l *LongJobs) cancelError(id basilapi.JobID, err error) error {
	if err == nil || IsErrTooLate(err) || IsErrItemCorrupt(err) {
		return err
	}
	return unknown(id, "the platform did not answer", storeRetryAfter)
}

func (l *LongJobs) tryCancel(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	j, err := l.store.load(ctx, id)
	if IsErrJobNotExist(err) {
		return l.entomb(ctx, id)
	}
	if err != nil {
		return pending(id), err
	}
	if j.final() {
		return endedBefore(j)
	}
	if j.Ran {
		return j.answer(), errors.WithStack(ErrTooLate{ID: id})
	}
	if j.State == basilapi.JobStateStarted {
		if err := l.void(ctx, j); err != nil {
			return j.answer(), err
		}
	}
	c := j.closed(basilapi.JobStateCancelled, basilapi.OutcomeNotRun, basilapi.CodeCancelled, reasonCancelled)
	saved, err := l.store.save(ctx, c, c.closing()...)
	if err != nil {
		return pending(id), err
	}
	l.disown(id)
	return saved.answer(), nil
}

func endedBefore(j longJob) (basilapi.JobAnswer, error) {
	if j.Outcome == basilapi.OutcomeNotRun {
		return j.answer(), nil
	}
	return j.answer(), errors.WithStack(ErrTooLate{ID: j.ID})
}

// void makes sure that the recorded attempt never starts, or fails with ErrTooLate.
//
// It stops nothing that is known to run.
func (l *LongJobs) void(ctx context.Context, j longJob) error {
	if j.Seen {
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

// closed returns the job in a final state.
func (j longJob) closed(s basilapi.JobState, o basilapi.Outcome, c basilapi.Code, reason string) longJob {
	j.State, j.Outcome, j.Code, j.Reason = s, o, c, reason
	return j
}

// closing returns the writes that go with a final state.
func (j longJob) closing() []basilplatform.Write {
	w := []basilplatform.Write{
		deleteItem(j.indexKey()),
		deleteItem(jobKey(j.ID, sortPayload)),
		putBody(j.endedKey(time.Now()), basilplatform.PreconditionNone, nil),
	}
	if j.Checkpoint != 0 {
		w = append(w, deleteItem(jobKey(j.ID, sortCheckpoint)))
	}
	return w
}
