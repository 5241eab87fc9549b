package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// A task that crashes its backend servers takes down all that runs beside it, and each restart costs another backend server
// some seconds. Since all runs of a crashed backend server are lost alike, the cause shows only over several crashes: a task that
// had a run on each, mostly the last one that was started. A backend server that crashes again without such a task, or with
// its rack, is the cause itself.
const (
	maxSuspicion   = 4                      // sum of weights at which a task is given up: after two to five crashes, of which one may not count
	maxCrashes     = 5                      // crashes under a task at which it is given up whatever explains them: it may be started twice after three, by the platform's rules
	minCrashes     = 2                      // crashes under a task after which its job may be failed, by the platform's rules
	quarantineTime = 300 * time.Millisecond // how long a suspect must have run before others are started beside it; reports arrive in about it
)

// Weights of a crash for the tasks that had runs on the backend server. A task that had run for a while before each earlier crash isn't
// more suspect because it was started right before this one: one that crashes its backend servers at once does so each time.
const (
	crashWeightPossible = 1 // one of several, or the backend server may have crashed by itself
	crashWeightLikely   = 2 // of the suspects of earlier crashes, the only one that was started last, as before one of these
	crashWeightCertain  = 3 // such a task, if it is the only suspect of earlier crashes and the only one that was started last
)

// suspicionOf returns the sum of the weights of the crashes.
func suspicionOf(crashes []basilwork.Crash) int {
	sum := 0
	for _, c := range crashes {
		if !c.Explained {
			sum += c.Weight
		}
	}
	return sum
}

// proven reports whether at least two backend servers crashed under the task. Where it is not known of each whether a run had
// begun, one crash more is needed: the server may have been silent before. Inferred crashes prove nothing.
func proven(crashes []basilwork.Crash) bool {
	certain, observed := 0, 0
	for _, c := range crashes {
		if !c.Uncertain {
			certain++
		}
		if !inferred(c) {
			observed++
		}
	}
	return certain >= minCrashes || observed > minCrashes
}

// inferred reports whether a new owner counted the crash since the task ran nowhere (see recordPredecessorCrash). The owner before may have
// counted the same one, or the task may not have run on the server.
func inferred(c basilwork.Crash) bool { return c.Uncertain && c.Attempt%attemptsPerEpoch == 0 }

// mayBeGivenUp reports whether the crashes suffice to give up the task.
func (t *task) mayBeGivenUp(crashes []basilwork.Crash) bool {
	count := len(crashes)
	if t.excused {
		count++
	}
	return count >= maxCrashes || suspicionOf(crashes) >= maxSuspicion && proven(crashes)
}

// explainCrashes drops the suspicions against tasks that ran on backend servers which crashed when the given task, which is certain to crash
// any, had just been started.
func (p *Pool) explainCrashes(id basilwork.TaskID) {
	for n := range p.silences {
		crashed := p.silences[n].crashed
		if !slices.ContainsFunc(crashed, func(s suspect) bool { return s.task == id && s.prompt && s.certain }) {
			continue
		}
		for _, s := range crashed {
			if t := p.findTask(s.task); t != nil && !s.prompt && t.step.progress.ExplainCrash(s.task.Index, s.attempt) {
				t.suspicion = suspicionOf(t.step.progress.Crashes[s.task.Index])
				p.markDirty(t.step.occurrence.job)
			}
		}
	}
}

// recordCrash counts the crash for the tasks that had runs on the backend server, and gives up those that are certain to crash
// any.
func (p *Pool) recordCrash(l *silence, now time.Time) {
	c := newCrash()
	c.withRack = p.rackFailed(l)
	for _, o := range p.silences {
		c.again = c.again || o.address == l.address && len(o.crashed) > 0 && !p.explained(&o)
	}
	for _, s := range l.suspects {
		c.add(s, p.suspicion(s.task))
	}
	told := Crash{Backend: l.id, Address: l.address, Silent: now.Sub(l.from), WithRack: c.withRack, Again: c.again}
	explained := false // by a prompt suspect that is given up
	slices.SortStableFunc(l.suspects, comparePrompt)
	for _, s := range l.suspects {
		weight := c.weight(s, p.suspicion(s.task), p.hasCrashedPromptly(s.task))
		if weight == 0 && p.excuse(s.task) {
			told.add(s, 0, p.suspicion(s.task))
			continue
		}
		p.recordCrashedRun(s.task, basilwork.Crash{
			Attempt: s.attempt, Weight: max(weight, crashWeightPossible), Uncertain: !s.certain, Explained: explained && !s.prompt,
			Prompt: s.prompt && !c.withRack && !c.again,
		}, now)
		told.add(s, max(weight, crashWeightPossible), p.suspicion(s.task))
		explained = explained || s.prompt && s.certain && !p.givenUp[s.task.Job].IsZero()
	}
	if len(told.Suspects) > 0 {
		p.actions.Crashes = append(p.actions.Crashes, told)
	}
	if !c.withRack {
		p.avoidAddress(l, now)
	}
	l.suspects, l.crashed = nil, l.suspects
}

// avoidAddress keeps the suspects off the server's successor at its address for a while. One that crashes again and again would otherwise take
// the same tasks along each time: it is the emptiest as it returns.
func (p *Pool) avoidAddress(l *silence, now time.Time) {
	for _, s := range l.suspects {
		if t := p.findTask(s.task); t != nil && !t.step.spec.LongRunning && l.address != "" {
			t.avoidBackend(l.address, now.Add(avoidTime))
		}
	}
}

func (c *Crash) add(s suspect, weight, sum int) {
	c.Suspects = append(c.Suspects, Suspect{Task: s.task, Attempt: s.attempt, Prompt: s.prompt, Certain: s.certain, Weight: weight, Sum: sum})
}

// explained reports whether a suspect of the crash was the likely cause of another one since.
func (p *Pool) explained(l *silence) bool {
	return slices.ContainsFunc(l.crashed, func(s suspect) bool {
		return !p.givenUp[s.task.Job].IsZero() || p.suspicion(s.task) > crashWeightLikely
	})
}

// excuse reports whether a crash may pass without counting for the task: only the first one, so that each task is given up after
// five crashes at the latest.
func (p *Pool) excuse(id basilwork.TaskID) bool {
	t := p.findTask(id)
	if t == nil || t.excused {
		return false
	}
	t.excused = true
	return true
}

func (p *Pool) suspicion(id basilwork.TaskID) int {
	if t := p.findTask(id); t != nil {
		return t.suspicion
	}
	return 0
}

// hasCrashedPromptly reports whether a backend server crashed with a start of the task, and nothing else explains that.
func (p *Pool) hasCrashedPromptly(id basilwork.TaskID) bool {
	t := p.findTask(id)
	return t != nil && slices.ContainsFunc(t.step.progress.Crashes[id.Index], func(c basilwork.Crash) bool { return c.Prompt && !c.Explained })
}

// crash sums up the suspects of one crash. It counts jobs, not tasks: it is the job that is given up in the end.
type crash struct {
	again       bool            // a backend server at the address crashed a short time ago
	withRack    bool            // its rack failed
	known       map[string]bool // jobs with suspects of earlier crashes
	knownPrompt map[string]bool
	prompt      map[string]bool // jobs with suspects that were started last
	strongest   int             // strongest earlier suspicion of those started last
}

func newCrash() crash {
	return crash{known: make(map[string]bool), knownPrompt: make(map[string]bool), prompt: make(map[string]bool)}
}

func (c *crash) add(s suspect, suspicion int) {
	if suspicion > 0 {
		c.known[s.task.Job] = true
	}
	if s.prompt {
		c.prompt[s.task.Job] = true
	}
	if s.prompt && suspicion > 0 {
		c.knownPrompt[s.task.Job] = true
		c.strongest = max(c.strongest, suspicion)
	}
}

// weight returns the weight of the crash for a suspect, or 0 if something else explains the crash. promptBefore tells that an earlier
// crash came with a start of the suspect.
func (c *crash) weight(s suspect, suspicion int, promptBefore bool) int {
	known := suspicion > 0
	switch {
	case c.withRack, c.again:
		if !s.certain {
			return 0
		}
		return crashWeightPossible
	case !known && !s.prompt && c.strongest >= crashWeightLikely:
		return 0 // the suspect of earlier crashes explains this one
	case !promptBefore:
		return crashWeightPossible
	case known && s.prompt && len(c.known) == 1 && len(c.prompt) == 1:
		return crashWeightCertain
	case known && s.prompt && len(c.knownPrompt) == 1:
		return crashWeightLikely
	}
	return crashWeightPossible
}

func (p *Pool) recordCrashedRun(id basilwork.TaskID, c basilwork.Crash, now time.Time) {
	t := p.findTask(id)
	if t == nil || t.done || t.step.occurrence.job.record.State.Final() {
		return
	}
	progress, j := t.step.progress, t.step.occurrence.job
	if !progress.AddCrash(id.Index, c) {
		return
	}
	p.markDirty(j)
	j.urgent = true
	t.suspicion = suspicionOf(progress.Crashes[id.Index])
	p.giveUpIfCrashing(t, now)
}

// giveUpIfCrashing fails the job of a task that is certain to crash its backend servers. While a start that decides it may still be refused,
// the task is not started again.
func (p *Pool) giveUpIfCrashing(t *task, now time.Time) {
	crashes, j := t.step.progress.Crashes[t.id.Index], t.step.occurrence.job
	if t.done || j.record.State.Final() || !t.mayBeGivenUp(crashes) {
		return
	}
	if until := p.awaitsAnswer(t, now); !until.IsZero() {
		t.notBefore = until
		return
	}
	if p.givenUp == nil {
		p.givenUp = make(map[string]time.Time)
	}
	p.givenUp[j.id()] = now
	p.explainCrashes(t.id)
	p.actions.GivenUp = append(p.actions.GivenUp, GivenUp{Task: t.id, Crashes: crashes})
	p.failJob(j, now)
}

// clearIfAtWork drops the suspicion of a long-running task that is at work: it didn't crash its backend server.
func (p *Pool) clearIfAtWork(r *run) {
	t := r.task
	if t.suspicion == 0 || !t.step.spec.LongRunning || r.percent < 100 {
		return
	}
	t.suspicion = 0
	delete(t.step.progress.Crashes, t.id.Index)
	p.markDirty(t.step.occurrence.job)
}

// quarantined reports whether a suspect was started on the backend server and no report shows yet that it survived that.
func (b *backend) quarantined() bool {
	r := b.quarantinedFor
	return r != nil && b.heardAt.Before(r.orderedAt.Add(quarantineTime))
}

// crashRisk returns how much speaks against starting a suspect on the backend server: other suspects there, which can't be told
// apart, long-running tasks, or that the backend server may crash by itself.
func (b *backend) crashRisk() int {
	risk := b.longRuns
	if b.lostLately {
		risk++
	}
	for _, r := range b.runs {
		if r.task.suspicion > 0 {
			risk++
		}
	}
	return risk
}

// recordPredecessorCrash counts a crash for the suspects that a previous owner had running, once all its backend servers have
// answered or are lost and one of them has crashed: what ran there is unknown, but suspects that run nowhere did.
func (p *Pool) recordPredecessorCrash(now time.Time) {
	if !p.inheritedCrash || len(p.predecessorUntil) > 0 {
		return
	}
	p.inheritedCrash = false
	attempt := int(p.options.Epoch-1) * attemptsPerEpoch
	for _, j := range p.jobs {
		if !j.adopted || j.record.State.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for index := range s.progress.Crashes {
					if t := s.tasks[index]; t.idle() {
						p.recordCrashedRun(t.id, basilwork.Crash{Attempt: attempt, Weight: crashWeightPossible, Uncertain: true}, now)
					}
				}
			}
		}
	}
}
