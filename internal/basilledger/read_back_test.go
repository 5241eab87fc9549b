package basilledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// unansweredStore answers no writes and carries them out after some time.
type unansweredStore struct {
	*memoryStore
	late time.Duration
}

func (s *unansweredStore) Commit(ctx context.Context, t basilplatform.Transaction) (int64, error) {
	time.AfterFunc(s.late, func() { _, _ = s.memoryStore.Commit(context.Background(), t) })
	<-ctx.Done()
	return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit", Cause: ctx.Err()}
}

func (s *unansweredStore) Transact(ctx context.Context, t basilplatform.Transaction) error {
	_, err := s.Commit(ctx, t)
	return err
}

// TestMoveGoesOnWhileWritesHaveNoAnswer checks that each step of a move of a queue takes no longer than until its write can be read, if the
// answer is lost. Nothing of the queue is stored meanwhile.
func TestMoveGoesOnWhileWritesHaveNoAnswer(t *testing.T) {
	const late = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		move(t, New(s), "looms", 1)
		l := New(&unansweredStore{s, late})
		began := time.Now()
		a, gate := move(t, l, "press", 2)
		must.LessEq(t, 1500*time.Millisecond, time.Since(began), must.Sprint("half of the time that most callers wait"))
		must.Eq(t, []string{"press", "looms"}, a.Services())
		must.NoError(t, accept(t, New(s), "press", 1, gate))
		must.NoError(t, func() error { _, err := New(s).Reassign(t.Context(), "q", a, "looms", 3); return err }())
	})
}

// TestWriteOfAnotherIsNotFound checks that a row which another process has changed meanwhile doesn't pass for one's own write.
func TestWriteOfAnotherIsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		a, _ := move(t, New(s), "looms", 1)
		l := New(&unansweredStore{s, time.Second})
		time.AfterFunc(100*time.Millisecond, func() { _, _ = New(s).Reassign(t.Context(), "q", a, "press", 2) })
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := l.Reassign(ctx, "q", a, "loom", 2)
		must.True(t, basilplatform.IsErrOutcomeUnknown(err))
	})
}

// TestAcceptanceIsFoundWhileWriteHasNoAnswer checks that jobs count as stored as soon as their rows can be read, if the answer to the write is lost,
// and that a tombstone isn't taken for stored where the job is.
func TestAcceptanceIsFoundWhileWriteHasNoAnswer(t *testing.T) {
	const late, writeTimeout = 300 * time.Millisecond, 1200 * time.Millisecond // the latter is the shortest one
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newMemoryStore()
		_, gate := move(t, New(s), "looms", 1)
		unanswered := &unansweredStore{s, late}
		began := time.Now()
		must.NoError(t, accept(t, New(unanswered), "looms", 0, gate))
		must.Less(t, writeTimeout, time.Since(began))

		a := NewAcceptor(ctx, unanswered, "looms", func([]Acceptance, int64) { t.Error("who stored the rows isn't known") })
		began = time.Now()
		var group sync.WaitGroup
		for n := range 10 {
			group.Go(func() {
				job := jobOf(n + 1)
				must.NoError(t, a.Accept(ctx, job.WithGate(gate)))
			})
		}
		group.Wait()
		must.Less(t, writeTimeout, time.Since(began))
		for n := range 10 {
			must.Positive(t, s.rows[Key("looms", fmt.Sprint(n+1))].Version)
		}

		tombstone, err := NewAcceptance(basilwork.NewTombstone("0", &basilwork.Queue{Name: "q"}, time.Now()))
		must.NoError(t, err)
		ours, err := New(unanswered).AcceptTombstone(ctx, "looms", tombstone.WithGate(gate))
		must.NoError(t, err)
		must.False(t, ours)
	})
}
