package basilwork

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
)

// countingStore answers writes after some time, or never, and counts the reads of rows that don't exist.
type countingStore struct {
	Store
	answersAfter time.Duration // 0 for no answer
	readTime     time.Duration
	mutex        sync.Mutex
	reads        int
	open, most   int // reads at a time
}

func (s *countingStore) Commit(ctx context.Context, _ basilplatform.Transaction) (int64, error) {
	if s.answersAfter > 0 {
		time.Sleep(s.answersAfter)
		return 1, nil
	}
	<-ctx.Done()
	return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit", Cause: ctx.Err()}
}

func (s *countingStore) Get(_ context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	s.mutex.Lock()
	s.reads++
	s.open++
	s.most = max(s.most, s.open)
	s.mutex.Unlock()
	time.Sleep(s.readTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open--
	return basilplatform.Item{}, basilplatform.ErrItemNotExist{Key: k}
}

// commitRows makes writes at once and waits for the results until the timeout.
func (s *countingStore) commitRows(ctx context.Context, writes int, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var group sync.WaitGroup
	for n := range writes {
		group.Go(func() {
			_, _ = CommitOrReadBack(ctx, s, basilplatform.Transaction{Writes: []basilplatform.Write{ // ends with the timeout
				{Kind: basilplatform.WriteKindPut, Key: basilplatform.Key{Sort: fmt.Sprint(n)}, Precondition: basilplatform.PreconditionAbsent},
			}}, SoonInterval)
		})
	}
	group.Wait()
}

// TestUnansweredWritesCauseFewReads checks that writes which are answered soon cause no reads, and that others cause one at a time each 0.2 s, and
// no more at a time than the limit whatever their number is.
func TestUnansweredWritesCauseFewReads(t *testing.T) {
	const timeout = 1100 * time.Millisecond // five intervals and a half
	for _, test := range []struct {
		answersAfter, readTime time.Duration
		writes                 int
		reads, most            int
	}{
		{answersAfter: SoonInterval / 2, writes: 100},
		{writes: 1, reads: 5, most: 1},
		{writes: 1, readTime: 3 * SoonInterval, reads: 2, most: 1},
		{writes: 100, readTime: time.Millisecond, reads: 5 * maxReadBacks, most: maxReadBacks},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &countingStore{answersAfter: test.answersAfter, readTime: test.readTime}
				s.commitRows(t.Context(), test.writes, timeout)
				time.Sleep(timeout) // reads that were sent end
				s.mutex.Lock()
				defer s.mutex.Unlock()
				must.LessEq(t, test.reads, s.reads)
				must.LessEq(t, test.most, s.most)
				must.Eq(t, test.reads > 0, s.reads > 0)
			})
		})
	}
}
