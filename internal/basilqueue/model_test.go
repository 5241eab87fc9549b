package basilqueue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

// modelJob is one job of the simulation.
type modelJob struct {
	ticket  JobRequest
	arrived time.Time
	runTime time.Duration
	long    bool
	waiter  *waiter // nil until it is queued
	pass    *Pass   // set by queuePolicy
}

// modelCapacity is a Capacity whose number of slots can be changed.
type modelCapacity struct {
	mutex      sync.Mutex
	size, used int
}

// modelSlot is a Slot that calls a release function.
type modelSlot func()

func (s modelSlot) Release() { s() }

func (c *modelCapacity) release() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.used--
}

func (c *modelCapacity) resize(n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.size = n
}

func (c *modelCapacity) Take(string, bool) (Slot, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.used >= c.size {
		return nil, false
	}
	c.used++
	return modelSlot(sync.OnceFunc(c.release)), true
}

func (c *modelCapacity) Size(string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.size
}

// modelPolicy is a scheduling policy under test; it reports starts and rejections to the model.
type modelPolicy interface {
	arrive(m *model, j *modelJob)
	end(m *model, j *modelJob)
	tick(m *model)
}

// modelDemand is the simulated demand of one user on one queue of one entry host.
type modelDemand struct {
	name                         string
	slots                        int
	meanRunTime                  time.Duration
	deadline, longDeadline       time.Duration
	longShare                    float64
	load                         float64 // mean, as a share of the slots
	peakLength, period           time.Duration
	mixedKinds                   bool // the kind doesn't distinguish long jobs from short ones
	teams                        int
	firstTeamShare               float64 // share of the jobs that team 0 submits
	urgentShare                  float64
	minLongFactor, maxLongFactor float64
}

type modelEvent struct {
	elapsed time.Duration
	job     *modelJob // the job that ends; nil for a tick
}

type eventHeap []modelEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].elapsed < h[j].elapsed }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(modelEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// model is a discrete event simulation of a demand under a policy.
type model struct {
	demand                  modelDemand
	random                  *rand.Rand
	policy                  modelPolicy
	elapsed                 time.Duration
	events                  eventHeap
	shortWaits, urgentWaits []time.Duration
	offered, met, late      [2]int // index 0 for short jobs, 1 for long jobs
	refused                 [2]int
	refusedLate             int // rejected after more than half of the time to their deadline
	teamMet, teamOffered    []int
}

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *model) now() time.Time { return modelStart.Add(m.elapsed) }

const modelTick = 10 * time.Millisecond

func (m *model) run(length time.Duration) {
	m.teamMet, m.teamOffered = make([]int, m.demand.teams), make([]int, m.demand.teams)
	next := m.timeToNextArrival()
	heap.Push(&m.events, modelEvent{elapsed: modelTick})
	for m.elapsed < length {
		if next < m.events[0].elapsed {
			m.elapsed = next
			m.policy.arrive(m, m.newJob())
			next += m.timeToNextArrival()
			continue
		}
		e := heap.Pop(&m.events).(modelEvent)
		m.elapsed = e.elapsed
		if e.job == nil {
			m.policy.tick(m)
			heap.Push(&m.events, modelEvent{elapsed: m.elapsed + modelTick})
			continue
		}
		m.recordEnd(e.job)
		m.policy.end(m, e.job)
	}
}

// timeToNextArrival returns the time to the next arrival; the rate is five times the mean during peaks and a twentieth of it in between.
func (m *model) timeToNextArrival() time.Duration {
	d := m.demand
	mean := d.meanRunTime.Seconds() * (1 - d.longShare + d.longShare*(d.minLongFactor+d.maxLongFactor)/2)
	rate := d.load * float64(d.slots) / mean / 20
	if m.elapsed%d.period < d.peakLength {
		rate *= 100
	}
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

func (m *model) newJob() *modelJob {
	d, r := m.demand, m.random
	j := &modelJob{arrived: m.now(), long: r.Float64() < d.longShare, runTime: time.Duration(float64(d.meanRunTime) * (0.5 + r.ExpFloat64()/2))}
	deadline, kind := d.deadline, "quote"
	if j.long {
		j.runTime = time.Duration(float64(d.meanRunTime) * (d.minLongFactor + r.Float64()*(d.maxLongFactor-d.minLongFactor)))
		deadline = d.longDeadline
	}
	if !d.mixedKinds && j.long == (r.Float64() < 0.95) {
		kind = "report"
	}
	team := 0
	if r.Float64() >= d.firstTeamShare {
		team = 1 + r.IntN(d.teams-1)
	}
	j.ticket = JobRequest{
		Service: "s", Team: fmt.Sprint(team), Kind: kind, Deadline: j.arrived.Add(deadline), Urgent: !j.long && r.Float64() < d.urgentShare,
		DeclaredRunTime: time.Duration(float64(j.runTime) * math.Exp(r.NormFloat64()*1.5)),
	}
	m.offered[jobIndex(j.long)]++
	m.teamOffered[team]++
	return j
}

func jobIndex(long bool) int { return map[bool]int{true: 1}[long] }

func (m *model) recordStart(j *modelJob) {
	waited := m.now().Sub(j.arrived)
	switch {
	case j.ticket.Urgent:
		m.urgentWaits = append(m.urgentWaits, waited)
	case !j.long:
		m.shortWaits = append(m.shortWaits, waited)
	}
	heap.Push(&m.events, modelEvent{elapsed: m.elapsed + j.runTime, job: j})
}

func (m *model) recordEnd(j *modelJob) {
	if m.now().After(j.ticket.Deadline) {
		m.late[jobIndex(j.long)]++
		return
	}
	m.met[jobIndex(j.long)]++
	var team int
	_, _ = fmt.Sscan(j.ticket.Team, &team)
	m.teamMet[team]++
}

func (m *model) recordRejection(j *modelJob) {
	m.refused[jobIndex(j.long)]++
	if m.now().Sub(j.arrived) > j.ticket.Deadline.Sub(j.arrived)/2 {
		m.refusedLate++
	}
}

func (m *model) report(reportMetric func(float64, string)) {
	quantiles := func(name string, d []time.Duration) {
		slices.Sort(d)
		for _, q := range []struct {
			part float64
			name string
		}{{0.5, "p50"}, {0.99, "p99"}, {0.999, "p999"}} {
			if len(d) > 0 {
				reportMetric(float64(d[int(q.part*float64(len(d)-1))].Milliseconds()), name+"-"+q.name+"-ms")
			}
		}
	}
	quantiles("short", m.shortWaits)
	quantiles("urgent", m.urgentWaits)
	reportMetric(float64(slices.Max(m.urgentWaits).Milliseconds()), "urgent-max-ms")
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
	reportMetric(percent(m.met[0], m.offered[0]), "short-met-%")
	reportMetric(percent(m.met[1], m.offered[1]), "long-met-%")
	reportMetric(percent(m.refused[0], m.offered[0]), "short-refused-%")
	reportMetric(percent(m.refused[1], m.offered[1]), "long-refused-%")
	reportMetric(percent(m.refusedLate, m.offered[0]+m.offered[1]), "held-back-%")
	reportMetric(percent(m.late[0]+m.late[1], m.offered[0]+m.offered[1]), "late-%")
	reportMetric(percent(m.teamMet[0], m.teamOffered[0]), "big-team-met-%")
	reportMetric(percent(m.teamMet[1], m.teamOffered[1]), "small-team-met-%")
}

// fifoPolicy is a FIFO queue that drops a job past its deadline when it reaches the head.
type fifoPolicy struct {
	slots   int
	waiting []*modelJob
}

func (p *fifoPolicy) arrive(m *model, j *modelJob) {
	if len(p.waiting) >= defaultMaxWaiting {
		m.recordRejection(j)
		return
	}
	p.waiting = append(p.waiting, j)
	p.serve(m)
}

func (p *fifoPolicy) serve(m *model) {
	for p.slots > 0 && len(p.waiting) > 0 {
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		if m.now().After(j.ticket.Deadline) {
			m.recordRejection(j)
			continue
		}
		p.slots--
		m.recordStart(j)
	}
}

func (p *fifoPolicy) end(m *model, _ *modelJob) {
	p.slots++
	p.serve(m)
}

func (p *fifoPolicy) tick(*model) {}

// queuePolicy drives a Queue with simulated time.
type queuePolicy struct {
	queue   *Queue
	waiting [classCount][]*modelJob
}

func newQueuePolicy(slots, longPercent int) *queuePolicy {
	q := NewQueues(Options{Capacity: &modelCapacity{size: slots}, LongPercent: longPercent})
	q.checking = true // disables the timer; the model's ticks replace it
	return &queuePolicy{queue: q.queue("s")}
}

func (p *queuePolicy) arrive(m *model, j *modelJob) {
	w, r := p.queue.enqueue(j.ticket, m.now())
	if w == nil {
		p.record(m, j, r)
		return
	}
	j.waiter = w
	p.waiting[w.class] = append(p.waiting[w.class], j)
	p.collect(m)
}

func (p *queuePolicy) record(m *model, j *modelJob, r result) {
	if r.err != nil {
		m.recordRejection(j)
		return
	}
	j.pass = r.pass
	m.recordStart(j)
}

// collect receives the results of jobs that are no longer queued.
func (p *queuePolicy) collect(m *model) {
	for c := range p.waiting {
		left := len(p.waiting[c]) - p.queue.scheduler.classQueues[c].size
		if left == 0 {
			continue
		}
		p.waiting[c] = slices.DeleteFunc(p.waiting[c], func(j *modelJob) bool {
			if left == 0 {
				return false
			}
			select {
			case r := <-j.waiter.result:
				left--
				p.record(m, j, r)
				return true
			default:
				return false
			}
		})
	}
}

func (p *queuePolicy) end(m *model, j *modelJob) {
	j.pass.slot.Release()
	p.queue.done(j.pass, j.runTime, basilapi.OutcomeRan)
	p.queue.startWaiting(m.now())
	p.collect(m)
}

func (p *queuePolicy) tick(m *model) {
	if p.queue.waiting.Load() > 0 {
		p.queue.check(m.now())
		p.collect(m)
	}
}

var modelDemands = []modelDemand{
	{
		name: "hinokuni quotes", slots: 14, meanRunTime: 50 * time.Millisecond, deadline: 2 * time.Second, longDeadline: 30 * time.Second,
		longShare: 0.04, load: 0.3, peakLength: 4 * time.Second, period: 20 * time.Second, teams: 5, firstTeamShare: 0.6, urgentShare: 0.03, minLongFactor: 20, maxLongFactor: 50,
	},
	{
		name: "association receipts", slots: 10, meanRunTime: 20 * time.Millisecond, deadline: 3 * time.Second, longDeadline: 60 * time.Second,
		longShare: 0.02, load: 0.3, peakLength: 6 * time.Second, period: 30 * time.Second, teams: 5, firstTeamShare: 0.6, urgentShare: 0.03, minLongFactor: 20, maxLongFactor: 50,
	},
}

func BenchmarkSchedulingUnderPeaks(b *testing.B) {
	for _, d := range modelDemands {
		for _, mixed := range []bool{false, true} {
			d.mixedKinds = mixed
			for _, load := range []float64{0.15, 0.3, 0.5} {
				d.load = load
				policies := []struct {
					name string
					make func() modelPolicy
				}{
					{"fifo", func() modelPolicy { return &fifoPolicy{slots: d.slots} }},
					{"queue, long 25", func() modelPolicy { return newQueuePolicy(d.slots, 25) }},
					{"queue, long 50", func() modelPolicy { return newQueuePolicy(d.slots, 50) }},
					{"queue, long 100", func() modelPolicy { return newQueuePolicy(d.slots, 100) }},
				}
				for _, p := range policies {
					b.Run(fmt.Sprintf("%s/mixed kinds %t/peak %.2f/%s", d.name, mixed, 5*load, p.name), func(b *testing.B) {
						for range b.N {
							m := &model{demand: d, random: rand.New(rand.NewPCG(7, 7)), policy: p.make()}
							m.run(10 * time.Minute)
							m.report(b.ReportMetric)
						}
					})
				}
			}
		}
	}
}
