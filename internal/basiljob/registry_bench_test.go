package basiljob_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/pkg/basilapi"
)

// answerWith returns a run that answers immediately with the body.
func answerWith(body []byte) basiljob.RunFunc {
	return func(_ context.Context, _ basilapi.JobID, _ basilapi.SubmitRequest, start basiljob.StartFunc) basiljob.RunResult {
		start(1)
		return basiljob.RunResult{Outcome: basilapi.OutcomeRan, Attempt: 1, Answer: body}
	}
}

func benchmarkSubmit(b *testing.B, o basiljob.RegistryOptions) {
	g := newRegistry(o)
	run := answerWith(make([]byte, 100))
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := g.Submit(b.Context(), shortRequest(g.Mint(1)[0]), run); err != nil {
				b.Error(err)
			}
		}
	})
}

func BenchmarkRegistrySubmit(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkSubmit(b, basiljob.RegistryOptions{}) })
	b.Run("copied", func(b *testing.B) {
		p := peerCopier{basiljob.NewCopies(basiljob.CopiesOptions{})}
		benchmarkSubmit(b, basiljob.RegistryOptions{Copiers: []basiljob.Copier{p}})
	})
}

func BenchmarkRegistryCancel(b *testing.B) {
	g := newRegistry(basiljob.RegistryOptions{})
	id := g.Mint(1)[0]
	for b.Loop() {
		_, _ = g.Cancel(id)
	}
}

// BenchmarkRegistryMemory reports the heap size per finished job, without answer bodies, for 100,000 jobs.
func BenchmarkRegistryMemory(b *testing.B) {
	const jobs = 100_000
	for b.Loop() {
		before := heapBytes()
		g := newRegistry(basiljob.RegistryOptions{})
		run := answerWith(nil)
		for _, id := range g.Mint(jobs) {
			_, _ = g.Submit(b.Context(), shortRequest(id), run)
		}
		b.ReportMetric(float64(heapBytes()-before)/jobs, "B/id")
		runtime.KeepAlive(g)
	}
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkLongJobsStep reports the time that Step takes per running long job.
func BenchmarkLongJobsStep(b *testing.B) {
	const jobs = 1000
	w := newTestCluster(0, time.Hour)
	l := basiljob.NewLongJobs(w.table, w.tasks, basiljob.LongOptions{
		DataCentre: "fukuoka", Placer: w.placer, PollInterval: time.Nanosecond,
	})
	for range jobs {
		_, _ = l.Accept(b.Context(), longRequest("boots", false))
	}
	for range 2 { // starts the jobs, then observes that they run
		_ = l.Step(b.Context())
	}
	for b.Loop() {
		_ = l.Step(b.Context())
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/jobs, "ns/look")
}
