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

// modelJob is one job of the model.
type modelJob struct {
	ticket  Ticket
	arrived time.Time
	ran     time.Duration
	long    bool
	waiter  *waiter // nil before it waits
	pass    *Pass   // of the policy under test
}

// modelCapacity is a number of places that tests may change.
type modelCapacity struct {
	mutex      sync.Mutex
	size, used int
}

// modelSlot gives its place back once.
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

// modelPolicy is an order under test; grants come out of started, refusals out of refused.
type modelPolicy interface {
	arrive(m *model, j *modelJob)
	end(m *model, j *modelJob)
	tick(m *model)
}

// modelDemand is one user's demand on one queue of one entry host.
type modelDemand struct {
	name                string
	slots               int
	short               time.Duration // mean run time
	deadline, longDue   time.Duration
	longShare           float64
	load                float64 // mean, of the slots
	peak, period        time.Duration
	mixed               bool // kinds don't tell long jobs
	teams               int
	firstTeam           float64 // part of the demand that one team asks
	urgentShare         float64
	longTimesFrom, upTo float64
}

type modelEvent struct {
	at  time.Duration
	job *modelJob // ends; nil is a tick
}

type eventHeap []modelEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(modelEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// model plays demand against a policy in event time.
type model struct {
	demand               modelDemand
	random               *rand.Rand
	policy               modelPolicy
	at                   time.Duration
	events               eventHeap
	short, urgent        []time.Duration
	offered, met, late   [2]int // by whether the job is long
	refused              [2]int
	heldBack             int // refused after half of the time that they had
	teamMet, teamOffered []int
}

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *model) now() time.Time { return modelStart.Add(m.at) }

const modelTick = 10 * time.Millisecond

func (m *model) run(length time.Duration) {
	m.teamMet, m.teamOffered = make([]int, m.demand.teams), make([]int, m.demand.teams)
	next := m.gap()
	heap.Push(&m.events, modelEvent{at: modelTick})
	for m.at < length {
		if next < m.events[0].at {
			m.at = next
			m.policy.arrive(m, m.job())
			next += m.gap()
			continue
		}
		e := heap.Pop(&m.events).(modelEvent)
		m.at = e.at
		if e.job == nil {
			m.policy.tick(m)
			heap.Push(&m.events, modelEvent{at: m.at + modelTick})
			continue
		}
		m.finished(e.job)
		m.policy.end(m, e.job)
	}
}

// gap returns the time to the next arrival: five times the mean in the peak, a twentieth between peaks.
func (m *model) gap() time.Duration {
	d := m.demand
	mean := d.short.Seconds() * (1 - d.longShare + d.longShare*(d.longTimesFrom+d.upTo)/2)
	rate := d.load * float64(d.slots) / mean / 20
	if m.at%d.period < d.peak {
		rate *= 100
	}
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

func (m *model) job() *modelJob {
	d, r := m.demand, m.random
	j := &modelJob{arrived: m.now(), long: r.Float64() < d.longShare, ran: time.Duration(float64(d.short) * (0.5 + r.ExpFloat64()/2))}
	due, kind := d.deadline, "quote"
	if j.long {
		j.ran = time.Duration(float64(d.short) * (d.longTimesFrom + r.Float64()*(d.upTo-d.longTimesFrom)))
		due = d.longDue
	}
	if !d.mixed && j.long == (r.Float64() < 0.95) {
		kind = "report"
	}
	team := 0
	if r.Float64() >= d.firstTeam {
		team = 1 + r.IntN(d.teams-1)
	}
	j.ticket = Ticket{
		Service: "s", Team: fmt.Sprint(team), Kind: kind, Deadline: j.arrived.Add(due), Urgent: !j.long && r.Float64() < d.urgentShare,
		Guess: time.Duration(float64(j.ran) * math.Exp(r.NormFloat64()*1.5)),
	}
	m.offered[index(j.long)]++
	m.teamOffered[team]++
	return j
}

func index(long bool) int { return map[bool]int{true: 1}[long] }

func (m *model) started(j *modelJob) {
	waited := m.now().Sub(j.arrived)
	switch {
	case j.ticket.Urgent:
		m.urgent = append(m.urgent, waited)
	case !j.long:
		m.short = append(m.short, waited)
	}
	heap.Push(&m.events, modelEvent{at: m.at + j.ran, job: j})
}

func (m *model) finished(j *modelJob) {
	if m.now().After(j.ticket.Deadline) {
		m.late[index(j.long)]++
		return
	}
	m.met[index(j.long)]++
	var team int
	_, _ = fmt.Sscan(j.ticket.Team, &team)
	m.teamMet[team]++
}

func (m *model) gaveUp(j *modelJob) {
	m.refused[index(j.long)]++
	if m.now().Sub(j.arrived) > j.ticket.Deadline.Sub(j.arrived)/2 {
		m.heldBack++
	}
}

func (m *model) report(f func(float64, string)) {
	quantiles := func(name string, d []time.Duration) {
		slices.Sort(d)
		for _, q := range []struct {
			part float64
			name string
		}{{0.5, "p50"}, {0.99, "p99"}, {0.999, "p999"}} {
			if len(d) > 0 {
				f(float64(d[int(q.part*float64(len(d)-1))].Milliseconds()), name+"-"+q.name+"-ms")
			}
		}
	}
	quantiles("short", m.short)
	quantiles("urgent", m.urgent)
	f(float64(slices.Max(m.urgent).Milliseconds()), "urgent-max-ms")
	part := func(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
	f(part(m.met[0], m.offered[0]), "short-met-%")
	f(part(m.met[1], m.offered[1]), "long-met-%")
	f(part(m.refused[0], m.offered[0]), "short-refused-%")
	f(part(m.refused[1], m.offered[1]), "long-refused-%")
	f(part(m.heldBack, m.offered[0]+m.offered[1]), "held-back-%")
	f(part(m.late[0]+m.late[1], m.offered[0]+m.offered[1]), "late-%")
	f(part(m.teamMet[0], m.teamOffered[0]), "big-team-met-%")
	f(part(m.teamMet[1], m.teamOffered[1]), "small-team-met-%")
}

// fifoPolicy is one queue in the order of arrival that drops what is past its deadline when its turn comes.
type fifoPolicy struct {
	slots   int
	waiting []*modelJob
}

func (p *fifoPolicy) arrive(m *model, j *modelJob) {
	if len(p.waiting) >= defaultMaxWaiting {
		m.gaveUp(j)
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
			m.gaveUp(j)
			continue
		}
		p.slots--
		m.started(j)
	}
}

func (p *fifoPolicy) end(m *model, _ *modelJob) {
	p.slots++
	p.serve(m)
}

func (p *fifoPolicy) tick(*model) {}

// queuePolicy drives a Queue by the model's clock.
type queuePolicy struct {
	queue   *Queue
	waiting [classes][]*modelJob
}

func newQueuePolicy(slots, longPercent int) *queuePolicy {
	q := NewQueues(Options{Capacity: &modelCapacity{size: slots}, LongPercent: longPercent})
	q.watching = true // the model's ticks stand for the timer
	return &queuePolicy{queue: q.queue("s")}
}

func (p *queuePolicy) arrive(m *model, j *modelJob) {
	w, v := p.queue.enter(j.ticket, m.now())
	if w == nil {
		p.settle(m, j, v)
		return
	}
	j.waiter = w
	p.waiting[w.class] = append(p.waiting[w.class], j)
	p.collect(m)
}

func (p *queuePolicy) settle(m *model, j *modelJob, v verdict) {
	if v.err != nil {
		m.gaveUp(j)
		return
	}
	j.pass = v.pass
	m.started(j)
}

// collect takes the verdicts of jobs whose wait ended.
func (p *queuePolicy) collect(m *model) {
	for c := range p.waiting {
		excess := len(p.waiting[c]) - p.queue.line.lanes[c].size
		if excess == 0 {
			continue
		}
		p.waiting[c] = slices.DeleteFunc(p.waiting[c], func(j *modelJob) bool {
			if excess == 0 {
				return false
			}
			select {
			case v := <-j.waiter.outcome:
				excess--
				p.settle(m, j, v)
				return true
			default:
				return false
			}
		})
	}
}

func (p *queuePolicy) end(m *model, j *modelJob) {
	j.pass.slot.Release()
	p.queue.done(j.pass, j.ran, basilapi.OutcomeRan)
	p.queue.serve(m.now())
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
		name: "hinokuni quotes", slots: 14, short: 50 * time.Millisecond, deadline: 2 * time.Second, longDue: 30 * time.Second,
		longShare: 0.04, load: 0.3, peak: 4 * time.Second, period: 20 * time.Second, teams: 5, firstTeam: 0.6, urgentShare: 0.03, longTimesFrom: 20, upTo: 50,
	},
	{
		name: "association receipts", slots: 10, short: 20 * time.Millisecond, deadline: 3 * time.Second, longDue: 60 * time.Second,
		longShare: 0.02, load: 0.3, peak: 6 * time.Second, period: 30 * time.Second, teams: 5, firstTeam: 0.6, urgentShare: 0.03, longTimesFrom: 20, upTo: 50,
	},
}

func BenchmarkOrderUnderPeaks(b *testing.B) {
	for _, d := range modelDemands {
		for _, mixed := range []bool{false, true} {
			d.mixed = mixed
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
