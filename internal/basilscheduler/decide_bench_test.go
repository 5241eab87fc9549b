package basilscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// peak is a pool whose backend servers are full while more work waits; each end is followed by a decision.
type peak struct {
	*Pool
	now   time.Time
	hosts []string
	runs  map[string][]Ref // short runs of each backend server, the oldest first
	ends  map[string]int64
	jobs  int
	turn  int
}

// newPeak fills the backend servers, and lets so many tasks more wait.
func newPeak(waiting, backends int) *peak {
	p := &peak{now: time.Unix(1000, 0), runs: make(map[string][]Ref), ends: make(map[string]int64)}
	p.Pool = New(Options{Epoch: 1}, p.now)
	p.configure(nil)
	var list []basilwork.Backend
	for n := range backends {
		list = append(list, backendOf(fmt.Sprintf("b%03d", n), 64000))
		p.hosts = append(p.hosts, list[n].ID)
	}
	p.SetBackends(list)
	for _, id := range p.hosts {
		p.Recorded(id)
		p.Attached(id)
	}
	p.submit(longStep(max(2, backends/10), 4000))
	p.decide()
	for p.Load(p.now).Waiting < waiting {
		for range 10 {
			p.submitJob()
		}
		p.decide()
	}
	return p
}

func (p *peak) configure(advice *basilwork.Advice) {
	p.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{
		{Name: "quote", Service: "stretch", MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond, Advice: advice},
	}})
}

func (p *peak) submit(steps ...basilwork.Step) {
	p.jobs++
	p.AddJob(basilwork.Record{
		Job: basilwork.Job{ID: fmt.Sprintf("%016x", p.jobs), Queue: "quote", Steps: steps}, Accepted: p.now.UnixMilli(),
	}, false)
}

// submitJob adds a job of one or two steps of eight tasks of 2 to 13 cores.
func (p *peak) submitJob() {
	first, second := stepOf(8, 2000+1000*(p.jobs%12)), stepOf(8, 2000+1000*(p.jobs*7%12))
	first.Estimate = time.Duration(1+p.jobs%5) * time.Second
	second.Estimate = first.Estimate / 2
	second.After = []int{0}
	first.Label, second.Label = "a", "a"
	if p.jobs%5 < 2 {
		p.submit(first)
		return
	}
	p.submit(first, second)
}

// decide carries out a decision and stores what changed; jobs that finish are replaced. It returns how long the
// decision took.
func (p *peak) decide() time.Duration {
	began := time.Now()
	a := p.Decide(p.now)
	took := time.Since(began)
	for _, s := range a.Starts {
		p.Started(s.Ref, basilwork.RefusalNone, true, p.now)
		if j := p.Pool.jobs[s.Task.Job]; !j.record.Job.Steps[s.Task.Step].LongRunning {
			p.runs[s.Backend] = append(p.runs[s.Backend], s.Ref)
		}
	}
	p.Load(p.now)
	ids, _ := p.Dirty()
	for _, id := range ids {
		if r, ok := p.Take(id); ok && r.State.Final() {
			p.Stored(id, p.now)
			p.submitJob()
		}
	}
	return took
}

// end lets the oldest run of the next backend server end, and decides.
func (p *peak) end() time.Duration {
	p.now = p.now.Add(700 * time.Microsecond)
	id := p.hosts[p.turn%len(p.hosts)]
	p.turn++
	if len(p.runs[id]) == 0 {
		return p.decide()
	}
	r := p.runs[id][0]
	p.runs[id] = slices.Delete(p.runs[id], 0, 1)
	p.ends[id]++
	report := basilwork.Report{Ended: []basilwork.EndStatus{{Number: p.ends[id], Task: r.Task.String(), Attempt: r.Attempt, End: basilwork.RunEndDone}}}
	for _, x := range p.runs[id] {
		report.Running = append(report.Running, basilwork.RunStatus{Task: x.Task.String(), Attempt: x.Attempt, Percent: 30})
	}
	p.Report(id, report, time.Time{}, p.now)
	return p.decide()
}

// BenchmarkDecideAtPeak lets a run end, decides, starts what finds room and stores what changed, by what waits and by
// the number of backend servers.
func BenchmarkDecideAtPeak(b *testing.B) {
	for _, size := range []struct{ waiting, backends int }{{100, 80}, {1000, 80}, {5000, 80}, {5000, 20}, {5000, 250}} {
		b.Run(fmt.Sprintf("waiting=%d/backends=%d", size.waiting, size.backends), func(b *testing.B) {
			p := newPeak(size.waiting, size.backends)
			b.ReportAllocs()
			for b.Loop() {
				p.end()
			}
		})
	}
}
