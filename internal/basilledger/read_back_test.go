package basilledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
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
