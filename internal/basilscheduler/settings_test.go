package basilscheduler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// configureQueue gives a pool one queue at the address of its jobs, or none, beside one of another address that has the jobs' queue's name.
func (f *fixture) configureQueue(q *basilwork.Queue) {
	named := basilwork.Queue{Name: "quote", Host: "shop.example", Prefix: "/other/", MaxAttempts: 1}
	c := &basilwork.Configuration{Queues: []basilwork.Queue{named}}
	if q != nil {
		c.Queues = append(c.Queues, *q)
	}
	f.SetConfiguration(c)
}

// TestSettingsThatHoldForJob checks which settings a new owner uses for a job: those of the queue at the job's address, else those that were
// last stored with the job, else, for rows of the release before, those of the queue that has the name.
func TestSettingsThatHoldForJob(t *testing.T) {
	accepted := basilwork.Queue{Name: "quote", Host: "shop.example", Prefix: "/quote/", MaxAttempts: 4, Stretch: 1.6, Slack: 600 * time.Millisecond}
	changed := accepted
	changed.Name, changed.MaxAttempts, changed.Advice = "quote-2", 6, &basilwork.Advice{DecisionTime: 20 * time.Millisecond, ValidFor: 3 * time.Second}
	row := basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", QueueID: accepted.ID(), Settings: accepted.Settings(), Steps: []basilwork.Step{stepOf(1, 1000)}}}
	owner := func(r basilwork.Record, q *basilwork.Queue) (*fixture, *job) {
		f := newFixture(t, backendOf("b1", 4000))
		f.configureQueue(q)
		f.AddJob(r, false)
		return f, f.jobs["j"]
	}
	_, j := owner(row, nil)
	must.Eq(t, 4, j.maxAttempts())
	must.Eq(t, accepted.Objective(time.Second), j.queue.Objective(time.Second))

	f, j := owner(row, &accepted)
	f.configureQueue(&changed)
	must.Eq(t, 6, j.maxAttempts())
	f.activate(j)
	taken, ok := f.Take("j")
	must.True(t, ok)
	f.configureQueue(nil)
	must.Eq(t, 6, j.maxAttempts())

	body, err := json.Marshal(taken)
	must.NoError(t, err)
	var stored basilwork.Record
	must.NoError(t, json.Unmarshal(body, &stored))
	_, j = owner(stored, nil)
	must.Eq(t, 6, j.maxAttempts())
	must.Eq(t, changed.Advice, j.queue.Advice)

	row.Job.Settings = nil
	_, j = owner(row, nil)
	must.Eq(t, 1, j.maxAttempts())
	body, err = json.Marshal(row)
	must.NoError(t, err)
	row.Job.Settings = accepted.Settings()
	with, err := json.Marshal(row)
	must.NoError(t, err)
	t.Logf("a row of %d bytes takes %d more", len(body), len(with)-len(body))
}
