package basilnode

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// newClockedOwner returns an owner of the epoch without a loop, with a long-running job and a reading of the store's clock.
func newClockedOwner(t *testing.T, epoch int64, now time.Time, reading time.Duration) (*owner, func() string) {
	t.Helper()
	o, hook := newLoggingOwner(now)
	o.pool = basilscheduler.New(basilscheduler.Options{Epoch: epoch}, now)
	o.node.options.StoreClock = basilwork.NewStoreClock(func() time.Duration { return time.Minute })
	o.node.options.StoreClock.Record(reading, time.Minute)
	for _, id := range []string{"b1", "b2"} {
		o.pool.SetBackends(append(o.pool.Backends(), basilwork.Backend{ID: id, Resources: basilwork.Resources{CPU: 1000, Memory: 1024}}))
		o.pool.SetRecorded(id, true)
	}
	o.pool.AddJob(basilwork.Record{Accepted: now.UnixMilli(), Job: basilwork.Job{
		ID: "j", Steps: []basilwork.Step{{Count: 1, Resources: basilwork.Resources{CPU: 1000, Memory: 512}, LongRunning: true}},
	}}, true)
	o.pool.Decide(now)
	return o, func() string {
		body, err := hook.LastEntry().String()
		must.NoError(t, err)
		return body
	}
}

// startAll makes a decision, and answers its starts.
func (o *owner) startAll(now time.Time) int {
	starts := o.pool.Decide(now).Starts
	for _, s := range starts {
		o.pool.Started(s.Ref, basilwork.RefusalNone, true, now)
	}
	return len(starts)
}

// TestAbsenceIsKnownToNextOwner checks that the absence of a long-running task is counted over the loss of its server and a change of owner, by the
// store's clock, in the lines and the metric.
func TestAbsenceIsKnownToNextOwner(t *testing.T) {
	now := time.Now()
	before, _ := newClockedOwner(t, 1, now, 100*time.Second)
	before.pool.Attached("b1")
	must.Eq(t, 1, before.startAll(now))
	before.pool.Lost("b1", basilwork.LossExpired, now.Add(7*time.Second))
	body, err := json.Marshal(poolAnswer{PoolReport: basilcapacity.PoolReport{Serial: 3}, Absences: before.storedAbsences(now.Add(7 * time.Second))})
	must.NoError(t, err)
	var report basilcapacity.PoolReport
	must.NoError(t, json.Unmarshal(body, &report))
	must.Eq(t, 3, report.Serial)

	now = now.Add(time.Hour) // the next owner's clock shows another time
	var answer poolAnswer
	must.NoError(t, json.Unmarshal(body, &answer))
	must.Eq(t, []storedAbsence{{Task: "j.0.0.0", Attempt: 1, Since: 93000}}, answer.Absences)
	after, line := newClockedOwner(t, 2, now, 102*time.Second)
	after.inheritAbsences(append(answer.Absences, storedAbsence{Task: "?"}), now)
	now = now.Add(3 * time.Second)
	after.pool.Decide(now)
	after.logWaits(now)
	must.StrContains(t, line(), "waited_ms=3000")
	must.StrContains(t, line(), "away_ms=12000")
	after.logAbsences(now)
	must.StrContains(t, shownMetrics(after), `basilstage_long_running_away_ms{pool="stretch"} 12000`)

	after.pool.Attached("b2")
	must.Eq(t, 1, after.startAll(now))
	after.logAbsences(now)
	must.StrContains(t, line(), "long-running tasks at work again")
	must.StrContains(t, line(), "longest_away_ms=12000")
	must.StrContains(t, shownMetrics(after), `basilstage_long_running_away_ms{pool="stretch"} 0`)
}
