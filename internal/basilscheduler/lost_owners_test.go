package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	playTakeover    = 1500 * time.Millisecond // from the death of an owner to the next one: its lease, and the claim
	playEndedDelay  = 300 * time.Millisecond  // from a takeover to the first list of hosts
	playEndedRepeat = 2 * time.Second         // between the lists
	playAbsence     = playRestartTime + playMaxWait
	playRuleCalm    = 4*time.Second + playMaxWait // without a disturbance before LOST is judged, by the platform's rules
)

// ownersPlay is a play of long-running jobs under owners that die again and again.
type ownersPlay struct {
	*lostPlay
	disturbedAt time.Time // last death of an owner, or fault of a backend server
	onlyCalm    bool      // whether absences are judged only after playRuleCalm
	onlyKnown   bool      // whether those after ends are left out that no owner could note, as their servers were cut off
}

// disturb calls f, a fault of a backend server, at the time.
func (p *ownersPlay) disturb(at time.Duration, f func()) {
	p.after(at, func() {
		p.disturbedAt = p.now
		f()
	})
}

// readHosts takes silent backend servers for ended that no host runs, as the owner of basilnode does.
func (o *playOwner) readHosts() {
	if !o.alive || o.deposed() {
		return
	}
	if o.play.now.Before(o.frozenUntil) {
		o.thawed(o.readHosts)
		return
	}
	for _, id := range o.SilentBackends() {
		if h := o.play.hostOf(id); h == nil || !h.life.up {
			o.play.trace("epoch %d: %s has ended", o.epoch, id)
			o.Ended(id, o.play.now)
		}
	}
	o.play.after(playEndedRepeat, o.readHosts)
}

// replaceOwners has the owner die again and again; each lasts for the given time.
func (p *ownersPlay) replaceOwners(lasts time.Duration) {
	p.replaceOwner(lasts)
	p.after(lasts+playTakeover, func() { p.replaceOwners(lasts) })
}

// replaceOwner has the owner die at the time, and another one take over.
func (p *ownersPlay) replaceOwner(at time.Duration) {
	p.disturb(at, func() {
		p.trace("owner dies")
		p.owner.alive = false
		p.after(playTakeover, func() {
			p.succeed()
		})
	})
}

// succeed replaces the owner by one that reads the list of hosts.
func (p *ownersPlay) succeed() {
	p.takeOver()
	p.after(playEndedDelay, p.owner.readHosts)
}

// failRuns has a run of a long-running task fail now and then.
func (p *lostPlay) failRuns(every time.Duration) {
	p.after(p.between(every/2, every*3/2), func() {
		var candidates []func()
		p.runs(func(s *playServer, r *playRun) {
			if p.stepOf(r.task).LongRunning && !p.now.Before(s.host.silentUntil) {
				candidates = append(candidates, func() { s.endRun(r, basilwork.RunEndFailed) })
			}
		})
		if len(candidates) > 0 {
			candidates[p.random.IntN(len(candidates))]()
		}
		p.failRuns(every)
	})
}

// judgeAbsences judges LOST by the seconds of the platform's rules: a long-running task with room runs again 9 s after its last run.
func (p *ownersPlay) judgeAbsences() {
	p.after(100*time.Millisecond, p.judgeAbsences)
	if p.onlyCalm && p.now.Sub(p.disturbedAt) < playRuleCalm {
		return
	}
	running := make(map[basilwork.TaskID]bool)
	p.runs(func(_ *playServer, r *playRun) { running[r.task] = true })
	for _, id := range sortedKeys(p.jobs) {
		if p.store.rows[id].state.Final() {
			continue // judgeStored judges whether it may be
		}
		for n := range p.jobs[id].Steps {
			for _, k := range p.tasksOf(id, n) {
				t := p.task(k)
				if p.onlyKnown && p.endUnknown(k) {
					continue
				}
				if away := p.now.Sub(t.lastEnded); p.jobs[id].Steps[n].LongRunning && !running[k] && !t.lastEnded.IsZero() && away > playAbsence && p.hasRoomTwice(id, n) {
					p.fail("LOST: %s has not run for %v", k.String(), away)
				}
			}
		}
	}
}

// endUnknown reports whether the task's last run has failed on a server that is cut off, and owners know the task as one that may run there still.
func (p *ownersPlay) endUnknown(id basilwork.TaskID) bool {
	s := p.task(id).failedOn
	return s != nil && s.up && p.now.Before(s.host.silentUntil) && p.store.servers[s.ID].tasks[id]
}

// newOwnersPlay returns a play of long-running jobs whose runs fail now and then on so many hosts, under owners that last for the given time.
func newOwnersPlay(hosts int, seed uint64, lasts time.Duration) *ownersPlay {
	p := newLongRunningPlay(hosts, seed)
	p.replaceOwners(lasts)
	return p
}

// newLongRunningPlay returns the same under one owner.
func newLongRunningPlay(hosts int, seed uint64) *ownersPlay {
	p := &ownersPlay{lostPlay: newLostPlay(hosts, seed)}
	p.disturbedAt = p.now
	for n := range 3 {
		step := longStep(hosts*3/5, 2000)
		step.AntiAffinity = 2
		p.after(time.Second, func() {
			p.accept(basilwork.Job{ID: fmt.Sprint("job", n), Queue: "quote", Steps: []basilwork.Step{step}})
		})
	}
	p.owner.readHosts()
	p.failRuns(500 * time.Millisecond)
	p.after(3*time.Second, p.judgeAbsences)
	return p
}

// TestPropertyLongRunningTasksRunAgainThoughOwnersChange checks, by the seconds of the platform's rules, that long-running tasks run again under
// owners that die again and again while some of the backend servers are gone for good.
func TestPropertyLongRunningTasksRunAgainThoughOwnersChange(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		lasts := rapid.SampledFrom([]time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second}).Draw(r, "owners last")
		p := newOwnersPlay(20, rapid.Uint64().Draw(r, "seed"), lasts)
		gone := rapid.SampledFrom([]int{0, 1, 2}).Draw(r, "gone") // none, 5 and 10 % of the hosts
		for n := range gone {
			p.disturb(drawTime(r, "gone at", 2*time.Second, 20*time.Second), func() { p.hosts[n].life.die() })
		}
		p.run(40 * time.Second)
		if p.failure != "" {
			r.Fatalf("%s\n%s", p.failure, p.log())
		}
	})
}

// TestLongRunningTasksRunAgainThoughServerIsCutOffBesideTakeover checks the same, in calm only, after one death of an owner, with a backend server
// that was cut off 2 s before and stays up in the list of hosts.
func TestLongRunningTasksRunAgainThoughServerIsCutOffBesideTakeover(t *testing.T) {
	p := newOwnersPlay(40, 1, 12*time.Second)
	p.onlyCalm = true
	p.disturb(10*time.Second, func() {
		p.trace("%s is cut off", p.hosts[0].life.ID)
		p.hosts[0].silentUntil, p.hosts[0].unlistUntil = p.now.Add(time.Hour), p.now.Add(time.Hour)
	})
	p.run(25 * time.Second)
	must.Eq(t, "", p.failure, must.Sprint(p.log()))
}

// TestLongRunningTasksRunAgainThoughServerIsCutOffRightBeforeTakeover checks the same with a backend server that was cut off 1 s before.
func TestLongRunningTasksRunAgainThoughServerIsCutOffRightBeforeTakeover(t *testing.T) {
	p := newOwnersPlay(40, 1, 12*time.Second)
	p.onlyCalm = true
	p.cutOff(0, 11*time.Second, time.Hour)
	p.run(25 * time.Second)
	must.Eq(t, "", p.failure, must.Sprint(p.log()))
}

// TestLongRunningTaskIsNotStartedOnServerThatHasJustGone checks that a task whose server is gone for good runs again within 9 s under an owner that
// lives, though another server goes before the leases on the first have run out: the task was started there, 1.5 s after that one had gone.
func TestLongRunningTaskIsNotStartedOnServerThatHasJustGone(t *testing.T) {
	p := newOwnersPlay(40, 3, 12*time.Second)
	p.disturb(7576*time.Millisecond, func() { p.hosts[0].life.die() })
	p.disturb(2377*time.Millisecond, func() { p.hosts[1].life.die() })
	p.run(12 * time.Second)
	must.Eq(t, "", p.failure, must.Sprint(p.log()))
}
