package basilscheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	playSilenceStored = 4 * time.Second // from the cut of an idle backend server: the next hold, two time-outs of answers, and the write
	playCutSettles    = time.Second     // after a takeover: tasks that ended before it have been started, and not on a server that was just cut off
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
// never twice under owners that change while backend servers are cut off. Those that are cut off just before a change of owner are left out:
// TestLongRunningTasksRunAgainThoughServerIsCutOffRightBeforeTakeover tells of them.
func TestPropertyLongRunningTasksRunAgainThoughServersAreCutOff(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		p := newOwnersPlay(20, rapid.Uint64().Draw(r, "seed"), time.Hour)
		p.onlyCalm = true
		at := drawTime(r, "first owner lasts", 7*time.Second, 12*time.Second)
		p.replaceOwner(at)
		spans := [][2]time.Duration{{2 * time.Second, at - playSilenceStored}, {}} // in which cuts may come
		for range rapid.IntRange(0, 2).Draw(r, "more changes of owner") {
			at += playTakeover + drawTime(r, "owner lasts", 2*time.Second, 4*time.Second)
			p.replaceOwner(at)
		}
		at += playTakeover + playCutSettles
		spans[1] = [2]time.Duration{at, at + 4*time.Second}
		for n := range rapid.IntRange(1, 4).Draw(r, "cut off") {
			span := rapid.SampledFrom(spans).Draw(r, "span")
			p.cutOff(n, drawTime(r, "cut at", span[0], span[1]), drawTime(r, "for", time.Second, 30*time.Second))
		}
		p.run(playTroubles + playCalmSettles) // the other judges don't know of these faults
		if p.failure != "" {
			r.Fatalf("%s\n%s", p.failure, p.log())
		}
	})
}
