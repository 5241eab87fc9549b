package basilscheduler

import "time"

// learnWeight is the share of a new run time in the learned ratio.
const learnWeight = 0.05

type timeKey struct{ queue string }

// learned is how actual run times relate to declared ones.
type learned struct{ ratio float64 }

// length returns how long a task of the step is expected to run.
func (p *Pool) length(s *step) time.Duration {
	l := p.times[timeKey{s.occurrence.job.record.Job.Queue}]
	if l == nil {
		return s.spec.Estimate
	}
	return time.Duration(float64(s.spec.Estimate) * l.ratio)
}

func (p *Pool) learn(s *step, took time.Duration) {
	if s.spec.Estimate <= 0 || s.spec.LongRunning {
		return
	}
	key := timeKey{s.occurrence.job.record.Job.Queue}
	l := p.times[key]
	if l == nil {
		l = &learned{ratio: 1}
		p.times[key] = l
	}
	ratio := min(float64(took)/float64(s.spec.Estimate), 4)
	l.ratio += learnWeight * (ratio - l.ratio)
}
