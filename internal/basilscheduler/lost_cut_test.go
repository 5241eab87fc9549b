package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

// cutOff cuts a backend server off at the time; it stays up in the list of hosts.
func (p *ownersPlay) cutOff(host int, at, lasts time.Duration) {
	p.disturb(at, func() {
		h := p.hosts[host]
		p.trace("%s is cut off for %v", h.life.ID, lasts)
		h.silentUntil, h.unlistUntil = p.now.Add(lasts), p.now.Add(lasts)
		p.after(lasts, func() { p.disturbedAt = p.now })
	})
}

// TestPropertyLongRunningTasksRunAgainThoughServersAreCutOff checks, by the seconds of the platform's rules, that long-running tasks run again and
// never twice under owners that change while backend servers are cut off. Tasks whose runs failed on servers that were cut off before an owner could note
// that are left out: TestLongRunningTaskRunsAgainThoughItsEndIsCutOff tells of them.
func TestPropertyLongRunningTasksRunAgainThoughServersAreCutOff(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		p := newOwnersPlay(20, rapid.Uint64().Draw(r, "seed"), time.Hour)
		p.onlyCalm, p.onlyKnown = true, true
		at := drawTime(r, "first owner lasts", 7*time.Second, 12*time.Second)
		p.replaceOwner(at)
		for range rapid.IntRange(0, 2).Draw(r, "more changes of owner") {
			at += playTakeover + drawTime(r, "owner lasts", 2*time.Second, 4*time.Second)
			p.replaceOwner(at)
		}
		for n := range rapid.IntRange(1, 4).Draw(r, "cut off") {
			p.cutOff(n, drawTime(r, "cut at", 2*time.Second, at+playTakeover+5*time.Second), drawTime(r, "for", time.Second, 30*time.Second))
		}
		p.run(playTroubles + playCalmSettles) // the other judges don't know of these faults
		if p.failure != "" {
			r.Fatalf("%s\n%s", p.failure, p.log())
		}
	})
}

// TestLongRunningTaskRunsAgainThoughItsEndIsCutOff checks the same for a task whose run fails between two owners on a server that is cut off before the
// second one has heard from it.
func TestLongRunningTaskRunsAgainThoughItsEndIsCutOff(t *testing.T) {
	p := newOwnersPlay(20, 1, time.Hour)
	p.onlyCalm = true
	p.replaceOwner(8 * time.Second)
	p.after(8100*time.Millisecond, func() { p.hosts[0].life.endRun(p.hosts[0].life.sortedRuns()[0], basilwork.RunEndFailed) })
	p.cutOff(0, 8200*time.Millisecond, time.Hour)
	p.run(25 * time.Second)
	must.Eq(t, "", p.failure, must.Sprint(p.log()))
}
