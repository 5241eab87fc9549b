package basiljob_test

import (
	"context"
	"runtime"
	"testing"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/pkg/basilapi"
)

func answers(body []byte) basiljob.RunFunc {
	return func(_ context.Context, _ basilapi.JobID, _ basilapi.SubmitRequest, start basiljob.StartFunc) basiljob.RunResult {
		start(1)
		return basiljob.RunResult{Outcome: basilapi.OutcomeRan, Attempt: 1, Answer: body}
	}
}

func benchmarkSubmit(b *testing.B, o basiljob.RegistryOptions) {
	g := newRegistry(o)
	run := answers(make([]byte, 100))
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := g.Submit(b.Context(), short(g.Mint(1)[0]), run); err != nil {
				b.Error(err)
			}
		}
	})
}

func BenchmarkRegistrySubmit(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkSubmit(b, basiljob.RegistryOptions{}) })
	b.Run("copied", func(b *testing.B) {
		p := peer{basiljob.NewCopies(basiljob.CopiesOptions{})}
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

// BenchmarkRegistryMemory reports the heap of 100,000 remembered jobs without their bodies.
func BenchmarkRegistryMemory(b *testing.B) {
	const jobs = 100_000
	for b.Loop() {
		before := heap()
		g := newRegistry(basiljob.RegistryOptions{})
		run := answers(nil)
		for _, id := range g.Mint(jobs) {
			_, _ = g.Submit(b.Context(), short(id), run)
		}
		b.ReportMetric(float64(heap()-before)/jobs, "B/id")
		runtime.KeepAlive(g)
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
