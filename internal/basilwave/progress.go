package basilwave

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
)

// Progress tells how far a wave has come and what keeps the rest of its hosts.
type Progress struct {
	Done    int
	Busy    int
	Pending int // neither done nor busy
	Failed  int // lost hosts that the wave selects
	Out     []basilmodel.Host
	Waits   []Wait
}

// Wait is a number of hosts that wait for the same thing.
type Wait struct {
	Pool   string
	Hosts  int
	Reason string
}

// Progress returns how far the wave has come; it plans nothing.
func (l Planner) Progress(s State, w basilmodel.Wave, now time.Time) Progress {
	p := newPlan(s, now)
	if l.spendAll {
		p.dropReserves()
	}
	w = asStarted(w)
	work := survey(w, s.Hosts)
	g := Progress{Done: work.done, Busy: work.busy, Pending: work.pending - work.busy}
	for _, h := range s.Hosts {
		switch {
		case h.State() == basilmodel.HostStateFailed && w.Selects(h):
			g.Failed++
		case h.Wave() == w.Name() && h.State() != basilmodel.HostStateFailed:
			g.Out = append(g.Out, h)
		case w.Selects(h) && !w.Passed(h) && !h.InService() && !handDrained(h):
			g.wait(h.Pool(), heldBy(h))
		}
	}
	for _, r := range work.racks {
		for _, h := range r.waiting {
			g.wait(h.Pool(), p.keeps(w, work, r, h))
		}
	}
	slices.SortFunc(g.Waits, func(a, b Wait) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Reason, b.Reason))
	})
	return g
}

// asStarted lets a wave that was never started select the hosts that it would if it were started now.
func asStarted(w basilmodel.Wave) basilmodel.Wave {
	r := w.Record()
	if r.Started == 0 {
		r.Started = math.MaxInt64
	}
	return basilmodel.NewWave(r)
}

func (g *Progress) wait(pool, reason string) {
	for n := range g.Waits {
		if g.Waits[n].Pool == pool && g.Waits[n].Reason == reason {
			g.Waits[n].Hosts++
			return
		}
	}
	g.Waits = append(g.Waits, Wait{Pool: pool, Hosts: 1, Reason: reason})
}

func heldBy(h basilmodel.Host) string {
	switch {
	case h.Target() != "":
		return "it moves to pool " + h.Target()
	case h.Wave() != "":
		return "wave " + h.Wave() + " holds it"
	}
	return "an operator took it out by hand and it is " + h.State().String()
}

// keeps tells why the plan does not take the waiting host out now.
func (p *plan) keeps(w basilmodel.Wave, work waveWork, r *rackWork, h *basilmodel.Host) string {
	switch {
	case w.State() != basilmodel.WaveStateRunning:
		return "the wave is " + w.State().String()
	case r.busy == 0 && p.crowded(w, work, r):
		return "racks in progress come first"
	case handDrained(*h):
		return "drained by hand, the wave takes it next"
	}
	return p.pools[h.Pool()].refuses(w)
}

// crowded tells whether the wave may open no further rack beside those in progress.
func (p *plan) crowded(w basilmodel.Wave, work waveWork, r *rackWork) bool {
	open, total := 0, 0
	for _, o := range work.racks {
		if o.busy == 0 {
			continue
		}
		total++
		if o.place.dataCentre == r.place.dataCentre {
			open++
		}
	}
	return open >= w.RackBatch() || work.done == 0 && total > 0
}

// refuses tells why the wave may take no further host out of the pool; see allows.
func (l *poolLoad) refuses(w basilmodel.Wave) string {
	after := l.spare() - 1
	switch {
	case after < 0:
		return fmt.Sprintf("budget: %d hosts in service, %d must stay", l.available, l.minAvailable)
	case after < l.reserve && l.planned > 0:
		return fmt.Sprintf("reserve: %d could leave, %d are kept for the loss of a rack", l.spare(), l.reserve)
	case !l.allows(w):
		return fmt.Sprintf("share: %d of %d hosts are out for the wave", l.waves[w.Name()], l.hosts)
	}
	return "the next pass takes it"
}
