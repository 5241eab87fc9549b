package basilledger

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// memoryStore keeps rows in memory and checks all preconditions.
type memoryStore struct {
	basilwork.Store
	mutex   sync.Mutex
	rows    map[basilplatform.Key]basilplatform.Item
	version int64
	stopped bool
	writes  int                         // that are still carried out while stopped
	late    []basilplatform.Transaction // that came after these
	largest int                         // number of entries of the largest transaction
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: make(map[basilplatform.Key]basilplatform.Item)}
}

// stopAfter has all writes after the next ones get no answer, and kept for applyLate.
func (s *memoryStore) stopAfter(writes int) { s.stopped, s.writes, s.late = true, writes, nil }

// applyLate carries out the writes that got no answer.
func (s *memoryStore) applyLate() {
	s.stopped = false
	for _, t := range s.late {
		_, _ = s.Commit(context.Background(), t) // those that come too late fail
	}
}

func (s *memoryStore) Get(_ context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.rows[k]
	if !ok {
		return i, basilplatform.ErrItemNotExist{Key: k}
	}
	return i, nil
}

func (s *memoryStore) Transact(ctx context.Context, t basilplatform.Transaction) error {
	_, err := s.Commit(ctx, t)
	return err
}

func (s *memoryStore) Commit(_ context.Context, t basilplatform.Transaction) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped && s.writes == 0 {
		s.late = append(s.late, t)
		return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}
	}
	s.writes = max(0, s.writes-1)
	entries := 0
	for _, w := range t.Writes {
		if w.Kind != basilplatform.WriteKindCheck {
			entries++
		}
		if w.Precondition != basilplatform.PreconditionNone {
			entries++
		}
		if version := s.rows[w.Key].Version; w.Precondition != basilplatform.PreconditionNone && version != w.Version {
			return 0, basilplatform.ErrConditionFailed{Key: w.Key, Version: version}
		}
	}
	s.largest = max(s.largest, entries)
	s.version++
	for _, w := range t.Writes {
		if w.Kind == basilplatform.WriteKindPut {
			s.rows[w.Key] = basilplatform.Item{Key: w.Key, Version: s.version, Body: w.Body}
		}
	}
	return s.version, nil
}

// move assigns the queue to the service and opens its gate.
func move(t *testing.T, l *Ledger, service string, revision int64) (Assignment, int64) {
	t.Helper()
	a, err := l.Assignment(t.Context(), "q")
	must.NoError(t, err)
	a, err = l.Reassign(t.Context(), "q", a, service, revision)
	must.NoError(t, err)
	version, opened, err := l.OpenGate(t.Context(), "q", a)
	must.NoError(t, err)
	must.True(t, opened)
	return a, version
}

// accept stores a job with the version of the gate as precondition.
func accept(t *testing.T, l *Ledger, service string, id int, gate int64) error {
	t.Helper()
	job := jobOf(id)
	return l.Accept(t.Context(), service, job.WithGate(gate))
}

// TestMoveThatStopsHalfwayIsCompleted checks that another process completes a move of a queue that stopped after any of its writes, that
// jobs are stored under one service only before and after, and that the rest of the writes has no effect if it comes later.
func TestMoveThatStopsHalfwayIsCompleted(t *testing.T) {
	for writes := range 4 {
		s := newMemoryStore()
		l := New(s)
		a, before := move(t, l, "looms", 1)
		must.NoError(t, accept(t, l, "looms", 1, before))
		s.stopAfter(writes)
		if next, err := l.Reassign(t.Context(), "q", a, "press", 2); err == nil {
			_, _, _ = l.OpenGate(t.Context(), "q", next) // ends without an answer
		}
		late := s.late
		s.stopped = false

		a, err := l.Assignment(t.Context(), "q")
		must.NoError(t, err)
		if !a.Follows("press", 2) {
			must.Zero(t, writes)
			a, err = l.Reassign(t.Context(), "q", a, "press", 2)
			must.NoError(t, err)
		}
		after, _, err := l.OpenGate(t.Context(), "q", a)
		must.NoError(t, err)
		must.Eq(t, []string{"press", "looms"}, a.Services())
		must.True(t, IsErrAssignmentChanged(accept(t, l, "looms", 2, before)))
		must.NoError(t, accept(t, l, "looms", 1, before)) // stored already
		must.NoError(t, accept(t, l, "press", 2, after))
		s.late = late
		s.applyLate()
		must.NoError(t, accept(t, l, "press", 3, after))
		must.True(t, IsErrAssignmentChanged(accept(t, l, "looms", 4, before)))
	}
}

// TestLateOpeningOfGateFails checks that a gate stays closed if the write that opened it for an earlier assignment takes effect only after
// the queue has moved away again.
func TestLateOpeningOfGateFails(t *testing.T) {
	s := newMemoryStore()
	l := New(s)
	move(t, l, "looms", 1)
	move(t, l, "press", 2)
	a, err := l.Assignment(t.Context(), "q")
	must.NoError(t, err)
	back, err := l.Reassign(t.Context(), "q", a, "looms", 3)
	must.NoError(t, err)
	s.stopAfter(1) // closes the gate of press
	_, _, err = l.OpenGate(t.Context(), "q", back)
	must.True(t, basilplatform.IsErrOutcomeUnknown(err))
	late := s.late
	must.Len(t, 1, late)
	s.stopped = false
	_, gate := move(t, l, "press", 4)
	s.late = late
	s.applyLate()
	g, err := l.gate(t.Context(), "looms", "q")
	must.NoError(t, err)
	must.False(t, g.Open)
	must.True(t, IsErrAssignmentChanged(accept(t, l, "looms", 1, g.version-1)))
	must.NoError(t, accept(t, l, "press", 1, gate))
	_, _, err = l.OpenGate(t.Context(), "q", back)
	must.True(t, IsErrAssignmentChanged(err))
}

// TestBatchesOfSeveralQueues checks that batches keep within the entries of a transaction, and that jobs of a queue whose gate has changed
// fail alone.
func TestBatchesOfSeveralQueues(t *testing.T) {
	const queues, jobs = 9, 300
	s := newMemoryStore()
	l := New(s)
	gates := make(map[string]int64)
	for n := range queues {
		queue := fmt.Sprint("queue-", n)
		a, err := l.Reassign(t.Context(), queue, Assignment{}, "looms", 1)
		must.NoError(t, err)
		gates[queue], _, err = l.OpenGate(t.Context(), queue, a)
		must.NoError(t, err)
	}
	a := NewAcceptor(t.Context(), s, "looms", func([]Acceptance, int64) {})
	outcomes := make([]error, jobs)
	var group sync.WaitGroup
	for n := range jobs {
		queue := fmt.Sprint("queue-", n%queues)
		job, err := NewAcceptance(&basilwork.Record{Job: basilwork.Job{ID: fmt.Sprint(n), Queue: queue, Steps: []basilwork.Step{{Count: 1}}}})
		must.NoError(t, err)
		gate := gates[queue]
		if n%10 == 0 {
			gate-- // of an earlier assignment
		}
		group.Go(func() { outcomes[n] = a.Accept(t.Context(), job.WithGate(gate)) })
	}
	group.Wait()
	for n, err := range outcomes {
		_, _, found := l.Find(t.Context(), "looms", fmt.Sprint(n))
		if n%10 == 0 {
			must.True(t, IsErrAssignmentChanged(err), must.Sprint(n))
			must.True(t, IsErrJobNotExist(found), must.Sprint(n))
			continue
		}
		must.NoError(t, err, must.Sprint(n))
		must.NoError(t, found, must.Sprint(n))
	}
	must.LessEq(t, basilplatform.MaxTransactionWrites, s.largest)
}
