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

// unreliableStore keeps rows in memory and fails calls as configured.
type unreliableStore struct {
	basilwork.Store
	mutex   sync.Mutex
	rows    map[string]int64
	version int64
	results []int // results of the next calls, see the constants
}

const (
	callWorks       = iota
	callUnavailable // unavailable: nothing is written
	callLost        // outcome unknown: nothing is written
	callUnanswered  // outcome unknown: the rows are written at once
	callDelayed     // outcome unknown: the rows are written after a while
	callRejected    // rejected as invalid: nothing is written
	callKinds
)

func (s *unreliableStore) Commit(_ context.Context, t basilplatform.Transaction) (int64, error) {
	s.mutex.Lock()
	callResult := callWorks
	if len(s.results) > 0 {
		callResult, s.results = s.results[0], s.results[1:]
	}
	s.mutex.Unlock()
	time.Sleep(5 * time.Millisecond)
	switch callResult {
	case callUnavailable:
		return 0, basilplatform.ErrUnavailable{Operation: "commit"}
	case callRejected:
		return 0, basilplatform.ErrRefused{Operation: "commit", Reason: "too long"}
	case callLost:
		return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}
	case callDelayed:
		time.AfterFunc(70*time.Millisecond, func() { _, _ = s.apply(t) })
		return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}
	}
	version, err := s.apply(t)
	if callResult == callUnanswered {
		return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}
	}
	return version, err
}

func (s *unreliableStore) apply(t basilplatform.Transaction) (int64, error) {
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

// TestAcceptorProperty submits jobs, some of them twice, while calls fail. It checks that no accepted job is lost, no refused
// job is stored, and no row is written twice.
func TestAcceptorProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		results := rapid.SliceOfN(rapid.IntRange(0, callKinds-1), 0, 12).Draw(rt, "fails")
		ids := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 80).Draw(rt, "ids")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := &unreliableStore{rows: make(map[string]int64), results: results}
			storedVersions := make(map[string]int64)
			a := NewAcceptor(ctx, s, "service", func(list []Acceptance, version int64) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				for n := range list {
					storedVersions[list[n].id()] = version
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
					refused[id] = -len(ids) // another submission of the ID was accepted
				}
			}
			for id, count := range refused {
				if count > 0 {
					must.Zero(t, s.rows[fmt.Sprint(id)])
				}
			}
			for id, version := range storedVersions {
				must.Eq(t, s.rows[id], version)
			}
			must.Zero(t, a.workers)
		})
	})
}

// TestParseAcceptanceRejectsInvalidJobs checks that a peer's message is rejected unless it holds a valid new job.
func TestParseAcceptanceRejectsInvalidJobs(t *testing.T) {
	job := jobOf(1)
	_, err := ParseAcceptance(job.Body())
	must.NoError(t, err)
	for _, body := range []string{"", "{", "null", "[]", `{"job":{}}`, `{"job":{"id":"1","q":"q","s":[{"n":1}]},"state":3}`, `"\u0000"`} {
		_, err := ParseAcceptance([]byte(body))
		must.True(t, IsErrRecordUnreadable(err), must.Sprint(body))
	}
}
