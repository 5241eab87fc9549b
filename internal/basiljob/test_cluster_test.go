package basiljob_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Durations for the fake workers. Only the long lease lasts until a new owner adopts the job.
const (
	taskTime   = 12 * time.Second
	longLease  = 30 * time.Second
	shortLease = 8 * time.Second
)

// taskAnswer returns the answer of a job's attempt.
func taskAnswer(job string, attempt int) string { return fmt.Sprintf("%s/%d", job, attempt) }

// attemptKey identifies one attempt of a job.
type attemptKey struct {
	job     string
	attempt int
}

// fakeTask is the state of one attempt on a worker.
type fakeTask struct {
	status basilplatform.TaskStatus
	task   basilplatform.Task
	began  time.Time
	lapses time.Time // when the lease expires
}

// fakeTasks simulates a set of workers, identified by their addresses, and counts the actual starts of each job.
type fakeTasks struct {
	mutex   sync.Mutex
	tasks   map[attemptKey]*fakeTask
	started map[string]int
	down    map[string]bool // workers that don't respond, although their tasks go on
	failing map[string]bool // workers whose tasks all fail
	full    map[string]bool // workers that refuse new tasks
	boots   int             // number of restarts of all workers
}

// receivedTask returns the task that a worker received for the attempt.
func (f *fakeTasks) receivedTask(id basilapi.JobID, attempt int) basilplatform.Task {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.tasks[attemptKey{id.String(), attempt}].task
}

func newFakeTasks() *fakeTasks {
	return &fakeTasks{
		tasks: make(map[attemptKey]*fakeTask), started: make(map[string]int),
		down: make(map[string]bool), failing: make(map[string]bool), full: make(map[string]bool),
	}
}

// starts returns how often the job was started on any worker.
func (f *fakeTasks) starts(id basilapi.JobID) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.started[id.String()]
}

func (f *fakeTasks) set(workers map[string]bool, address string, on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	workers[address] = on
}

func (f *fakeTasks) setAll(workers map[string]bool, addresses []string) {
	for _, a := range addresses {
		f.set(workers, a, true)
	}
}

// restartWorkers simulates a restart of all workers, which lose their tasks.
func (f *fakeTasks) restartWorkers() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	clear(f.tasks)
	f.boots++
}

func (f *fakeTasks) bootID() string { return fmt.Sprint("boot ", f.boots) }

// withBoot returns the status with the current boot id.
func (f *fakeTasks) withBoot(s basilplatform.TaskStatus) basilplatform.TaskStatus {
	s.Boot = f.bootID()
	return s
}

// handleStart handles a start call, which may be delayed or repeated. A known attempt isn't started again.
func (f *fakeTasks) handleStart(address string, t basilplatform.Task) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	k := attemptKey{t.Job, t.Attempt}
	if t.Boot != "" && t.Boot != f.bootID() {
		return basilplatform.ErrRefused{Operation: "start", Reason: "worker has restarted"}
	}
	if f.tasks[k] != nil && f.tasks[k].status.State == basilplatform.TaskStateNotStarted || f.full[address] {
		return basilplatform.ErrRefused{Operation: "start", Reason: "attempt voided or worker full"}
	}
	if f.tasks[k] != nil {
		return nil
	}
	f.started[t.Job]++
	now := time.Now()
	task := &fakeTask{task: t, began: now, lapses: now.Add(time.Duration(t.LeaseMillis) * time.Millisecond)}
	task.status.State = basilplatform.TaskStateRunning
	if f.failing[address] {
		task.status = basilplatform.TaskStatus{State: basilplatform.TaskStateFailed, Message: "out of threads"}
	}
	f.tasks[k] = task
	return nil
}

// update updates the task's status to the current time and returns the task.
func (f *fakeTasks) update(k attemptKey) *fakeTask {
	task := f.tasks[k]
	if task == nil || task.status.State != basilplatform.TaskStateRunning {
		return task
	}
	now := time.Now()
	ends := task.began.Add(taskTime)
	switch {
	case task.lapses.Before(ends) && !now.Before(task.lapses):
		task.status = basilplatform.TaskStatus{State: basilplatform.TaskStateStopped, Message: "lease lapsed"}
	case !now.Before(ends):
		task.status = basilplatform.TaskStatus{State: basilplatform.TaskStateDone, Result: []byte(taskAnswer(k.job, k.attempt))}
	default:
		task.status.Checkpoint = fmt.Appendf(nil, "%s at %s", k.job, now.Sub(task.began).Truncate(time.Second))
	}
	return task
}

func (f *fakeTasks) isWorkerDown(address string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.down[address]
}

func (f *fakeTasks) Start(_ context.Context, address string, t basilplatform.Task) error {
	if f.isWorkerDown(address) {
		return basilplatform.ErrUnavailable{Operation: "start"}
	}
	return f.handleStart(address, t)
}

func (f *fakeTasks) Renew(_ context.Context, address, job string, attempt int, lease time.Duration) error {
	if f.isWorkerDown(address) {
		return basilplatform.ErrUnavailable{Operation: "renew"}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if task := f.update(attemptKey{job, attempt}); task != nil {
		task.lapses = time.Now().Add(lease)
	}
	return nil
}

func (f *fakeTasks) Status(_ context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error) {
	if f.isWorkerDown(address) {
		return basilplatform.TaskStatus{}, basilplatform.ErrUnavailable{Operation: "status"}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if task := f.update(attemptKey{job, attempt}); task != nil {
		return f.withBoot(task.status), nil
	}
	return f.withBoot(basilplatform.TaskStatus{}), nil
}

func (f *fakeTasks) Stop(_ context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error) {
	if f.isWorkerDown(address) {
		return basilplatform.TaskStatus{}, basilplatform.ErrUnavailable{Operation: "stop"}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	k := attemptKey{job, attempt}
	task := f.update(k)
	switch {
	case task == nil:
		task = &fakeTask{status: basilplatform.TaskStatus{State: basilplatform.TaskStateNotStarted}}
		f.tasks[k] = task
	case task.status.State == basilplatform.TaskStateRunning:
		task.status = basilplatform.TaskStatus{State: basilplatform.TaskStateStopped, Message: "stopped"}
	}
	return f.withBoot(task.status), nil
}

func (f *fakeTasks) Checkpoint(context.Context, string, string, int) error { return nil }

func (f *fakeTasks) Throttle(context.Context, string, string, int, float64) error { return nil }

// fakePlacer chooses the first worker that isn't excluded.
type fakePlacer struct {
	workers []string
	fits    bool
}

func (p *fakePlacer) Place(_ context.Context, r basiljob.PlacementRequest) (basiljob.Placement, error) {
	if !p.fits {
		return basiljob.Placement{}, basiljob.ErrFitsNoHost{Service: r.Service, Cores: r.Cores}
	}
	for _, w := range p.workers {
		if !slices.Contains(r.Exclude, w) {
			return basiljob.Placement{Host: w, Address: w, HostEpoch: 1}, nil
		}
	}
	return basiljob.Placement{}, basiljob.ErrNothingFree{RetryAfter: time.Second}
}

// Evict chooses the first candidate.
func (p *fakePlacer) Evict(_ basiljob.PlacementRequest, candidates []basilapi.JobID) (basilapi.JobID, bool) {
	if len(candidates) == 0 {
		return basilapi.JobID{}, false
	}
	return candidates[0], true
}

// fakeMembers holds the incarnations that were declared dead.
type fakeMembers struct {
	mutex sync.Mutex
	dead  map[ulid.ULID]bool
}

func (m *fakeMembers) Gone(incarnation ulid.ULID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.dead[incarnation]
}

func (m *fakeMembers) declareGone(incarnation ulid.ULID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dead[incarnation] = true
}

// owner is one incarnation of an entry host with its link to the table and the workers.
type owner struct {
	incarnation ulid.ULID
	jobs        *basiljob.LongJobs
	link        *link
	dead        bool        // the process has ended; its link stays cut
	busy        atomic.Bool // Step is running
}

// testCluster holds the entry hosts and the state that outlives them, such as the table and the workers.
type testCluster struct {
	table   *basilstandin.Table
	tasks   *fakeTasks
	placer  *fakePlacer
	members *fakeMembers
	owners  []*owner
	lease   time.Duration
}

func newTestCluster(owners int, lease time.Duration) *testCluster {
	w := &testCluster{
		lease: lease,
		table: new(basilstandin.Table), tasks: newFakeTasks(),
		placer:  &fakePlacer{workers: []string{"w1", "w2", "w3", "w4"}, fits: true},
		members: &fakeMembers{dead: make(map[ulid.ULID]bool)},
	}
	for range owners {
		w.owners = append(w.owners, w.newOwner())
	}
	return w
}

func (w *testCluster) newOwner() *owner {
	o := &owner{incarnation: ulid.Make(), link: &link{world: w}}
	o.jobs = basiljob.NewLongJobs(linkedTable{o.link}, linkedTasks{o.link}, basiljob.LongOptions{
		DataCentre: "fukuoka", Incarnation: o.incarnation, Placer: w.placer, Members: w.members,
		Jitter:           func(ceiling time.Duration) time.Duration { return ceiling },
		WideScanInterval: 10 * time.Second, CheckpointInterval: 4 * time.Second, UnreachableTimeout: time.Minute, MinRefusalAge: 20 * time.Second, Lease: w.lease, NonIdempotentLease: w.lease, Parallel: 1,
	})
	return o
}
