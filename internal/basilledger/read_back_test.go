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

// storeJobs stores new jobs with the IDs 1 to count and returns the version of the rows of each.
func storeJobs(t *testing.T, s *memoryStore, count int) map[string]int64 {
	t.Helper()
	_, gate := move(t, New(s), "looms", 1)
	versions := make(map[string]int64)
	for n := range count {
		must.NoError(t, accept(t, New(s), "looms", n+1, gate))
		id := fmt.Sprint(n + 1)
		versions[id] = s.rows[Key("looms", id)].Version
	}
	return versions
}

// TestCancelIsKnownWhileWriteHasNoAnswer checks that a cancellation counts as stored as soon as its row can be read, if the answer to the write is
// lost, also where the owner has changed the row before.
func TestCancelIsKnownWhileWriteHasNoAnswer(t *testing.T) {
	const late, writeTimeout = 50 * time.Millisecond, 1200 * time.Millisecond // the latter is the shortest one
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		versions := storeJobs(t, s, 2)
		l := New(&unansweredStore{s, late})
		cancel := func(id string) {
			ctx, end := context.WithTimeout(t.Context(), writeTimeout)
			defer end()
			must.NoError(t, l.Cancel(ctx, "looms", "q", id))
			r, _, err := New(s).Find(t.Context(), "looms", id)
			must.NoError(t, err)
			must.Eq(t, basilwork.JobStateCanceled, r.State)
		}
		cancel("1")
		time.AfterFunc(late/2, func() {
			r, _, err := New(s).Find(context.Background(), "looms", "2")
			must.NoError(t, err)
			e, err := NewEntry(r, versions["2"], "x.1.1", FormPlain)
			must.NoError(t, err)
			_, err = New(s).Commit(context.Background(), Owner{Shard: "looms", Key: basilplatform.Key{Partition: "owners/looms"}}, "x.1.1", []Entry{e})
			must.NoError(t, err)
		})
		cancel("2")
	})
}

// TestGroupCommitIsKnownWhileWriteHasNoAnswer checks that the result of a group commit is known as soon as its rows can be read, if the answer is
// lost. No end is acknowledged meanwhile, and no step that comes after it is started.
func TestGroupCommitIsKnownWhileWriteHasNoAnswer(t *testing.T) {
	const late, writeTimeout = 50 * time.Millisecond, 1200 * time.Millisecond // the latter is the shortest one
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		versions := storeJobs(t, s, 3)
		entries := func(commitID string) (list []Entry) {
			for _, id := range []string{"1", "2", "3"} {
				r, _, err := New(s).Find(t.Context(), "looms", id)
				must.NoError(t, err)
				e, err := NewEntry(r, versions[id], commitID, FormPlain)
				must.NoError(t, err)
				list = append(list, e)
			}
			return list
		}
		owner := Owner{Shard: "looms", Key: basilplatform.Key{Partition: "owners/looms"}}
		row := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: owner.Key, Precondition: basilplatform.PreconditionNone, Body: []byte("{}")}
		version, err := s.Commit(t.Context(), basilplatform.Transaction{Writes: []basilplatform.Write{row}})
		must.NoError(t, err)
		owner.Version = version
		commit := func(commitID string) Result {
			ctx, end := context.WithTimeout(t.Context(), writeTimeout)
			defer end()
			r, err := New(&unansweredStore{s, late}).Commit(ctx, owner, commitID, entries(commitID))
			must.NoError(t, err)
			return r
		}
		first := commit("x.1.1")
		must.MapLen(t, 3, first.Versions)
		versions = first.Versions
		must.NoError(t, New(s).Cancel(t.Context(), "looms", "q", "1"))
		second := commit("x.1.2")
		must.Eq(t, []string{"1"}, second.Cancelled)
		must.MapLen(t, 2, second.Versions)
	})
}
