package basiljob_test

import (
	"context"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
)

// linkFault is what becomes of one call of an owner to the outside.
type linkFault int

const (
	linkWorks      linkFault = iota
	linkAnswerLost           // takes effect, the answer is lost
	linkLate                 // has no answer, and takes effect when released
	linkRefuses              // no effect, and the caller knows
	linkFrozen               // the owner stops just before the call, also a read, until it is woken
	linkFaults
)

// link stands between one owner and the table and workers.
type link struct {
	world  *world
	mutex  sync.Mutex
	cut    bool // the owner is dead: nothing gets out
	faults []linkFault
	late   []func() // calls under way
	woken  chan struct{}
}

// inject sets the faults of the next calls that change something.
func (l *link) inject(faults ...linkFault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
}

func (l *link) setCut(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cut
}

// wake lets a frozen owner go on, and release lets late calls take effect.
func (l *link) wake() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.woken != nil {
		close(l.woken)
		l.woken = nil
	}
}

func (l *link) release() {
	l.mutex.Lock()
	late := l.late
	l.late = nil
	l.mutex.Unlock()
	for _, f := range late {
		f()
	}
}

func (l *link) freeze() chan struct{} {
	l.mutex.Lock()
	frozen := len(l.faults) > 0 && l.faults[0] == linkFrozen
	l.mutex.Unlock()
	if !frozen {
		return nil
	}
	_, woken := l.next()
	return woken
}

func (l *link) next() (linkFault, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.faults) == 0 {
		return linkWorks, nil
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	if f != linkFrozen {
		return f, nil
	}
	if l.woken == nil {
		l.woken = make(chan struct{})
	}
	return f, l.woken
}

// change passes on a call that changes something, under the next fault.
func (l *link) change(operation string, call func() error) error {
	f, woken := l.next()
	if woken != nil {
		<-woken
	}
	if l.isCut() || f == linkRefuses {
		return basilplatform.ErrUnavailable{Operation: operation}
	}
	switch f {
	case linkAnswerLost:
		_ = call()
		return basilplatform.ErrOutcomeUnknown{Operation: operation}
	case linkLate:
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.late = append(l.late, func() { _ = call() })
		return basilplatform.ErrOutcomeUnknown{Operation: operation}
	}
	return call()
}

// read holds up a read of a frozen owner; other faults wait for changes.
func (l *link) read(operation string) error {
	if woken := l.freeze(); woken != nil {
		<-woken
	}
	if l.isCut() {
		return basilplatform.ErrUnavailable{Operation: operation}
	}
	return nil
}

type linkedTable struct{ *link }

func (l linkedTable) Get(ctx context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	if err := l.read("get"); err != nil {
		return basilplatform.Item{}, err
	}
	return l.world.table.Get(ctx, k)
}

func (l linkedTable) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	if err := l.read("query"); err != nil {
		return nil, err
	}
	return l.world.table.Query(ctx, partition, after, limit)
}

func (l linkedTable) Transact(_ context.Context, x basilplatform.Transaction) error {
	return l.change("transact", func() error { return l.world.table.Transact(context.Background(), x) })
}

type linkedTasks struct{ *link }

func (l linkedTasks) Start(ctx context.Context, address string, t basilplatform.Task) error {
	return l.change("start", func() error { return l.world.tasks.Start(ctx, address, t) })
}

func (l linkedTasks) Renew(ctx context.Context, address, job string, attempt int, lease time.Duration) error {
	return l.change("renew", func() error { return l.world.tasks.Renew(ctx, address, job, attempt, lease) })
}

func (l linkedTasks) Status(ctx context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error) {
	if err := l.read("status"); err != nil {
		return basilplatform.TaskStatus{}, err
	}
	return l.world.tasks.Status(ctx, address, job, attempt)
}

func (l linkedTasks) Stop(ctx context.Context, address, job string, attempt int) (s basilplatform.TaskStatus, err error) {
	err = l.change("stop", func() error {
		s, err = l.world.tasks.Stop(ctx, address, job, attempt)
		return err
	})
	return s, err
}

func (l linkedTasks) Checkpoint(ctx context.Context, address, job string, attempt int) error {
	return l.world.tasks.Checkpoint(ctx, address, job, attempt)
}

func (l linkedTasks) Throttle(ctx context.Context, address, job string, attempt int, share float64) error {
	return l.world.tasks.Throttle(ctx, address, job, attempt, share)
}
