package basilrouter

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The model is a discrete-event simulation of entry hosts that queue jobs and distribute them over runners.

const (
	modelSlots        = 8
	modelRunTime      = 40 * time.Millisecond // mean run time
	modelDeadline     = time.Second
	modelPollInterval = 2 * time.Millisecond   // retry interval of a queue whose head can't be sent
	modelLocalRTT     = 200 * time.Microsecond // round trip within a data centre
	modelRemoteRTT    = time.Millisecond       // round trip between data centres
	modelAttempts     = 3
	modelFailureTime  = time.Millisecond // response time of a runner that fails immediately
)

type modelEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type modelEventQueue []modelEvent

func (q modelEventQueue) Len() int { return len(q) }
func (q modelEventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q modelEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelEventQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelEventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type modelRunner struct {
	backend          Backend
	busy             int
	slowdown         float64       // factor for run times
	failsImmediately bool          // fails every job immediately
	failureShare     float64       // share of jobs that fail after their full run time
	leavingFrom      time.Duration // time from which it refuses every job; 0 means never
	deadFrom         time.Duration // time from which connection attempts fail; 0 means never
}

// modelChooser is the load balancing policy of one entry host.
type modelChooser interface {
	pick(now time.Time, tried []string) (host string, done func(Report, time.Time), ok bool)
	update(b []Backend)
	mayRetry(e Ending) bool
}

type model struct {
	random   *rand.Rand
	now      time.Duration
	events   modelEventQueue
	sequence int
	runners  map[string]*modelRunner
	backends []Backend
	entries  []modelChooser
	queues   []*modelEntryQueue
	centres  []string                                  // data centre of each entry host
	load     func(entry int, at time.Duration) float64 // jobs per second
	until    time.Duration
	badJobs  float64 // share of jobs that fail on any runner
	refusals int     // refusals after which a job fails

	latencies                                         []time.Duration
	jobs, succeeded, attempts, remote, failedAttempts int
}

func newModel(seed uint64, runners, centres int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), runners: map[string]*modelRunner{}, until: 20 * time.Second, refusals: 8}
	for i := range runners {
		b := Backend{Host: fmt.Sprintf("r%02d", i), DataCentre: centre(i % centres), Epoch: 1, Slots: modelSlots}
		m.backends = append(m.backends, b)
		m.runners[b.Host] = &modelRunner{backend: b, slowdown: 1}
	}
	return m
}

func centre(n int) string { return string(rune('A' + n)) }

func (m *model) wallTime() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{m.now + d, m.sequence, do})
}

func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

func (m *model) run() {
	for i, e := range m.entries {
		m.queues = append(m.queues, &modelEntryQueue{})
		e.update(m.backends)
		m.after(0, func() { m.arrive(i) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// delist removes a runner from the lists of all entry hosts.
func (m *model) delist(at time.Duration, host string) {
	m.after(at, func() {
		remaining := slices.DeleteFunc(slices.Clone(m.backends), func(b Backend) bool { return b.Host == host })
		for _, e := range m.entries {
			e.update(remaining)
		}
	})
}

func (m *model) arrive(entry int) {
	if m.now > m.until {
		return
	}
	rate := m.load(entry, m.now)
	m.after(m.exponential(time.Duration(float64(time.Second)/max(rate, 0.01))), func() { m.arrive(entry) })
	m.jobs++
	j := &modelJob{model: m, entry: entry, arrivedAt: m.now, bad: m.random.Float64() < m.badJobs}
	j.enqueue()
}

type modelJob struct {
	model     *model
	entry     int
	arrivedAt time.Duration
	bad       bool
	tried     []string
	runs      int // attempts that weren't refused
}

func (j *modelJob) enqueue() {
	q := j.model.queues[j.entry]
	q.jobs = append(q.jobs, j)
	j.model.sendQueued(q)
}

// modelEntryQueue is the job queue of an entry host.
type modelEntryQueue struct {
	jobs          []*modelJob
	pollScheduled bool
}

// sendQueued sends jobs from the head of a queue until one can't be sent; it drops jobs past their deadline.
func (m *model) sendQueued(q *modelEntryQueue) {
	for len(q.jobs) > 0 {
		j := q.jobs[0]
		if m.now-j.arrivedAt <= modelDeadline && !j.send() {
			m.schedulePoll(q)
			return
		}
		q.jobs = q.jobs[1:]
	}
}

func (m *model) schedulePoll(q *modelEntryQueue) {
	if q.pollScheduled {
		return
	}
	q.pollScheduled = true
	m.after(modelPollInterval, func() {
		q.pollScheduled = false
		m.sendQueued(q)
	})
}

func (j *modelJob) send() bool {
	m := j.model
	host, done, ok := m.entries[j.entry].pick(m.wallTime(), j.tried)
	if !ok && len(j.tried) > 0 {
		host, done, ok = m.entries[j.entry].pick(m.wallTime(), nil)
	}
	if !ok {
		return false
	}
	m.attempts++
	j.tried = append(j.tried, host)
	r := m.runners[host]
	roundTrip := modelLocalRTT
	if r.backend.DataCentre != m.centres[j.entry] {
		roundTrip = modelRemoteRTT
		m.remote++
	}
	sent := m.now
	m.after(roundTrip/2, func() {
		r.serve(m, j.bad, func(p Report) {
			m.after(roundTrip/2, func() {
				p.Latency = m.now - sent
				done(p, m.wallTime())
				j.finish(p)
				m.sendQueued(m.queues[j.entry])
			})
		})
	})
	return true
}

func (r *modelRunner) serve(m *model, bad bool, answer func(Report)) {
	switch {
	case r.deadFrom > 0 && m.now >= r.deadFrom:
		answer(Report{Ending: EndingUnreachable})
		return
	case r.leavingFrom > 0 && m.now >= r.leavingFrom:
		answer(Report{Ending: EndingRefused, Leaving: true})
		return
	case r.failsImmediately:
		m.after(modelFailureTime, func() { answer(Report{Ending: EndingFailed}) })
		return
	case r.busy >= modelSlots:
		answer(Report{Ending: EndingRefused})
		return
	}
	r.busy++
	e := EndingAnswered
	if bad || m.random.Float64() < r.failureShare {
		e = EndingFailed
	}
	m.after(time.Duration(r.slowdown*float64(m.exponential(modelRunTime))), func() {
		r.busy--
		answer(Report{Ending: e})
	})
}

func (j *modelJob) finish(p Report) {
	m := j.model
	if p.Ending == EndingAnswered {
		if m.now-j.arrivedAt <= modelDeadline {
			m.succeeded++
			m.latencies = append(m.latencies, m.now-j.arrivedAt)
		}
		return
	}
	m.failedAttempts++
	if p.Ending != EndingRefused {
		j.runs++
	}
	if j.runs >= modelAttempts || len(j.tried)-j.runs > m.refusals || !m.entries[j.entry].mayRetry(p.Ending) {
		return
	}
	m.after(time.Duration(m.random.Float64()*float64(min(retryBaseDelay<<(len(j.tried)-1), retryMaxDelay))), j.enqueue)
}

func (m *model) quantile(q float64) float64 {
	slices.Sort(m.latencies)
	if len(m.latencies) == 0 {
		return math.NaN()
	}
	return float64(m.latencies[int(q*float64(len(m.latencies)-1))]) / float64(time.Millisecond)
}

// report reports the metrics of the simulation.
func (m *model) report(metric func(float64, string)) {
	jobs := float64(m.jobs)
	metric(m.quantile(0.5), "p50-ms")
	metric(m.quantile(0.99), "p99-ms")
	metric(100*(jobs-float64(m.succeeded))/jobs, "failed-%")
	metric(float64(m.succeeded)/m.until.Seconds(), "good/s")
	metric(float64(m.failedAttempts)/jobs, "wasted/job")
	metric(100*float64(m.remote)/max(float64(m.attempts), 1), "remote-%")
}

// routerChooser selects runners by the Router under test.
type routerChooser struct {
	router      *Router
	freeRetries []Ending // endings whose retries aren't charged to the budget
}

func (c *routerChooser) update(b []Backend) { c.router.Update("s", b) }

func (c *routerChooser) pick(now time.Time, tried []string) (string, func(Report, time.Time), bool) {
	l, err := c.router.pick(&Lease{}, "s", now, true, tried)
	if err != nil {
		return "", nil, false
	}
	return l.Backend().Host, l.Done, true
}

func (c *routerChooser) mayRetry(e Ending) bool {
	return slices.Contains(c.freeRetries, e) || c.router.spendRetry("s")
}

// plainChooser is a baseline: round robin or random selection within the slots that ignores failures.
type plainChooser struct {
	random   *rand.Rand // nil selects round robin
	backends []Backend
	next     int
	inFlight map[string]int
}

func (c *plainChooser) update(b []Backend)   { c.backends = b }
func (c *plainChooser) mayRetry(Ending) bool { return true }

func (c *plainChooser) pick(_ time.Time, tried []string) (string, func(Report, time.Time), bool) {
	if c.random != nil {
		c.next = c.random.IntN(len(c.backends))
	}
	for range c.backends {
		c.next++
		h := c.backends[c.next%len(c.backends)].Host
		if slices.Contains(tried, h) || c.inFlight[h] >= modelSlots {
			continue
		}
		c.inFlight[h]++
		return h, func(Report, time.Time) { c.inFlight[h]-- }, true
	}
	return "", nil, false
}
