package basilscheduler

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

func drawTime(r *rapid.T, label string, from, to time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(from/time.Millisecond), int(to/time.Millisecond)).Draw(r, label)) * time.Millisecond
}

// jobGenerator draws a job of up to four steps.
func jobGenerator(number int) *rapid.Generator[basilwork.Job] {
	return rapid.Custom(func(r *rapid.T) basilwork.Job {
		j := basilwork.Job{ID: fmt.Sprintf("job%d", number), Queue: "quote"}
		for n := range rapid.IntRange(1, 4).Draw(r, "steps") {
			s := basilwork.Step{
				Count:     rapid.IntRange(1, 6).Draw(r, "count"),
				Resources: basilwork.Resources{CPU: 500 * rapid.IntRange(1, 12).Draw(r, "cpu"), Memory: 1024 * rapid.IntRange(1, 16).Draw(r, "memory")},
				Estimate:  drawTime(r, "estimate", 200*time.Millisecond, 6*time.Second),
				Label:     rapid.SampledFrom([]string{"", "", "", "rare"}).Draw(r, "label"),
			}
			if rapid.IntRange(0, 2).Draw(r, "long") == 0 {
				s.Estimate *= 6
			}
			switch rapid.IntRange(0, 6).Draw(r, "kind") {
			case 0, 1:
				s.LongRunning = true
				s.AntiAffinity = rapid.IntRange(0, 2).Draw(r, "anti-affinity")
				s.HasMaxUnavailable = rapid.Bool().Draw(r, "has max unavailable")
				s.MaxUnavailable = 1
			case 2:
				s.Gang = true
			case 3:
				s.AntiAffinity = rapid.IntRange(1, 2).Draw(r, "anti-affinity")
			case 4:
				s.Speculative = true
			}
			for a := range n {
				if !j.Steps[a].LongRunning && rapid.IntRange(0, 2).Draw(r, "after") > 0 {
					s.After = append(s.After, a)
				}
			}
			j.Steps = append(j.Steps, s)
		}
		return j
	})
}

// trouble is a kind of fault of a backend server.
type trouble struct {
	name  string
	begin func(p *lostPlay, h *playHost, until time.Time)
}

var troubles = []trouble{
	{"silent", func(_ *lostPlay, h *playHost, until time.Time) { h.silentUntil = until }},
	{"silent and unlisted", func(_ *lostPlay, h *playHost, until time.Time) { h.silentUntil, h.unlistUntil = until, until }},
	{"silent at an end", silenceAtEnd},
	{"sick", func(_ *lostPlay, h *playHost, until time.Time) { h.sickUntil = until }},
	{"late starts", func(_ *lostPlay, h *playHost, until time.Time) { h.lateUntil, h.lateOrders = until, []string{"start"} }},
	{"late orders", func(_ *lostPlay, h *playHost, until time.Time) {
		h.lateUntil, h.lateOrders = until, []string{"start", "stop", "hold"}
	}},
	{"lossy", func(_ *lostPlay, h *playHost, until time.Time) { h.lossyUntil = until }},
	{"crash", func(p *lostPlay, h *playHost, until time.Time) {
		h.life.die()
		h.rebornIn(until.Sub(p.now))
	}},
	{"crash under its ID", func(p *lostPlay, h *playHost, until time.Time) {
		l := h.life
		l.die()
		p.after(until.Sub(p.now), func() {
			if h.life == l && !l.up {
				h.begin(p, l.ID)
			}
		})
	}},
	{"drain", func(_ *lostPlay, h *playHost, until time.Time) { h.life.Draining, h.life.leavesAt = true, until }},
	{"evacuation", func(p *lostPlay, h *playHost, until time.Time) {
		h.evacuated = true
		p.after(until.Sub(p.now), func() { h.evacuated = false })
	}},
	{"evacuation for good", func(_ *lostPlay, h *playHost, _ time.Time) { h.evacuated, h.awayOnceIdle = true, true }},
}

// silenceAtEnd makes a backend server silent just before one of its runs ends, so that the end is read late.
func silenceAtEnd(p *lostPlay, h *playHost, until time.Time) {
	lasts := until.Sub(p.now)
	for _, r := range h.life.sortedRuns() {
		if left := r.works.Add(r.length).Sub(p.now); !r.works.IsZero() && left > 0 && left < playTroubles/2 && -p.calmFor() > left {
			p.after(left-60*time.Millisecond, func() { h.silentUntil = p.now.Add(lasts) })
			return
		}
	}
}

// drawTrouble draws a fault and when it comes.
func drawTrouble(r *rapid.T, p *lostPlay, from time.Duration) {
	at := from + drawTime(r, "at", 0, playTroubles-time.Second)
	lasts := drawTime(r, "for", 500*time.Millisecond, 12*time.Second)
	kind := rapid.IntRange(0, len(troubles)+4).Draw(r, "trouble")
	switch {
	case kind < len(troubles):
		share := rapid.IntRange(1, 10).Draw(r, "tenths")
		p.after(at, func() {
			for _, h := range p.hosts {
				if h.life.up && p.random.IntN(10) < share {
					p.trace("%s: %s for %v", h.life.ID, troubles[kind].name, lasts)
					troubles[kind].begin(p, h, p.now.Add(lasts))
				}
			}
		})
	case kind == len(troubles):
		p.after(at, func() {
			p.trace("store in trouble for %v", lasts)
			p.store.troubleUntil = p.now.Add(lasts)
		})
	case kind == len(troubles)+1:
		number := rapid.IntRange(0, 7).Draw(r, "cancelled")
		p.after(at, func() {
			if id := fmt.Sprint("job", number); p.jobs[id] != nil {
				p.cancel(id)
			}
		})
	default:
		p.after(at, func() {
			p.trace("owner dies")
			p.owner.alive = false
			o := p.owner
			p.after(lasts/2, func() {
				if p.owner == o {
					p.takeOver()
				}
			})
		})
	}
}
