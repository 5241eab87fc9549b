package basilledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// unsureStore keeps rows in memory and fails calls as it is told.
type unsureStore struct {
	basilwork.Store
	mutex   sync.Mutex
	rows    map[string]int64
	version int64
	fails   []int // of the next calls: see Commit
}

const (
	callWorks       = iota
	callRefused     // nothing was done
	callLost        // nothing was done, nobody knows
	callUnanswered  // it was done, nobody knows
	callTakesEffect // after a while, nobody knows
	callWrong       // nothing was done: the store takes it for wrong
	callKinds
)

func (s *unsureStore) Commit(_ context.Context, t basilplatform.Transaction) (int64, error) {
	s.mutex.Lock()
	fails := callWorks
	if len(s.fails) > 0 {
		fails, s.fails = s.fails[0], s.fails[1:]
	}
	s.mutex.Unlock()
	time.Sleep(5 * time.Millisecond)
	switch fails {
	case callRefused:
		return 0, basilplatform.ErrUnavailable{Operation: "commit"}
	case callWrong:
		return 0, basilplatform.ErrRefused{Operation: "commit", Reason: "too long"}
	case callLost:
		return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}
	case callTakesEffect:
		time.AfterFunc(70*time.Millisecond, func() { _, _ = s.apply(t) })
		return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}
	}
	version, err := s.apply(t)
	if fails == callUnanswered {
		return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}
	}
	return version, err
}

func (s *unsureStore) apply(t basilplatform.Transaction) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, w := range t.Writes {
		if v := s.rows[w.Key.Sort]; v != 0 && w.Precondition == basilplatform.PreconditionAbsent {
			return 0, basilplatform.ErrConditionFailed{Key: w.Key, Version: v}
		}
	}
	s.version++
	for _, w := range t.Writes {
		if w.Precondition == basilplatform.PreconditionAbsent {
			s.rows[w.Key.Sort] = s.version
		}
	}
	return s.version, nil
}

func jobOf(id int) Acceptance {
	a, _ := NewAcceptance(&basilwork.Record{Job: basilwork.Job{ID: fmt.Sprint(id), Queue: "q", Steps: []basilwork.Step{{Count: 1}}}})
	return a
}

// TestAcceptorProperty hands in jobs, some twice, while calls fail: none that was accepted is lost, none that was refused
// is stored, and no row is written twice.
func TestAcceptorProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fails := rapid.SliceOfN(rapid.IntRange(0, callKinds-1), 0, 12).Draw(rt, "fails")
		ids := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 80).Draw(rt, "ids")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := &unsureStore{rows: make(map[string]int64), fails: fails}
			told := make(map[string]int64)
			a := NewAcceptor(ctx, s, "service", func(list []Acceptance, version int64) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				for n := range list {
					told[list[n].id()] = version
				}
			})
			outcomes := make([]error, len(ids))
			var group sync.WaitGroup
			for n, id := range ids {
				group.Go(func() { outcomes[n] = a.Accept(ctx, jobOf(id)) })
				time.Sleep(time.Millisecond)
			}
			group.Wait()
			time.Sleep(time.Second)
			synctest.Wait()
			refused := make(map[int]int)
			for n, id := range ids {
				switch err := outcomes[n]; {
				case err == nil:
					must.Positive(t, s.rows[fmt.Sprint(id)])
				case basilplatform.IsErrUnavailable(err), basilplatform.IsErrRefused(err):
					refused[id]++
				default:
					must.True(t, basilplatform.IsErrOutcomeUnknown(err))
					refused[id] = -len(ids)
				}
			}
			for n, id := range ids {
				if outcomes[n] == nil {
					refused[id] = -len(ids) // another try of the id was accepted
				}
			}
			for id, count := range refused {
				if count > 0 {
					must.Zero(t, s.rows[fmt.Sprint(id)])
				}
			}
			for id, version := range told {
				must.Eq(t, s.rows[id], version)
			}
			must.Zero(t, a.working)
		})
	})
}

// TestParseAcceptanceRefusesWhatIsNoNewJob takes no message of a peer for a job that is none.
func TestParseAcceptanceRefusesWhatIsNoNewJob(t *testing.T) {
	job := jobOf(1)
	_, err := ParseAcceptance(job.Body())
	must.NoError(t, err)
	for _, body := range []string{"", "{", "null", "[]", `{"job":{}}`, `{"job":{"id":"1","q":"q","s":[{"n":1}]},"state":3}`, `"\u0000"`} {
		_, err := ParseAcceptance([]byte(body))
		must.True(t, IsErrRecordUnreadable(err), must.Sprint(body))
	}
}
