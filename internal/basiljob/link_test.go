package basiljob_test

import (
	"context"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
)

// linkFault is the fault that applies to one call of an owner to the table or a worker.
type linkFault int

const (
	linkNoFault    linkFault = iota
	linkAnswerLost           // the call takes effect, but its answer is lost
	linkDelayed              // the call gets no answer and takes effect when released
	linkRefuses              // the call has no effect, and the caller knows
	linkFrozen               // the owner blocks just before the call, which may be a read, until it is woken
	linkFaults               // number of faults
)

// link injects faults into the calls of one owner to the table and the workers.
type link struct {
	world  *testCluster
	mutex  sync.Mutex
	cut    bool // the owner is cut off: its calls fail
	faults []linkFault
	late   []func()      // calls that have not taken effect yet
	woken  chan struct{} // closed by wake; nil if the owner isn't frozen
}

// inject sets the faults of the next calls, one per call. Only linkFrozen applies to reads.
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

// wake unblocks a frozen owner.
func (l *link) wake() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.woken != nil {
		close(l.woken)
		l.woken = nil
	}
}

// release lets late calls take effect.
func (l *link) release() {
	l.mutex.Lock()
	late := l.late
	l.late = nil
	l.mutex.Unlock()
	for _, f := range late {
		f()
	}
}

// takeFreeze consumes the next fault if it is linkFrozen, and returns the channel to wait on, or nil.
func (l *link) takeFreeze() chan struct{} {
	l.mutex.Lock()
	frozen := len(l.faults) > 0 && l.faults[0] == linkFrozen
	l.mutex.Unlock()
	if !frozen {
		return nil
	}
	_, woken := l.takeFault()
	return woken
}

// takeFault consumes the next fault. For linkFrozen it also returns the channel to wait on.
func (l *link) takeFault() (linkFault, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.faults) == 0 {
		return linkNoFault, nil
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

// mutate executes a mutating call with the next fault applied.
func (l *link) mutate(operation string, call func() error) error {
	f, woken := l.takeFault()
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
	case linkDelayed:
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.late = append(l.late, func() { _ = call() })
		return basilplatform.ErrOutcomeUnknown{Operation: operation}
	}
	return call()
}

// read blocks a read while the owner is frozen. Other faults stay queued for mutating calls.
func (l *link) read(operation string) error {
	if woken := l.takeFreeze(); woken != nil {
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

func (l linkedTable) Transact(_ context.Context, tx basilplatform.Transaction) error {
	return l.mutate("transact", func() error { return l.world.table.Transact(context.Background(), tx) })
}

type linkedTasks struct{ *link }

func (l linkedTasks) Start(ctx context.Context, address string, t basilplatform.Task) error {
	return l.mutate("start", func() error { return l.world.tasks.Start(ctx, address, t) })
}

func (l linkedTasks) Renew(ctx context.Context, address, job string, attempt int, lease time.Duration) error {
	return l.mutate("renew", func() error { return l.world.tasks.Renew(ctx, address, job, attempt, lease) })
}

func (l linkedTasks) Status(ctx context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error) {
	if err := l.read("status"); err != nil {
		return basilplatform.TaskStatus{}, err
	}
	return l.world.tasks.Status(ctx, address, job, attempt)
}

func (l linkedTasks) Stop(ctx context.Context, address, job string, attempt int) (s basilplatform.TaskStatus, err error) {
	err = l.mutate("stop", func() error {
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
