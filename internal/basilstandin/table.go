package basilstandin

import (
	"bytes"
	"context"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
)

const reasonTokenReused = "token was used for other writes"

// The operations, as errors name them.
const (
	operationGet      = "get"
	operationQuery    = "query"
	operationTransact = "transact"
)

// TableFaults switches the faults of a Table; the zero value has none.
type TableFaults struct {
	Down        bool          `json:"down"`         // every call fails without effect
	LoseAnswers bool          `json:"lose_answers"` // writes take effect, their answers are lost
	LoseWrites  bool          `json:"lose_writes"`  // writes vanish without an answer
	Conflicts   bool          `json:"conflicts"`    // transactions meet another in flight and have no effect
	LateBy      time.Duration `json:"late_by"`      // writes get no answer and take effect after this time
	Delay       time.Duration `json:"delay"`        // before each call takes effect
}

// Table is an in-memory table service with faults; its zero value works.
type Table struct {
	mutex  sync.Mutex
	items  itemIndex
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

// faultsOf returns the faults that the transaction meets.
func (t *Table) faultsOf(x basilplatform.Transaction) TableFaults {
	t.mutex.Lock()
	hook, faults := t.hook, t.faults
	t.mutex.Unlock()
	if hook != nil {
		return hook(x)
	}
	return faults
}

// enter delays a read or fails it as the faults say.
func (t *Table) enter(ctx context.Context, operation string) error {
	f := t.current()
	if err := basiltimer.Wait(ctx, f.Delay); err != nil {
		return basilplatform.ErrUnavailable{Operation: operation, Cause: err}
	}
	if f.Down {
		return downError(operation)
	}
	return nil
}

func downError(operation string) error {
	return basilplatform.ErrUnavailable{Operation: operation, RetryAfter: time.Second}
}

// Get returns one item.
func (t *Table) Get(ctx context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	if err := t.enter(ctx, operationGet); err != nil {
		return basilplatform.Item{}, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reads++
	i, ok := t.items.get(k)
	if !ok {
		return basilplatform.Item{}, basilplatform.ErrItemNotExist{Key: k}
	}
	i.Body = bytes.Clone(i.Body)
	return i, nil
}

// Query returns up to limit items of the partition in sort order; limit 0 is all of them.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	if err := t.enter(ctx, operationQuery); err != nil {
		return nil, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.items.after(partition, after, limit)
	for n := range found {
		found[n].Body = bytes.Clone(found[n].Body)
	}
	t.reads += int64(len(found)) + 1
	return found, nil
}

// Transact applies all writes, or none.
//
// A caller that leaves during the delay learns nothing of the outcome, and the
// writes take effect when the delay is over.
func (t *Table) Transact(ctx context.Context, x basilplatform.Transaction) error {
	if err := basilplatform.CheckTransaction(x); err != nil {
		return err
	}
	f := t.faultsOf(x)
	if err := ctx.Err(); err != nil { // the caller left before it sent anything
		return basilplatform.ErrUnavailable{Operation: operationTransact, Cause: err}
	}
	if f.Delay > 0 {
		arrived := time.Now()
		if err := basiltimer.Wait(ctx, f.Delay); err != nil {
			t.applyLater(f.Delay-time.Since(arrived), f, x)
			return unknownError(x, err)
		}
	}
	switch {
	case f.Down:
		return downError(operationTransact)
	case f.Conflicts:
		return conflictError(x)
	case f.LoseWrites:
		return unknownError(x, nil)
	case f.LateBy > 0:
		t.applyLater(f.LateBy, f, x)
		return unknownError(x, nil)
	}
	err := t.apply(x)
	if f.LoseAnswers {
		return unknownError(x, nil)
	}
	return err
}

func unknownError(x basilplatform.Transaction, cause error) error {
	return basilplatform.ErrOutcomeUnknown{Operation: operationTransact, Token: x.Token, Cause: cause}
}

func conflictError(x basilplatform.Transaction) error {
	return basilplatform.ErrUnavailable{Operation: operationTransact, Cause: basilplatform.ErrConflict{Key: x.Writes[0].Key}}
}

// applyLater applies the writes after d, with nobody to answer to, unless the faults lose them.
func (t *Table) applyLater(d time.Duration, f TableFaults, x basilplatform.Transaction) {
	if f.Down || f.Conflicts || f.LoseWrites {
		return
	}
	time.AfterFunc(d, func() { _ = t.apply(x) })
}

func (t *Table) apply(x basilplatform.Transaction) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	digest := digestOf(x)
	if earlier, ok := t.tokens[x.Token]; ok && earlier != digest {
		return basilplatform.ErrRefused{Operation: operationTransact, Reason: reasonTokenReused}
	} else if ok {
		return nil
	}
	for _, w := range x.Writes {
		if !t.holds(w) {
			return basilplatform.ErrConditionFailed{Key: w.Key}
		}
	}
	for _, w := range x.Writes {
		t.store(w, x.Token)
	}
	if t.tokens == nil {
		t.tokens = make(map[string]uint64)
	}
	t.tokens[x.Token] = digest
	return nil
}

// holds tells whether the write's precondition is met.
func (t *Table) holds(w basilplatform.Write) bool {
	i, ok := t.items.get(w.Key)
	switch w.Precondition {
	case basilplatform.PreconditionAbsent:
		return !ok
	case basilplatform.PreconditionVersion:
		return ok && i.Version == w.Version
	}
	return true
}

func (t *Table) store(w basilplatform.Write, token string) {
	t.writes++
	switch w.Kind {
	case basilplatform.WriteKindDelete:
		t.items.remove(w.Key)
	case basilplatform.WriteKindPut:
		earlier, _ := t.items.get(w.Key)
		t.items.put(basilplatform.Item{Key: w.Key, Version: earlier.Version + 1, Token: token, Body: bytes.Clone(w.Body)})
	}
}
