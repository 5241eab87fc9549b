package basilshard

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	lostAnswerDelay = 50 * time.Millisecond // until a write without an answer is carried out
	writeTimeout    = minCallTimeout        // shortest one
)

// lossyStore carries out all writes with one put and loses the answers.
type lossyStore struct {
	basilwork.Store
	mutex   sync.Mutex
	rows    map[basilplatform.Key]basilplatform.Item
	version int64
}

func (s *lossyStore) Get(_ context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.rows[k]
	if !ok {
		return i, basilplatform.ErrItemNotExist{Key: k}
	}
	return i, nil
}

func (s *lossyStore) Transact(ctx context.Context, t basilplatform.Transaction) error {
	_, err := s.Commit(ctx, t)
	return err
}

func (s *lossyStore) Commit(ctx context.Context, t basilplatform.Transaction) (int64, error) {
	time.AfterFunc(lostAnswerDelay, func() { s.carryOut(t.Writes[len(t.Writes)-1]) })
	<-ctx.Done()
	return 0, basilplatform.ErrOutcomeUnknown{Operation: "commit", Cause: ctx.Err()}
}

func (s *lossyStore) carryOut(w basilplatform.Write) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.rows[w.Key].Version != w.Version {
		return
	}
	if s.rows == nil {
		s.rows = make(map[basilplatform.Key]basilplatform.Item)
	}
	s.version++
	s.rows[w.Key] = basilplatform.Item{Key: w.Key, Version: s.version, Body: w.Body}
}

// TestClaimsAreKnownWhileWritesHaveNoAnswer checks that an entry host that claims several shards doesn't wait for the timeout of each claim's
// write, and that it releases them as soon.
func TestClaimsAreKnownWhileWritesHaveNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shards := []string{"a", "b", "c"}
		s := &lossyStore{}
		var acquired, lost int
		self := Member{Node: "entry-1", Incarnation: "x"}
		k := New(Options{
			Self: self, Clock: func() time.Duration { return 0 }, Log: basillog.Discard(), Store: NewRecovery().Wrap(s), Lease: testLease,
			OnAcquired: func(string, OwnerRow) { acquired++ }, OnLost: func(string) { lost++ },
		})
		k.SetShards(shards)
		for _, shard := range shards {
			k.applyOwner(shard, OwnerRow{})
		}
		k.state.Observe([]Observed{{Member: self, Version: 1}}, 0, 0)
		k.startUntil.Store(int64(testLease))
		began := time.Now()
		k.claimShards(t.Context())
		must.Eq(t, len(shards), acquired)
		must.Less(t, writeTimeout, time.Since(began))
		began = time.Now()
		k.stopping.Store(true)
		k.releaseAll(t.Context())
		must.Less(t, writeTimeout, time.Since(began))
		for _, shard := range shards {
			var row OwnerRow
			must.NoError(t, json.Unmarshal(s.rows[OwnerKey(shard)].Body, &row))
			must.Eq(t, "", row.Incarnation)
		}
	})
}

// TestRowIsKnownWhileWriteHasNoAnswer checks that the write of a row ends as soon as the row can be read, also if another process has written it
// before.
func TestRowIsKnownWhileWriteHasNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lossyStore{}
		key := basilplatform.Key{Partition: "fleet/fleet", Sort: "row"}
		r := NewRow(NewRecovery().Wrap(s), key, OwnerRow{Version: 1}.Check("fleet"))
		began := time.Now()
		must.NoError(t, r.Write(t.Context(), []byte("first")))
		must.Less(t, writeTimeout, time.Since(began))
		s.carryOut(basilplatform.Write{Key: key, Version: s.version, Body: []byte("of another")})
		began = time.Now()
		must.NoError(t, r.Write(t.Context(), []byte("second")))
		must.Less(t, writeTimeout, time.Since(began))
		i, err := s.Get(t.Context(), key)
		must.NoError(t, err)
		must.Eq(t, "second", string(i.Body))
	})
}
