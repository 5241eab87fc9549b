package basiljob

import (
	"time"

	"github.com/oklog/ulid/v2"
)

// processStart is the reference for the end times of jobs, which are measured with the monotonic clock.
var processStart = time.Now()

// finalize sets the final answer of the job, queues it for the copiers and wakes the waiting callers.
func (g *Registry) finalize(j *shortJob, r RunResult) {
	j.outcome, j.body, j.problem = r.Outcome, r.Answer, r.Problem
	j.ended = time.Since(processStart)
	id := g.jobID(j.serial)
	run := j.running
	j.running = nil
	answer, err := j.answerFor(id), j.errorFor(id)
	g.jobs[j.serial] = j
	g.final.push(j)
	if j.copyAnswer {
		for _, q := range g.copyQueues {
			q.enqueue(answer)
		}
	}
	g.evict()
	if run == nil {
		return
	}
	g.inFlight--
	run.answer, run.err = answer, err
	close(run.done)
	if g.inFlight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// evict removes jobs and answer bodies that exceed the limits, oldest first.
func (g *Registry) evict() {
	now := time.Since(processStart)
	for g.final.first != nil && g.exceedsLimits(g.final.first, now) {
		j := g.final.pop()
		delete(g.jobs, j.serial)
		g.raiseFloor(j.serial)
	}
	for g.final.firstBody != nil && g.final.bodyBytes > g.options.MaxAnswerBytes {
		g.final.dropBody()
	}
}

// exceedsLimits reports whether the job, the one that ended first, must be removed.
func (g *Registry) exceedsLimits(j *shortJob, now time.Duration) bool {
	return len(g.jobs) > g.options.MaxJobs || now-j.ended > g.options.Retention
}

func (g *Registry) raiseFloor(serial ulid.ULID) {
	if serial.Compare(g.floor) > 0 {
		g.floor = serial
	}
}
