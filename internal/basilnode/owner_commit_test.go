package basilnode

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

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
		node: &Node{options: Options{Self: basilshard.Member{Incarnation: "entry-1.1"}}}, row: basilshard.OwnerRow{Epoch: epoch},
		log: logrus.NewEntry(basillog.Discard()), versions: make(map[string]int64), pool: basilscheduler.New(basilscheduler.Options{Epoch: epoch}, now),
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

// TestCompletedJobIsStoredByLaterOwnership checks that a job whose last task has ended is stored as completed when the entry host had
// owned the pool before, and another job of the same transaction is cancelled meanwhile.
func TestCompletedJobIsStoredByLaterOwnership(t *testing.T) {
	const job, cancelled = "0000000000000001", "0000000000000002"
	network := &basilstandin.Network{}
	var fake basilfake.Store
	network.Listen(basilfake.StoreAddress, http.HandlerFunc(fake.ServeHTTP))
	store := basilsite.NewStore(basilsite.NewClientOn(network), func() string { return basilfake.StoreAddress }, time.Second)
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
