package basilnode_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// cancelStep is one step of a play: a request of a caller for a job, or a failure.
type cancelStep struct {
	at   time.Duration
	kind string
	job  int
	host int
	last time.Duration // of a failure
}

func (s cancelStep) String() string {
	if slices.Contains(callSteps, s.kind) {
		return fmt.Sprintf("{at: %d * ms, kind: %q, job: %d, host: %d}", s.at.Milliseconds(), s.kind, s.job, s.host)
	}
	return fmt.Sprintf("{at: %d * ms, kind: %q, host: %d, last: %d * ms}", s.at.Milliseconds(), s.kind, s.host, s.last.Milliseconds())
}

// callSteps are the requests of callers.
var callSteps = []string{"post", "delete", "get"}

// quietSteps are those beside which each request is answered with success.
var quietSteps = append([]string{routeStep, "join", "behind"}, callSteps...)

// routeStep routes the queue to the other service, or back.
const routeStep = "route"

// Failures of the plays.
var (
	calmSteps  = []string{"kill owner", "stop owner", "kill", "stop", "join", "kill all"} // tasks of cancelled jobs must end beside these as well
	harshSteps = []string{
		"answers lost", "some answers lost", "writes late", "store silent", "store busy", "store slow", "store crowded", "watch silent", "history dropped",
		"turned away", "owner turned away", "owner busy", "cut", "owner cut", "calls late", "owner's calls late", "starts slow", "starts late", "some starts late", "late after rebirth", "backend crash", "backend reborn", "stops lost",
	}
)

// playJob is a job of a play.
type playJob struct{ id, body string }

// shapes are the jobs that plays submit, by the first digit of their ids.
var shapes = []struct {
	digit string
	takes time.Duration
	tasks int
	body  string
}{
	{"0", 700 * time.Millisecond, 5, twoSteps},
	{"1", 2 * time.Second, 5, `{"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":64,"estimate_ms":2000,"checkpointing":true},{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":2000,"after":[0]}]}`},
	{"2", 900 * time.Millisecond, 6, `{"spec":"x","steps":[{"count":6,"cpu":9000,"mem_mb":16,"estimate_ms":900,"checkpointing":true}]}`},
	{"3", 6 * time.Second, 60, `{"spec":"x","steps":[{"count":60,"cpu":100,"mem_mb":16,"estimate_ms":6000}]}`},
	{"f", -1, 3, longRunningJob},
}

func shapedWork(task string, _ int) (time.Duration, bool) {
	for _, s := range shapes {
		if strings.HasPrefix(task, s.digit) {
			return s.takes, false
		}
	}
	return 0, false
}

// cancelPlan is a random series of requests and failures.
type cancelPlan struct {
	shapes []int // of its jobs
	steps  []cancelStep
	early  bool // DELETEs are also sent before an answer to a POST
}

// cancelPlay carries out a plan and records what callers saw.
type cancelPlay struct {
	*cluster
	jobs     []playJob
	early    bool
	ignores  bool // DELETEs are answered without reaching an entry host, to see that the checks find it
	version  int
	history  callHistory
	stopping map[*entryHost]bool // that are shut down gracefully
	stopped  []*entryHost        // those of them that have handed over all they had
	calls    sync.WaitGroup
}

// playCancels carries out a plan and returns the violations.
func playCancels(t *testing.T, plan cancelPlan, ignores bool) []string {
	var wrong []string
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 4, shapedWork)
		defer c.close()
		p := &cancelPlay{cluster: c, early: plan.early, ignores: ignores, version: 1, stopping: make(map[*entryHost]bool), history: callHistory{tasks: make(map[string]int), longRunning: make(map[string]bool)}}
		if slices.ContainsFunc(plan.steps, func(s cancelStep) bool { return s.kind == routeStep }) {
			c.site.AddPool("press", 3, 16000, 65536, false)
			p.route("stretch")
			time.Sleep(2 * time.Second)
		}
		for n, shape := range plan.shapes {
			s := shapes[shape]
			j := playJob{id: fmt.Sprintf("%s%015x", s.digit, n+1), body: s.body}
			p.jobs = append(p.jobs, j)
			p.history.tasks[j.id], p.history.longRunning[j.id] = s.tasks, s.takes < 0
		}
		p.history.calm = !slices.ContainsFunc(plan.steps, func(s cancelStep) bool { return !slices.Contains(quietSteps, s.kind) })
		p.run(plan.steps)
		wrong = append(p.history.violations(), c.site.Broken()...)
	})
	return wrong
}

const (
	playTick    = 50 * time.Millisecond
	settleTime  = 12 * time.Second // longer than the longest failure, and the lease of what runs
	maxLateBy   = 4 * time.Second
	settleLimit = 40 // seconds after that until all jobs have their outcomes
)

func (p *cancelPlay) run(steps []cancelStep) {
	slices.SortStableFunc(steps, func(a, b cancelStep) int { return cmp.Compare(a.at, b.at) })
	began := time.Now()
	for len(steps) > 0 {
		p.tick()
		if next := steps[0]; time.Since(began) >= next.at {
			p.do(next)
			steps = steps[1:]
			continue
		}
		time.Sleep(min(playTick, steps[0].at-time.Since(began)))
	}
	for range settleTime / playTick {
		p.tick()
		time.Sleep(playTick)
	}
	p.calls.Wait()
	for range settleLimit {
		p.tick()
		p.history.lastRound = time.Now()
		for name, h := range p.hosts {
			for _, j := range p.jobs {
				p.call(h, name, http.MethodGet, j)
			}
		}
		if !p.history.pending() {
			break
		}
		time.Sleep(time.Second)
	}
	p.history.runs, p.history.end = p.site.Runs(), time.Now()
}

// tick starts the entry hosts that are due, and ends those that have handed over.
func (p *cancelPlay) tick() {
	p.mutex.Lock()
	stopped := p.stopped
	p.stopped = nil
	p.mutex.Unlock()
	for _, h := range stopped {
		if p.hosts[h.name] == h {
			p.kill(h.name)
		}
	}
	p.startDue()
}

// call makes a request and records it with its answer.
func (p *cancelPlay) call(h *entryHost, name, method string, j playJob) callRecord {
	r := callRecord{method: method, id: j.id, host: name, sent: time.Now()}
	body := ""
	switch method {
	case http.MethodPost:
		body = j.body
	case http.MethodDelete:
		p.site.CancelSent(j.id)
	}
	if p.ignores && method == http.MethodDelete {
		r.status = http.StatusOK
	} else {
		r.status, body = p.callHost(h, method, quotePrefix+j.id, body)
	}
	select {
	case <-h.done:
		r.status = 0 // the process has ended, and its connections with it
	default:
	}
	r.answered = time.Now()
	if method == http.MethodGet && r.status == http.StatusOK {
		r.state = strings.Trim(strings.TrimPrefix(body, `{"state":`), `"}`)
		p.site.Shown(j.id, r.state)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.history.calls = append(p.history.calls, r)
	if r.acknowledgesCancel() {
		p.site.Cancelled(j.id)
	}
	return r
}

// accepted reports whether a submission of the job was accepted.
func (p *cancelPlay) accepted(j playJob) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.history.calls, func(c callRecord) bool { return c.id == j.id && c.accepts() })
}

// pick returns the name of a running entry host, or an empty string.
func (p *cancelPlay) pick(n int) string {
	var names []string
	for name := range p.hosts {
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return names[n%len(names)]
}

func (p *cancelPlay) disrupt(d time.Duration) {
	p.history.disruptions = append(p.history.disruptions, span{time.Now(), time.Now().Add(d)})
}

func (p *cancelPlay) do(s cancelStep) {
	name := p.pick(s.host)
	if name == "" {
		return
	}
	h := p.hosts[name]
	switch s.kind {
	case "post":
		j := p.jobs[s.job]
		p.site.Submitted(j.id, j.body, maxAttempts)
		p.calls.Go(func() { p.call(h, name, http.MethodPost, j) })
	case "get":
		p.calls.Go(func() { p.call(h, name, http.MethodGet, p.jobs[s.job]) })
	case "delete":
		if j := p.jobs[s.job]; p.early || p.accepted(j) {
			p.calls.Go(func() { p.call(h, name, http.MethodDelete, j) })
		}
	case "kill owner":
		p.killFor(p.owner("stretch"), s.last)
	case "kill":
		p.killFor(name, s.last)
	case "kill all":
		for n := range p.hosts {
			p.killFor(n, s.last)
		}
	case "stop owner":
		p.stopFor(p.owner("stretch"), s.last)
	case "stop":
		p.stopFor(name, s.last)
	case "join":
		p.start(fmt.Sprintf("entry-%d", p.starts+1))
	case "behind":
		p.setBehind(name, true)
		time.AfterFunc(s.last, func() { p.setBehind(name, false) })
	case routeStep:
		p.route([]string{"press", "stretch"}[s.host%2])
	default:
		p.disrupt(s.last)
		p.harm(s, h)
	}
}

func (p *cancelPlay) route(service string) {
	p.version++
	p.site.Configure(fmt.Sprintf(routed, p.version, service))
}

// killFor kills an entry host, which makes no more calls, and starts it again after a while.
func (p *cancelPlay) killFor(name string, d time.Duration) {
	if h := p.hosts[name]; h != nil {
		h.link.SetCut(true)
		p.restart(name, d)
	}
}

// stopFor shuts an entry host down gracefully while callers still use it, and starts it again after a while.
func (p *cancelPlay) stopFor(name string, d time.Duration) {
	h := p.hosts[name]
	if h == nil || p.stopping[h] {
		return
	}
	p.stopping[h] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		h.node.Stop(ctx)
		p.startLater(name, d)
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.stopped = append(p.stopped, h)
	}()
}
