package basilnode

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// TestEndsAreAcknowledgedWhileManyRecordsChange checks that the end of a run is acknowledged once the record that it
// changed is stored, even if more records keep changing than fit into one commit.
func TestEndsAreAcknowledgedWhileManyRecordsChange(t *testing.T) {
	now := time.Now()
	b := basilwork.Backend{ID: "b1", Resources: basilwork.Resources{CPU: 1 << 20, Memory: 1 << 20}}
	o := &owner{node: &Node{}, log: logrus.NewEntry(basillog.Discard()), pool: basilscheduler.New(basilscheduler.Options{Epoch: 1}, now)}
	o.pool.SetBackends([]basilwork.Backend{b})
	o.pool.SetRecorded(b.ID, true)
	o.pool.Attached(b.ID)
	jobs := 0
	begin := func(count int) {
		for range count {
			jobs++
			o.pool.AddJob(basilwork.Record{Job: basilwork.Job{
				ID: strconv.Itoa(jobs), Steps: []basilwork.Step{{Count: 1, Resources: basilwork.Resources{CPU: 1}, Estimate: time.Second}},
			}}, false)
		}
		for _, s := range o.pool.Decide(now).Starts {
			o.pool.Started(s.Ref, basilwork.RefusalNone, true, now)
		}
	}
	begin(2 * basilledger.MaxCommitRecords)
	end := basilwork.EndedRun{Number: 1, Task: basilwork.TaskID{Job: "1"}.String(), Attempt: 1, End: basilwork.RunEndDone}
	o.pool.Report(b.ID, basilwork.Report{Ended: []basilwork.EndedRun{end}}, now, now)
	for range 3 {
		must.Zero(t, o.commit.acked[b.ID])
		ids, _ := o.pool.DirtyJobs()
		o.prepareCommit(ids)
		begin(basilledger.MaxCommitRecords)
		o.commit.entries = nil
		o.commit.acknowledge(o.commit.covered)
		if o.commit.acked[b.ID] == 1 {
			return
		}
	}
	t.Error("the end was not acknowledged after 3 commits")
}

// TestRowWithoutFinishTimeIsNotRemovedEarly checks that a cancelled job whose row lacks the time of its end is kept for the retention
// time, because a repeated submission would start it anew.
func TestRowWithoutFinishTimeIsNotRemovedEarly(t *testing.T) {
	now := time.Now()
	j := storedJob{Record: basilwork.Record{State: basilwork.JobStateCanceled}}
	must.Eq(t, now, j.finishTime(now))
	j.Finished = now.Add(-time.Minute).UnixMilli()
	must.Eq(t, time.UnixMilli(j.Finished), j.finishTime(now))
}
