package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	playNotice  = 5500 * time.Millisecond // for which a task is not at work before it counts as away, by the platform's rules
	playStartup = 500 * time.Millisecond  // of a long-running task, from its start until it is at work
)

// atWork reports whether a run of the task is at work.
func (p *lostPlay) atWork(id basilwork.TaskID) bool {
	found := false
	p.runs(func(_ *playServer, r *playRun) {
		found = found || r.task == id && p.now.Sub(r.began) > playStartup
	})
	return found
}

// judgeStop judges AVAIL when a stop that wasn't held up ends a run.
func (p *lostPlay) judgeStop(r *playRun) {
	s := p.stepOf(r.task)
	if !p.judgesStops || p.late || !s.HasMaxUnavailable || p.now.Sub(r.began) <= playStartup {
		return
	}
	away := 0
	for _, id := range p.tasksOf(r.task.Job, r.task.Step) {
		if t := p.task(id); id != r.task && !p.atWork(id) && (t.stopped || p.now.Sub(t.lastEnded) >= playNotice) {
			away++
		}
	}
	if away >= s.MaxUnavailable {
		p.fail("AVAIL: %s is stopped, and %d others are away", r.task.String(), away)
	}
}

// newAnswersPlay returns a play of a long-running job on hosts of which half crash, and which then carry out seven of ten orders late and without
// an answer.
func newAnswersPlay(seed uint64) *lostPlay {
	p := newLostPlay(20, seed)
	p.judgesStops = true
	for n := range 2 {
		step := longStep(24, 2000)
		step.AntiAffinity, step.MaxUnavailable = 2, 4
		p.after(time.Second, func() {
			p.accept(basilwork.Job{ID: fmt.Sprint("job", n), Queue: "quote", Steps: []basilwork.Step{step}})
		})
	}
	p.after(14*time.Second, func() {
		for n := range len(p.hosts) / 2 {
			h := p.hosts[2*n]
			h.life.die()
			h.rebornIn(3 * time.Second)
		}
	})
	p.after(16*time.Second, func() {
		for _, h := range p.hosts {
			h.lateUntil, h.lateOrders = p.now.Add(9*time.Second), []string{"start", "stop", "hold"}
		}
	})
	return p
}

// TestUnansweredStartsStopNothingThatIsNeeded checks that, while most orders are carried out late, no long-running task at work is stopped for
// a start without an answer while its step can spare none.
func TestUnansweredStartsStopNothingThatIsNeeded(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		p := newAnswersPlay(seed)
		p.run(40 * time.Second)
		must.Eq(t, "", p.failure, must.Sprintf("seed %d\n%s", seed, p.log()))
	}
}
