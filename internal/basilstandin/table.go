package basilstandin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilstage.example/basilstage/internal/basilplatform"
)

const reasonTokenReused = "token was used for other writes"

// TableFaults switches the faults of a Table; the zero value has none.
type TableFaults struct {
	Down        bool          `json:"down"`         // every call fails without effect
	LoseAnswers bool          `json:"lose_answers"` // writes take effect, their answers are lost
	LoseWrites  bool          `json:"lose_writes"`  // writes vanish without an answer
	Delay       time.Duration `json:"delay"`        // before each call takes effect
}

// Table is an in-memory table service with faults; its zero value works.
type Table struct {
	mutex  sync.Mutex
	items  map[basilplatform.Key]basilplatform.Item
	tokens map[string]uint64 // digests of the writes that took effect
	faults TableFaults
	hook   func(basilplatform.Transaction) TableFaults
	reads  int64
	writes int64
}

// SetFaults replaces the faults in force.
func (t *Table) SetFaults(f TableFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = f
}

// SetHook installs a function that picks the faults of each transaction; nil removes it.
func (t *Table) SetHook(f func(basilplatform.Transaction) TableFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.hook = f
}

// Counts returns how many reads and writes of items were served.
func (t *Table) Counts() (reads, writes int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reads, t.writes
}

func (t *Table) current() TableFaults {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.faults
}

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (t *Table) enter(ctx context.Context, operation string, f TableFaults) error {
	if err := pause(ctx, f.Delay); err != nil {
		return basilplatform.ErrUnavailable{Operation: operation, Cause: err}
	}
	if f.Down {
		return basilplatform.ErrUnavailable{Operation: operation, RetryAfter: time.Second}
	}
	return nil
}

// Get returns one item.
func (t *Table) Get(ctx context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	if err := t.enter(ctx, "get", t.current()); err != nil {
		return basilplatform.Item{}, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reads++
	i, ok := t.items[k]
	if !ok {
		return basilplatform.Item{}, basilplatform.ErrItemNotExist{Key: k}
	}
	return i, nil
}

// Query returns up to limit items of the partition in sort order.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	if err := t.enter(ctx, "query", t.current()); err != nil {
		return nil, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var found []basilplatform.Item
	for k, i := range t.items {
		if k.Partition == partition && k.Sort > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key.Sort < found[b].Key.Sort })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	t.reads += int64(len(found)) + 1
	return found, nil
}

// Transact applies all writes, or none.
func (t *Table) Transact(ctx context.Context, x basilplatform.Transaction) error {
	if err := basilplatform.CheckTransaction(x); err != nil {
		return err
	}
	f := t.current()
	t.mutex.Lock()
	hook := t.hook
	t.mutex.Unlock()
	if hook != nil {
		f = hook(x)
	}
	if err := t.enter(ctx, "transact", f); err != nil {
		return err
	}
	if f.LoseWrites {
		return basilplatform.ErrOutcomeUnknown{Operation: "transact", Token: x.Token}
	}
	err := t.apply(x)
	if f.LoseAnswers {
		return basilplatform.ErrOutcomeUnknown{Operation: "transact", Token: x.Token}
	}
	return err
}

func (t *Table) apply(x basilplatform.Transaction) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.items == nil {
		t.items = make(map[basilplatform.Key]basilplatform.Item)
		t.tokens = make(map[string]uint64)
	}
	digest := digestOf(x)
	if earlier, ok := t.tokens[x.Token]; ok && earlier != digest {
		return basilplatform.ErrRefused{Operation: "transact", Reason: reasonTokenReused}
	} else if ok {
		return nil
	}
	for _, w := range x.Writes {
		i, ok := t.items[w.Key]
		if w.Precondition == basilplatform.PreconditionAbsent && ok ||
			w.Precondition == basilplatform.PreconditionVersion && (!ok || i.Version != w.Version) {
			return basilplatform.ErrConditionFailed{Key: w.Key}
		}
	}
	for _, w := range x.Writes {
		t.writes++
		switch w.Kind {
		case basilplatform.WriteKindDelete:
			delete(t.items, w.Key)
		case basilplatform.WriteKindPut:
			t.items[w.Key] = basilplatform.Item{Key: w.Key, Version: t.items[w.Key].Version + 1, Token: x.Token, Body: w.Body}
		}
	}
	t.tokens[x.Token] = digest
	return nil
}

// digestOf tells two transactions with the same token apart.
func digestOf(x basilplatform.Transaction) uint64 {
	d := xxhash.New()
	for _, w := range x.Writes {
		fmt.Fprintf(d, "%d %q %q %d %d %d ", w.Kind, w.Key.Partition, w.Key.Sort, w.Precondition, w.Version, len(w.Body))
		_, _ = d.Write(w.Body)
	}
	return d.Sum64()
}
