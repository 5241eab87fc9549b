package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Bounds of the numbers of a job. Callers choose these numbers freely; beyond the bounds they would make sums over all jobs overflow, or
// one decision take time that all jobs of the pool wait for.
const (
	maxTaskResources  = 1 << 24         // of one kind: 16,000 cores or 16 TB. No host has as much, so such a task fits nowhere either way
	maxEstimate       = longRunningStay // a longer run is planned for like a long-running one
	maxJobWork        = 1 << 40         // thousandths of core-seconds, or MB-seconds: 35 years of a core
	maxOpenSpan       = 1000            // occurrences from the first that isn't done to the last that is open; each has a part of the job's row
	maxWaitingTasks   = 2000            // tasks of a job that wait for room, beyond which none of its occurrences are opened
	openRetryInterval = 100 * time.Millisecond
)

// bounded returns the job with the numbers of its steps within their bounds.
func bounded(j basilwork.Job) basilwork.Job {
	cloned := false
	for n := range j.Steps {
		s := &j.Steps[n]
		resources := basilwork.Resources{
			CPU: min(s.Resources.CPU, maxTaskResources), Memory: min(s.Resources.Memory, maxTaskResources), GPU: min(s.Resources.GPU, maxTaskResources),
		}
		if s.Resources == resources && s.Estimate <= maxEstimate && s.AntiAffinity <= s.Count {
			continue
		}
		if !cloned { // the caller may use its own at the same time
			cloned = true
			j.Steps = slices.Clone(j.Steps)
			s = &j.Steps[n]
		}
		s.Resources, s.Estimate, s.AntiAffinity = resources, min(s.Estimate, maxEstimate), min(s.AntiAffinity, s.Count)
	}
	return j
}

// workOf returns the estimated work of the short tasks of a job: what they reserve, times seconds.
func workOf(j *basilwork.Job) basilwork.Resources {
	var cpu, memory, gpu float64
	for n := range j.Steps {
		if s := &j.Steps[n]; !s.LongRunning && !s.Filler {
			seconds := float64(s.Count) * s.Estimate.Seconds()
			cpu += float64(s.Resources.CPU) * seconds
			memory += float64(s.Resources.Memory) * seconds
			gpu += float64(s.Resources.GPU) * seconds
		}
	}
	return basilwork.Resources{CPU: int(min(cpu, maxJobWork)), Memory: int(min(memory, maxJobWork)), GPU: int(min(gpu, maxJobWork))}
}

// mayOpen reports whether one more occurrence of the job may be opened, given the number of its tasks that wait for room.
func (j *job) mayOpen(waiting int) bool {
	return waiting < maxWaitingTasks && j.opened-j.record.LeadingDone < maxOpenSpan
}

// waitingTasks returns the number of tasks of the open occurrences that have no runs.
func (j *job) waitingTasks() int {
	count := 0
	for _, o := range j.occurrences {
		count += o.waitingTasks()
	}
	return count
}

func (o *occurrence) waitingTasks() int {
	count := 0
	for _, s := range o.steps {
		count += s.idle
	}
	return count
}
