package basilscheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// BenchmarkTakeover measures loading stored jobs and the reports of all backend servers, up to the first starts.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range []struct{ jobs, backends int }{{1000, 60}, {10000, 600}} {
		b.Run(fmt.Sprintf("jobs=%d/backends=%d", size.jobs, size.backends), func(b *testing.B) {
			rows := storedJobs(size.jobs)
			b.SetBytes(int64(len(rows[0])))
			b.ReportAllocs()
			for b.Loop() {
				takeOver(b, rows, size.backends)
			}
		})
	}
}

// storedJobs returns serialized records of active jobs with six tasks each.
func storedJobs(count int) [][]byte {
	rows := make([][]byte, count)
	for n := range rows {
		r := basilwork.Record{
			Job:   basilwork.Job{ID: fmt.Sprintf("%016x", n), Queue: "quote", Payload: "text", Steps: []basilwork.Step{stepOf(6, 1000)}},
			State: basilwork.JobStateActive, Accepted: 1,
		}
		rows[n], _ = json.Marshal(r) // plain values cannot fail to marshal
	}
	return rows
}

func takeOver(b *testing.B, rows [][]byte, backends int) {
	now := time.Unix(1000, 0)
	p := New(Options{Epoch: 2, Grace: time.Second}, now)
	for _, row := range rows {
		var r basilwork.Record
		if err := json.Unmarshal(row, &r); err != nil {
			b.Fatal(err)
		}
		p.AddJob(r, true)
	}
	var list []basilwork.Backend
	for n := range backends {
		list = append(list, backendOf(fmt.Sprintf("b%d", n), 64000))
		p.AddPredecessorBackend(list[n], time.Time{})
	}
	p.SetBackends(list)
	for n, x := range list {
		p.SetRecorded(x.ID, true)
		var report basilwork.Report
		for i := range 10 {
			id := basilwork.TaskID{Job: fmt.Sprintf("%016x", (n*10+i)%len(rows))}
			report.Running = append(report.Running, basilwork.RunStatus{Task: id.String(), Attempt: 1, ProgressPercent: 10})
		}
		p.Report(x.ID, report, now, now)
		p.Attached(x.ID)
	}
	if len(p.Decide(now).Starts) == 0 {
		b.Fatal("no task was started")
	}
}
