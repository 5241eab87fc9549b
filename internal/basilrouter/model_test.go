package basilrouter

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The model is an event-time queueing model of entry hosts that choose runners.

const (
	modelSlots    = 8
	modelService  = 40 * time.Millisecond // mean run time
	modelDeadline = time.Second
	modelPoll     = 2 * time.Millisecond // of a queue in which nothing can be sent
	modelLocal    = 200 * time.Microsecond
	modelRemote   = time.Millisecond
	modelAttempts = 3
	modelFailure  = time.Millisecond // how fast a bad runner fails
)

type modelEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type modelRunner struct {
	backend Backend
	busy    int
	slow    float64       // run times are multiplied by it
	failing bool          // fails everything at once
	rotten  float64       // share of jobs that fail after their whole run time
	leaving time.Duration // from then on it refuses everything; 0 is never
	dead    time.Duration // from then on connects fail; 0 is never
}

// modelChooser picks a runner for an entry host.
type modelChooser interface {
	pick(now time.Time, tried []string) (host string, done func(Report, time.Time), ok bool)
	update(b []Backend)
	mayRetry(e Ending) bool
}

type model struct {
	random   *rand.Rand
	now      time.Duration
	events   modelQueue
	sequence int
	runners  map[string]*modelRunner
	backends []Backend
	entries  []modelChooser
	waiting  []*modelLine
	centres  []string                                  // of each entry host
	load     func(entry int, at time.Duration) float64 // jobs a second
	until    time.Duration
	badJobs  float64 // share of jobs that fail wherever they run
	refusals int     // refusals that a job may meet before it fails

	latencies                         []time.Duration
	jobs, good, attempts, remote, bad int
}

func newModel(seed uint64, runners, centres int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), runners: map[string]*modelRunner{}, until: 20 * time.Second, refusals: 8}
	for i := range runners {
		b := Backend{Host: fmt.Sprintf("r%02d", i), DataCentre: centre(i % centres), Epoch: 1, Slots: modelSlots}
		m.backends = append(m.backends, b)
		m.runners[b.Host] = &modelRunner{backend: b, slow: 1}
	}
	return m
}

func centre(n int) string { return string(rune('A' + n)) }

func (m *model) wall() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{m.now + d, m.sequence, do})
}

func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

func (m *model) run() {
	for i, e := range m.entries {
		m.waiting = append(m.waiting, &modelLine{})
		e.update(m.backends)
		m.after(0, func() { m.arrive(i) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// delist tells the entry hosts that a runner is gone, as the lagging list does.
func (m *model) delist(at time.Duration, host string) {
	m.after(at, func() {
		left := slices.DeleteFunc(slices.Clone(m.backends), func(b Backend) bool { return b.Host == host })
		for _, e := range m.entries {
			e.update(left)
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
	j := &modelJob{model: m, entry: entry, born: m.now, bad: m.random.Float64() < m.badJobs}
	j.try()
}

type modelJob struct {
	model *model
	entry int
	born  time.Duration
	bad   bool
	tried []string
	runs  int // attempts that were not refused
}

func (j *modelJob) try() {
	w := j.model.waiting[j.entry]
	w.jobs = append(w.jobs, j)
	j.model.pump(w)
}

// modelLine is the queue of an entry host.
type modelLine struct {
	jobs   []*modelJob
	polled bool
}

// pump sends from the head of a queue until nothing more can be sent.
func (m *model) pump(w *modelLine) {
	for len(w.jobs) > 0 {
		j := w.jobs[0]
		if m.now-j.born <= modelDeadline && !j.send() {
			m.poll(w)
			return
		}
		w.jobs = w.jobs[1:]
	}
}

func (m *model) poll(w *modelLine) {
	if w.polled {
		return
	}
	w.polled = true
	m.after(modelPoll, func() {
		w.polled = false
		m.pump(w)
	})
}

func (j *modelJob) send() bool {
	m := j.model
	host, done, ok := m.entries[j.entry].pick(m.wall(), j.tried)
	if !ok && len(j.tried) > 0 {
		host, done, ok = m.entries[j.entry].pick(m.wall(), nil)
	}
	if !ok {
		return false
	}
	m.attempts++
	j.tried = append(j.tried, host)
	r := m.runners[host]
	trip := modelLocal
	if r.backend.DataCentre != m.centres[j.entry] {
		trip = modelRemote
		m.remote++
	}
	sent := m.now
	m.after(trip/2, func() {
		r.serve(m, j.bad, func(p Report) {
			m.after(trip/2, func() {
				p.Latency = m.now - sent
				done(p, m.wall())
				j.settle(p)
				m.pump(m.waiting[j.entry])
			})
		})
	})
	return true
}

func (r *modelRunner) serve(m *model, bad bool, answer func(Report)) {
	switch {
	case r.dead > 0 && m.now >= r.dead:
		answer(Report{Ending: EndingUnreachable})
		return
	case r.leaving > 0 && m.now >= r.leaving:
		answer(Report{Ending: EndingRefused, Leaving: true})
		return
	case r.failing:
		m.after(modelFailure, func() { answer(Report{Ending: EndingFailed}) })
		return
	case r.busy >= modelSlots:
		answer(Report{Ending: EndingRefused})
		return
	}
	r.busy++
	e := EndingAnswered
	if bad || m.random.Float64() < r.rotten {
		e = EndingFailed
	}
	m.after(time.Duration(r.slow*float64(m.exponential(modelService))), func() {
		r.busy--
		answer(Report{Ending: e})
	})
}

func (j *modelJob) settle(p Report) {
	m := j.model
	if p.Ending == EndingAnswered {
		if m.now-j.born <= modelDeadline {
			m.good++
			m.latencies = append(m.latencies, m.now-j.born)
		}
		return
	}
	m.bad++
	if p.Ending != EndingRefused {
		j.runs++
	}
	if j.runs >= modelAttempts || len(j.tried)-j.runs > m.refusals || !m.entries[j.entry].mayRetry(p.Ending) {
		return
	}
	m.after(time.Duration(m.random.Float64()*float64(min(retryBase<<(len(j.tried)-1), retryMax))), j.try)
}

func (m *model) quantile(q float64) float64 {
	slices.Sort(m.latencies)
	if len(m.latencies) == 0 {
		return math.NaN()
	}
	return float64(m.latencies[int(q*float64(len(m.latencies)-1))]) / float64(time.Millisecond)
}

// report gives the figures of the run.
func (m *model) report(metric func(float64, string)) {
	jobs := float64(m.jobs)
	metric(m.quantile(0.5), "p50-ms")
	metric(m.quantile(0.99), "p99-ms")
	metric(100*(jobs-float64(m.good))/jobs, "failed-%")
	metric(float64(m.good)/m.until.Seconds(), "good/s")
	metric(float64(m.bad)/jobs, "wasted/job")
	metric(100*float64(m.remote)/max(float64(m.attempts), 1), "remote-%")
}

// routerChooser is the router under test.
type routerChooser struct {
	router *Router
	free   []Ending // after which a retry is free of the budget
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
	return slices.Contains(c.free, e) || c.router.spendRetry("s")
}

// plainChooser is a baseline: round robin or random within the slots, without memory of failures.
type plainChooser struct {
	random   *rand.Rand // nil is round robin
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
