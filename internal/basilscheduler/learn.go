package basilscheduler

import "time"

// learnWeight is the weight of a new run time in the learned ratio.
const learnWeight = 0.05

type runTimeKey struct{ queue string }

// runTimeRatio is the learned ratio of actual to estimated run times in a queue.
type runTimeRatio struct{ ratio float64 }

// expectedRunTime returns the expected run time of a task of the step.
func (p *Pool) expectedRunTime(s *step) time.Duration {
	l := p.runTimes[runTimeKey{s.occurrence.job.record.Job.QueueKey()}]
	if l == nil {
		return s.spec.Estimate
	}
	return time.Duration(float64(s.spec.Estimate) * l.ratio)
}

// learnRunTime updates the ratio of the queue with the run time of a finished task.
func (p *Pool) learnRunTime(s *step, took time.Duration) {
	if s.spec.Estimate <= 0 || s.spec.LongRunning {
		return
	}
	key := runTimeKey{s.occurrence.job.record.Job.QueueKey()}
	l := p.runTimes[key]
	if l == nil {
		l = &runTimeRatio{ratio: 1}
		p.runTimes[key] = l
	}
	ratio := min(float64(took)/float64(s.spec.Estimate), 4)
	l.ratio += learnWeight * (ratio - l.ratio)
}
