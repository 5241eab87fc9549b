package basilnode

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basilwork"
	"basilstage.example/basilstage/platform"
	"basilstage.example/basilstage/platform/basilfake"
)

const commitShard = "stretch"

// committingOwner is an owner of one ownership of the shard, with a backend server that has answered.
type committingOwner struct {
	*owner
	ledger *basilledger.Ledger
	row    basilledger.Owner
	now    time.Time
}

func newCommittingOwner(t *testing.T, store basilwork.Store, epoch int64) *committingOwner {
	key := basilshard.OwnerKey(commitShard)
	version, err := store.Commit(t.Context(), basilplatform.Transaction{Writes: []basilplatform.Write{{
		Kind: basilplatform.WriteKindPut, Key: key, Precondition: basilplatform.PreconditionNone, Body: []byte("{}"),
	}}})
	must.NoError(t, err)
	now := time.Now()
	o := &owner{
		node: &Node{options: Options{Self: basilshard.Member{Incarnation: "entry-1.1"}}, ledger: basilledger.New(store), metrics: newMetrics(nil)},
		row:  basilshard.OwnerRow{Epoch: epoch, Version: version}, service: commitShard, ctx: t.Context(), events: make(chan event, 1),
		log: logrus.NewEntry(basillog.Discard()), versions: make(map[string]int64), finished: make(map[string]time.Time),
		pool: basilscheduler.New(basilscheduler.Options{Epoch: epoch}, now),
	}
	b := basilwork.Backend{ID: "b1", Resources: basilwork.Resources{CPU: 1 << 20, Memory: 1 << 20}}
	o.pool.SetBackends([]basilwork.Backend{b})
	o.pool.SetRecorded(b.ID, true)
	o.pool.Attached(b.ID)
	return &committingOwner{owner: o, ledger: basilledger.New(store), row: basilledger.Owner{Shard: commitShard, Key: key, Version: version}, now: now}
}

// addJob adds a stored job.
func (o *committingOwner) addJob(t *testing.T, id string) {
	r, version, err := o.ledger.Find(t.Context(), commitShard, id)
	must.NoError(t, err)
	o.pool.AddJob(r, false)
	o.versions[id] = version
}

// startAll starts all tasks and returns the attempts by job.
func (o *committingOwner) startAll() map[string]int {
	attempts := make(map[string]int)
	for _, s := range o.pool.Decide(o.now).Starts {
		o.pool.Started(s.Ref, basilwork.RefusalNone, true, o.now)
		attempts[s.Task.Job] = s.Attempt
	}
	return attempts
}

// commitAll stores the changed records in one transaction.
func (o *committingOwner) commitAll(t *testing.T) {
	ids, _ := o.pool.DirtyJobs()
	o.prepareCommit(ids)
	_, err := o.ledger.Commit(t.Context(), o.row, o.commit.writer, o.commit.entries)
	must.NoError(t, err)
}

// commitFor makes the commits of the given time.
func (o *committingOwner) commitFor(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(commitDelay) {
		o.commitIfDue(o.now)
		for o.commit.inFlight {
			e := <-o.events
			e.handle(o.now)
			o.commitIfDue(o.now)
		}
	}
}

// randomText returns a text of which a compressed form takes about half of the space.
func randomText(length int) string {
	var seed [32]byte
	random := make([]byte, length/2)
	_, _ = rand.NewChaCha8(seed).Read(random) // never fails
	return hex.EncodeToString(random)
}

func newCommitStore() (*basilfake.Store, basilwork.Store) {
	network := &basilstandin.Network{}
	fake := new(basilfake.Store)
	network.Listen(basilfake.StoreAddress, http.HandlerFunc(fake.ServeHTTP))
	return fake, basilsite.NewStore(basilsite.NewClientOn(network), func() string { return basilfake.StoreAddress }, time.Second)
}

const (
	refusingRowBytes = 4000 // limit of the rows in these tests
	refusedJob       = 5    // the job with a larger row
)

// newRefusedCommit returns an owner with jobs of two tasks that have all ended but one of the refused job's, whose record is larger than the
// limit of the store, and the number of ends.
func newRefusedCommit(t *testing.T, jobs int) (o *committingOwner, fake *basilfake.Store, ends int64) {
	fake, store := newCommitStore()
	o = newCommittingOwner(t, store, 1)
	for n := range jobs {
		r := basilwork.Record{State: basilwork.JobStatePending, Job: basilwork.Job{
			ID: commitJobID(n), Queue: "quote", QueueID: "quote", Steps: []basilwork.Step{{Count: 2, Resources: basilwork.Resources{CPU: 1}, Estimate: time.Second}},
		}}
		if n == refusedJob {
			r.Job.Steps[0].Image = randomText(3 * refusingRowBytes) // compressed, it is too large too, also once the job has ended
		}
		a, err := basilledger.NewAcceptance(&r)
		must.NoError(t, err)
		must.NoError(t, o.ledger.Accept(t.Context(), commitShard, a))
		o.addJob(t, r.Job.ID)
	}
	fake.SetLimits(basilfake.StoreLimits{RowBytes: refusingRowBytes})
	attempts := o.startAll()
	var list []basilwork.EndedRun
	for n := range jobs {
		for index := range 2 {
			if n == refusedJob && index == 1 {
				continue
			}
			id := commitJobID(n)
			ends++
			list = append(list, basilwork.EndedRun{Number: ends, Task: basilwork.TaskID{Job: id, Index: index}.String(), Attempt: attempts[id], End: basilwork.RunEndDone})
		}
	}
	o.pool.Report("b1", basilwork.Report{Ended: list}, o.now, o.now)
	return o, fake, ends
}

func commitJobID(n int) string { return fmt.Sprintf("%016x", n+1) }

// storedState returns the stored state of a job.
func (o *committingOwner) storedState(t *testing.T, n int) basilwork.JobState {
	r, _, err := o.ledger.Find(t.Context(), commitShard, commitJobID(n))
	must.NoError(t, err)
	return r.State
}

// TestRefusedRecordDoesNotHoldUpOthers checks that all records are stored but the one that the store refuses, that no end is acknowledged
// meanwhile, since those of that job's runs aren't stored, and that it is stored once the store takes it.
func TestRefusedRecordDoesNotHoldUpOthers(t *testing.T) {
	const jobs = 12
	o, fake, ends := newRefusedCommit(t, jobs)
	o.commitFor(refusedCommitDelay + time.Second)
	for n := range jobs {
		want := basilwork.JobStateCompleted
		if n == refusedJob {
			want = basilwork.JobStatePending
		}
		must.Eq(t, want, o.storedState(t, n), must.Sprint(n))
	}
	must.Zero(t, o.commit.acked["b1"])
	must.StrContains(t, shownMetrics(o.owner), "basilstage_commit_records_refused 2")

	fake.SetLimits(basilfake.StoreLimits{})
	o.commitFor(refusedCommitDelay + time.Second)
	must.Eq(t, basilwork.JobStateActive, o.storedState(t, refusedJob))
	must.Eq(t, ends, o.commit.acked["b1"])
}

// TestRefusedRecordOfCancelledJob checks that ends are acknowledged again after the job whose record is refused was cancelled.
func TestRefusedRecordOfCancelledJob(t *testing.T) {
	o, fake, ends := newRefusedCommit(t, refusedJob+1)
	o.commitFor(time.Second)
	must.Zero(t, o.commit.acked["b1"])
	fake.SetLimits(basilfake.StoreLimits{})
	id := commitJobID(refusedJob)
	must.NoError(t, o.ledger.Cancel(t.Context(), commitShard, "quote", id))
	r, version, err := o.ledger.Find(t.Context(), commitShard, id)
	must.NoError(t, err)
	o.applyJob(&storedJob{Record: r, id: id, version: version})
	fake.SetLimits(basilfake.StoreLimits{RowBytes: refusingRowBytes})
	o.commitFor(refusedCommitDelay + time.Second)
	must.Eq(t, ends, o.commit.acked["b1"])
}

// TestBackendIsEmptiedOnceEndsAreStored checks that a backend server isn't reported as empty before the ends of its runs are stored, as the end
// of its host would lose them, and that a record that the store refuses keeps no host.
func TestBackendIsEmptiedOnceEndsAreStored(t *testing.T) {
	o, _, ends := newRefusedCommit(t, refusedJob+1)
	refused := basilwork.TaskID{Job: commitJobID(refusedJob), Index: 1}.String()
	end := basilwork.EndedRun{Number: ends + 1, Task: refused, Attempt: 1, End: basilwork.RunEndDone}
	o.pool.Report("b1", basilwork.Report{Ended: []basilwork.EndedRun{end}}, o.now, o.now)
	o.evacuation.request = basilcapacity.EvacuationRequest{Backends: map[string]int64{"b1": 1}}
	must.SliceEmpty(t, o.applyEvacuation(o.now).Empty)
	o.commitFor(refusedCommitDelay)
	must.Eq(t, basilwork.JobStateCompleted, o.storedState(t, 0))
	must.Eq(t, basilwork.JobStatePending, o.storedState(t, refusedJob))
	must.Eq(t, []string{"b1"}, o.applyEvacuation(o.now).Empty)
}

// TestCompletedJobIsStoredByLaterOwnership checks that a job whose last task has ended is stored as completed when the entry host had
// owned the pool before, and another job of the same transaction is cancelled meanwhile.
func TestCompletedJobIsStoredByLaterOwnership(t *testing.T) {
	const job, cancelled = "0000000000000001", "0000000000000002"
	_, store := newCommitStore()
	first := newCommittingOwner(t, store, 1)
	for _, id := range []string{job, cancelled} {
		a, err := basilledger.NewAcceptance(&basilwork.Record{State: basilwork.JobStatePending, Job: basilwork.Job{
			ID: id, Queue: "quote", QueueID: "quote", Steps: []basilwork.Step{{Count: 1, Resources: basilwork.Resources{CPU: 1}, Estimate: time.Second}},
		}})
		must.NoError(t, err)
		must.NoError(t, first.ledger.Accept(t.Context(), commitShard, a))
	}
	first.addJob(t, job)
	first.startAll()
	first.commitAll(t)

	second := newCommittingOwner(t, store, 2)
	second.addJob(t, job)
	second.addJob(t, cancelled)
	end := basilwork.EndedRun{Number: 1, Task: basilwork.TaskID{Job: job}.String(), Attempt: second.startAll()[job], End: basilwork.RunEndDone}
	second.pool.Report("b1", basilwork.Report{Ended: []basilwork.EndedRun{end}}, second.now, second.now)
	must.NoError(t, second.ledger.Cancel(t.Context(), commitShard, "quote", cancelled))
	second.commitAll(t)
	r, _, err := second.ledger.Find(t.Context(), commitShard, job)
	must.NoError(t, err)
	must.Eq(t, basilwork.JobStateCompleted, r.State)
}

// TestBackendIsEmptiedBesideRefusedRecordUnderLoad checks that a record that the store refuses keeps no host from being emptied while it and others
// change all the time.
func TestBackendIsEmptiedBesideRefusedRecordUnderLoad(t *testing.T) {
	o, _, ends := newRefusedCommit(t, refusedJob+1)
	rounds := int(3 * refusedCommitDelay / commitDelay)
	for n := range rounds {
		r := basilwork.Record{State: basilwork.JobStatePending, Job: basilwork.Job{
			ID: commitJobID(100 + n), Queue: "quote", QueueID: "quote", Steps: []basilwork.Step{{Count: 1, Resources: basilwork.Resources{CPU: 1}, Estimate: time.Second}},
		}}
		a, err := basilledger.NewAcceptance(&r)
		must.NoError(t, err)
		must.NoError(t, o.ledger.Accept(t.Context(), commitShard, a))
		o.addJob(t, r.Job.ID)
	}
	o.commitFor(refusedCommitDelay)
	must.Eq(t, ends, o.commit.settled["b1"])
	attempts := o.startAll()
	refused := basilwork.TaskID{Job: commitJobID(refusedJob), Index: 1}.String()
	for n := range rounds {
		o.commitIfDue(o.now)
		id := commitJobID(100 + n)
		o.pool.Report("b1", basilwork.Report{Ended: []basilwork.EndedRun{
			{Number: ends + int64(2*n) + 1, Task: basilwork.TaskID{Job: id}.String(), Attempt: attempts[id], End: basilwork.RunEndDone},
			{Number: ends + int64(2*n) + 2, Task: refused, Attempt: 1, End: basilwork.RunEndStopped, Checkpoint: id},
		}}, o.now, o.now)
		if o.commit.inFlight {
			(<-o.events).handle(o.now)
		}
		o.now = o.now.Add(commitDelay)
	}
	must.MapLen(t, 1, o.commit.refused)
	must.Greater(t, ends+int64(rounds), o.commit.settled["b1"], must.Sprint("ends of the first half are stored"))
}
