package basilscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// fullPool is a pool whose backend servers are full while more tasks wait. Each end of a run is followed by a decision.
type fullPool struct {
	*Pool
	now        time.Time
	backendIDs []string
	shortRuns  map[string][]Ref // short runs by backend server, oldest first
	endNumbers map[string]int64
	jobs       int
	next       int
}

// newFullPool fills the backend servers and adds jobs until the given number of tasks wait.
func newFullPool(waiting, backends int) *fullPool {
	p := &fullPool{now: time.Unix(1000, 0), shortRuns: make(map[string][]Ref), endNumbers: make(map[string]int64)}
	p.Pool = New(Options{Epoch: 1}, p.now)
	p.setAdvice(nil)
	var list []basilwork.Backend
	for n := range backends {
		list = append(list, backendOf(fmt.Sprintf("b%03d", n), 64000))
		p.backendIDs = append(p.backendIDs, list[n].ID)
	}
	p.SetBackends(list)
	for _, id := range p.backendIDs {
		p.SetRecorded(id, true)
		p.Attached(id)
	}
	p.addJob(longStep(max(2, backends/10), 4000))
	p.decide()
	for p.Load(p.now).Waiting < waiting {
		for range 10 {
			p.addShortJob()
		}
		p.decide()
	}
	return p
}

func (p *fullPool) setAdvice(advice *basilwork.Advice) {
	p.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{
		{Name: "quote", Service: "stretch", MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond, Advice: advice},
	}})
}

func (p *fullPool) addJob(steps ...basilwork.Step) {
	p.jobs++
	p.AddJob(basilwork.Record{
		Job: basilwork.Job{ID: fmt.Sprintf("%016x", p.jobs), Queue: "quote", Steps: steps}, Accepted: p.now.UnixMilli(),
	}, false)
}

// addShortJob adds a job of one or two steps, each with eight tasks of 2 to 13 cores.
func (p *fullPool) addShortJob() {
	first, second := stepOf(8, 2000+1000*(p.jobs%12)), stepOf(8, 2000+1000*(p.jobs*7%12))
	first.Estimate = time.Duration(1+p.jobs%5) * time.Second
	second.Estimate = first.Estimate / 2
	second.After = []int{0}
	first.Label, second.Label = "a", "a"
	if p.jobs%5 < 2 {
		p.addJob(first)
		return
	}
	p.addJob(first, second)
}

// decide makes a decision, answers its starts and requests for advice, and stores changed records; finished jobs are replaced by new
// ones. It returns the time that the decision took.
func (p *fullPool) decide() time.Duration {
	began := time.Now()
	a := p.Decide(p.now)
	took := time.Since(began)
	for _, s := range a.Starts {
		p.Started(s.Ref, basilwork.RefusalNone, true, p.now)
		if j := p.Pool.jobs[s.Task.Job]; !j.record.Job.Steps[s.Task.Step].LongRunning {
			p.shortRuns[s.Backend] = append(p.shortRuns[s.Backend], s.Ref)
		}
	}
	for _, r := range a.Advice {
		var tickets []basilwork.Ticket
		for n, id := range r.Backends {
			if n%2 == 0 {
				tickets = append(tickets, basilwork.Ticket{Backend: id, Value: "ticket"})
			}
		}
		p.Advised(r, tickets, 3*time.Second, p.now)
	}
	p.Load(p.now)
	ids, _ := p.DirtyJobs()
	for _, id := range ids {
		if r, ok := p.Take(id); ok && r.State.Final() {
			p.Stored(id, p.now)
			p.addShortJob()
		}
	}
	return took
}

// endRunAndDecide ends the oldest short run of the next backend server in turn and makes a decision.
func (p *fullPool) endRunAndDecide() time.Duration {
	p.now = p.now.Add(700 * time.Microsecond)
	id := p.backendIDs[p.next%len(p.backendIDs)]
	p.next++
	if len(p.shortRuns[id]) == 0 {
		return p.decide()
	}
	r := p.shortRuns[id][0]
	p.shortRuns[id] = slices.Delete(p.shortRuns[id], 0, 1)
	p.endNumbers[id]++
	report := basilwork.Report{Ended: []basilwork.EndedRun{{Number: p.endNumbers[id], Task: r.Task.String(), Attempt: r.Attempt, End: basilwork.RunEndDone}}}
	for _, x := range p.shortRuns[id] {
		report.Running = append(report.Running, basilwork.RunStatus{Task: x.Task.String(), Attempt: x.Attempt, ProgressPercent: 30})
	}
	p.Report(id, report, time.Time{}, p.now)
	return p.decide()
}

// BenchmarkDecideAtPeak measures the end of a run with the decision that follows it and the storing of its changes, by
// number of waiting tasks and backend servers.
func BenchmarkDecideAtPeak(b *testing.B) {
	for _, size := range []struct{ waiting, backends int }{{100, 80}, {1000, 80}, {5000, 80}, {5000, 20}, {5000, 250}} {
		b.Run(fmt.Sprintf("waiting=%d/backends=%d", size.waiting, size.backends), func(b *testing.B) {
			p := newFullPool(size.waiting, size.backends)
			b.ReportAllocs()
			for b.Loop() {
				p.endRunAndDecide()
			}
		})
	}
}

// BenchmarkDecideWithAdvice measures the same for a queue whose steps need tickets, for half of the backend servers each.
func BenchmarkDecideWithAdvice(b *testing.B) {
	for _, size := range []struct{ waiting, backends int }{{1000, 80}, {5000, 250}} {
		b.Run(fmt.Sprintf("waiting=%d/backends=%d", size.waiting, size.backends), func(b *testing.B) {
			p := newFullPool(size.waiting, size.backends)
			p.setAdvice(&basilwork.Advice{})
			b.ReportAllocs()
			for b.Loop() {
				p.endRunAndDecide()
			}
		})
	}
}

// BenchmarkDecideWithWaitingLongRunningTasks measures the same while long-running tasks of several steps wait for room.
func BenchmarkDecideWithWaitingLongRunningTasks(b *testing.B) {
	for _, size := range []struct{ steps, backends int }{{2, 80}, {8, 80}, {8, 300}} {
		b.Run(fmt.Sprintf("steps=%d/backends=%d", size.steps, size.backends), func(b *testing.B) {
			p := newFullPool(1000, size.backends)
			for range size.steps {
				p.addJob(longStep(24, 60500)) // beside no task that lasts, so that they wait on
			}
			b.ReportAllocs()
			for b.Loop() {
				p.endRunAndDecide()
			}
		})
	}
}

// BenchmarkReserveRoomForManyTasks measures a decision while half as many tasks of a long-running step as there are backend servers wait for room.
func BenchmarkReserveRoomForManyTasks(b *testing.B) {
	for _, backends := range []int{250, 1000, 4000} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			p := newFullPool(1000, backends)
			long := longStep(backends/2, 60500)
			long.AntiAffinity = 1
			p.addJob(long)
			p.now = p.now.Add(maxHoldBack)
			p.decide()
			for b.Loop() {
				p.now = p.now.Add(planInterval)
				p.decide()
			}
		})
	}
}
