package basiljob

import (
	"time"

	"github.com/oklog/ulid/v2"
)

// processStart is what ends of jobs are measured from, by the monotonic clock.
var processStart = time.Now()

// end gives the job its final answer, hands it to the copier and wakes those who wait.
func (g *Registry) end(j *shortJob, r RunResult) {
	j.outcome, j.body, j.problem = r.Outcome, r.Answer, r.Problem
	j.ended = time.Since(processStart)
	id := g.id(j.serial)
	waiting := j.running
	j.running = nil
	answer, err := j.answer(id), j.err(id)
	g.jobs[j.serial] = j
	g.final.push(j)
	if j.copied {
		for _, q := range g.copying {
			q.put(answer)
		}
	}
	g.forget()
	if waiting == nil {
		return
	}
	g.inFlight--
	waiting.answer, waiting.err = answer, err
	close(waiting.done)
	if g.inFlight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// forget drops what is over the limits, oldest first.
func (g *Registry) forget() {
	now := time.Since(processStart)
	for g.final.first != nil && g.isOver(g.final.first, now) {
		j := g.final.pop()
		delete(g.jobs, j.serial)
		g.raiseFloor(j.serial)
	}
	for g.final.firstBody != nil && g.final.bodyBytes > g.options.MaxAnswerBytes {
		g.final.dropBody()
	}
}

func (g *Registry) isOver(j *shortJob, now time.Duration) bool {
	return len(g.jobs) > g.options.MaxJobs || now-j.ended > g.options.Retention
}

func (g *Registry) raiseFloor(serial ulid.ULID) {
	if serial.Compare(g.floor) > 0 {
		g.floor = serial
	}
}
