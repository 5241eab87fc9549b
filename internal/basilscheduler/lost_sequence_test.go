package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

// greyHow is how calls to a grey backend server fail.
type greyHow int

const (
	greyErrors greyHow = iota // refused, and not carried out
	greyHang                  // not answered, and not carried out
	greyMute                  // carried out, and not answered
)

const (
	sequenceLength = 40 * time.Second
	greyRunTime    = 500 * time.Millisecond // mean time in which a run on a grey backend server fails, if it does
)

// share returns the hosts that a fault hits, as many of ten.
func (p *lostPlay) share(tenths int) []*playHost {
	var list []*playHost
	for _, h := range p.hosts {
		if h.life.up && p.random.IntN(10) < tenths {
			list = append(list, h)
		}
	}
	return list
}

// failGreyRuns has runs on grey backend servers fail.
func (p *lostPlay) failGreyRuns() {
	const interval = 50 * time.Millisecond
	p.after(interval, p.failGreyRuns)
	for _, h := range p.hosts {
		if !h.life.up || !p.now.Before(h.greyUntil) {
			continue
		}
		for _, r := range h.life.sortedRuns() {
			if p.random.Float64() < interval.Seconds()/greyRunTime.Seconds()*float64(h.greyTenths)/10 {
				h.life.endRun(r, basilwork.RunEndFailed)
			}
		}
	}
}

// freezeOwner freezes the owner. One that doesn't renew its ownership in time is replaced, and finds that out when it goes on.
func (p *ownersPlay) freezeOwner(lasts time.Duration) {
	o := p.owner
	p.trace("epoch %d is frozen for %v", o.epoch, lasts)
	o.frozenUntil = p.now.Add(lasts)
	p.keepDisturbed(lasts)
	if lasts < playTakeover {
		return
	}
	p.after(playTakeover, func() {
		if p.owner == o {
			p.succeed()
		}
	})
}

// killOwner ends the owner, and has another one take over.
func (p *ownersPlay) killOwner() {
	o := p.owner
	p.trace("owner dies")
	o.alive = false
	p.after(playTakeover, func() {
		if p.owner == o {
			p.succeed()
		}
	})
}

// keepDisturbed notes that a fault lasts for the given time.
func (p *ownersPlay) keepDisturbed(lasts time.Duration) {
	p.after(lasts, func() { p.disturbedAt = p.now })
}

// sequenceFaults are the faults of which a sequence consists.
var sequenceFaults = []struct {
	name  string
	begin func(p *ownersPlay, tenths int, lasts time.Duration)
}{
	{"owner killed", func(p *ownersPlay, _ int, _ time.Duration) { p.killOwner() }},
	{"owner frozen", func(p *ownersPlay, _ int, lasts time.Duration) { p.freezeOwner(lasts) }},
	{"servers gone for good", func(p *ownersPlay, tenths int, _ time.Duration) {
		for _, h := range p.share(min(tenths, 2)) {
			h.life.die()
		}
	}},
	{"servers reborn", func(p *ownersPlay, tenths int, lasts time.Duration) {
		for _, h := range p.share(tenths) {
			h.life.die()
			h.rebornIn(lasts)
		}
		p.keepDisturbed(lasts)
	}},
	{"servers reborn under their IDs", func(p *ownersPlay, tenths int, lasts time.Duration) {
		for _, h := range p.share(tenths) {
			l := h.life
			l.die()
			p.after(lasts, func() {
				if h.life == l && !l.up {
					h.begin(p.lostPlay, l.ID)
				}
			})
		}
		p.keepDisturbed(lasts)
	}},
	{"servers moved", func(p *ownersPlay, tenths int, _ time.Duration) {
		for _, h := range p.share(tenths) {
			h.evacuated, h.awayOnceIdle = true, true
		}
	}},
	{"servers grey", func(p *ownersPlay, tenths int, lasts time.Duration) {
		how := greyHow(p.random.IntN(3))
		for _, h := range p.share(tenths) {
			h.greyUntil, h.greyTenths, h.greyHow = p.now.Add(lasts), 9, how
		}
		p.keepDisturbed(lasts)
	}},
	{"runs failing", func(p *ownersPlay, tenths int, _ time.Duration) {
		for _, h := range p.share(tenths) {
			for _, r := range h.life.sortedRuns() {
				h.life.endRun(r, basilwork.RunEndFailed)
			}
		}
	}},
	{"late starts", func(p *ownersPlay, tenths int, lasts time.Duration) {
		for _, h := range p.share(tenths) {
			h.lateUntil, h.lateOrders = p.now.Add(lasts), []string{"start"}
		}
		p.keepDisturbed(lasts + basilwork.MaxOrderDelay)
	}},
	{"store in trouble", func(p *ownersPlay, _ int, lasts time.Duration) {
		p.store.troubleUntil = p.now.Add(lasts)
		p.keepDisturbed(lasts)
	}},
}

// loadWithShortTasks has jobs of short tasks arrive at the given mean share of the pool's room, in tenths.
func (p *ownersPlay) loadWithShortTasks(tenths int) {
	if tenths == 0 {
		return
	}
	number := 0
	var arrive func()
	arrive = func() {
		number++
		s := stepOf(8, 2000)
		s.Estimate = time.Second
		p.accept(basilwork.Job{ID: fmt.Sprint("short", number), Queue: "quote", Steps: []basilwork.Step{s}})
		p.after(time.Duration(10*float64(time.Second)/float64(len(p.hosts)*tenths)), arrive)
	}
	p.after(time.Second, arrive)
}

// TestPropertyLongRunningTasksRunAgainThoughFaultsFollowEachOther checks, by the seconds of the platform's rules, that long-running tasks run again
// after any sequence of owners that are lost or frozen, backend servers that go, move, return or fail what they run, and runs that fail.
func TestPropertyLongRunningTasksRunAgainThoughFaultsFollowEachOther(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		p := newLongRunningPlay(20, rapid.Uint64().Draw(r, "seed"))
		p.restless, p.onlyCalm = true, true
		p.failGreyRuns()
		p.loadWithShortTasks(rapid.SampledFrom([]int{0, 0, 2, 6}).Draw(r, "load"))
		at := 2 * time.Second
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			f := rapid.SampledFrom(sequenceFaults).Draw(r, "fault")
			at += drawTime(r, "after", 0, 6*time.Second)
			tenths := rapid.IntRange(1, 8).Draw(r, "tenths")
			lasts := drawTime(r, "for", 200*time.Millisecond, 5*time.Second)
			p.disturb(at, func() {
				p.trace("%s: %d tenths, for %v", f.name, tenths, lasts)
				f.begin(p, tenths, lasts)
			})
		}
		p.run(sequenceLength)
		if p.failure != "" {
			r.Fatalf("%s\n%s", p.failure, p.log())
		}
	})
}

// TestFailedLongRunningTaskRunsAgainThoughItsNextServerHasGone checks that a long-running task that has failed runs again within 9 s though it was
// started on a backend server that had just gone for good, some seconds after that one had started again under its ID.
func TestFailedLongRunningTaskRunsAgainThoughItsNextServerHasGone(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		p := newLongRunningPlay(20, seed)
		p.restless, p.onlyCalm = true, true
		restarting, failing := p.hosts[:10], p.hosts[10:]
		p.disturb(2*time.Second, func() {
			for _, h := range restarting {
				h.life.die()
				h.begin(p.lostPlay, h.life.ID)
			}
		})
		p.disturb(8*time.Second, func() {
			for _, h := range restarting[:5] {
				h.life.die()
			}
			for _, h := range failing {
				for _, r := range h.life.sortedRuns() {
					h.life.endRun(r, basilwork.RunEndFailed)
				}
			}
		})
		p.run(25 * time.Second)
		must.Eq(t, "", p.failure, must.Sprint(p.log()))
	}
}
