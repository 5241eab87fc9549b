package basilwave

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
)

// Progress counts the hosts of a wave by progress, with the reasons why the rest wait.
type Progress struct {
	Done    int // maintained
	Busy    int // out of service for the wave
	Pending int // neither done nor busy
	Failed  int // selected by the wave and failed
	Out     []basilmodel.Host
	Waits   []Wait
}

// Wait counts the hosts of a pool that wait for the same reason.
type Wait struct {
	Pool   string
	Hosts  int
	Reason string
}

// Progress returns the progress of the wave without planning any steps.
func (l Planner) Progress(s State, w basilmodel.Wave, now time.Time) Progress {
	p := newPlan(s, now)
	if l.noReserve {
		p.dropReserves()
	}
	w = asStarted(w)
	work := newWaveWork(w, s.Hosts)
	progress := Progress{Done: work.done, Busy: work.busy, Pending: work.pending - work.busy}
	for _, h := range s.Hosts {
		switch {
		case h.State() == basilmodel.HostStateFailed && w.Selects(h):
			progress.Failed++
		case h.Wave() == w.Name() && h.State() != basilmodel.HostStateFailed:
			progress.Out = append(progress.Out, h)
		case w.Selects(h) && !w.Passed(h) && !h.InService() && !drainedByOperator(h):
			progress.addWait(h.Pool(), outReason(h))
		}
	}
	for _, r := range work.racks {
		for _, h := range r.waiting {
			progress.addWait(h.Pool(), p.waitReason(w, work, r, h))
		}
	}
	slices.SortFunc(progress.Waits, func(a, b Wait) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Reason, b.Reason))
	})
	return progress
}

// asStarted returns the wave as if it were started now, unless it was started
// before: until it is started, a wave selects no hosts.
func asStarted(w basilmodel.Wave) basilmodel.Wave {
	r := w.Record()
	if r.Started == 0 {
		r.Started = math.MaxInt64
	}
	return basilmodel.NewWave(r)
}

func (p *Progress) addWait(pool, reason string) {
	for n := range p.Waits {
		if p.Waits[n].Pool == pool && p.Waits[n].Reason == reason {
			p.Waits[n].Hosts++
			return
		}
	}
	p.Waits = append(p.Waits, Wait{Pool: pool, Hosts: 1, Reason: reason})
}

func outReason(h basilmodel.Host) string {
	switch {
	case h.Target() != "":
		return "it moves to pool " + h.Target()
	case h.Wave() != "":
		return "wave " + h.Wave() + " holds it"
	}
	return "an operator took it out by hand and it is " + h.State().String()
}

// waitReason returns why the plan doesn't take the waiting host out of service now.
func (p *plan) waitReason(w basilmodel.Wave, work waveWork, r *rackWork, h *basilmodel.Host) string {
	switch {
	case w.State() != basilmodel.WaveStateRunning:
		return "the wave is " + w.State().String()
	case r.busy == 0 && p.mustWaitForRacks(w, work, r):
		return "racks in progress come first"
	case drainedByOperator(*h):
		return "drained by hand, the wave takes it next"
	}
	return p.pools[h.Pool()].drainBlocker(w)
}

// mustWaitForRacks reports whether racks in progress keep the wave from starting rack r; see drainRacks.
func (p *plan) mustWaitForRacks(w basilmodel.Wave, work waveWork, r *rackWork) bool {
	inDataCentre, total := 0, 0
	for _, other := range work.racks {
		if other.busy == 0 {
			continue
		}
		total++
		if other.key.dataCentre == r.key.dataCentre {
			inDataCentre++
		}
	}
	return inDataCentre >= w.RackBatch() || work.done == 0 && total > 0
}

// drainBlocker returns why the wave may not take another host of the pool out of service; see allowsDrain.
func (l *poolLoad) drainBlocker(w basilmodel.Wave) string {
	after := l.surplus() - 1
	switch {
	case after < 0:
		return fmt.Sprintf("budget: %d hosts in service, %d must stay", l.available, l.minAvailable)
	case after < l.reserve && l.planned > 0:
		return fmt.Sprintf("reserve: %d could leave, %d are kept for the loss of a rack", l.surplus(), l.reserve)
	case !l.allowsDrain(w):
		return fmt.Sprintf("share: %d of %d hosts are out for the wave", l.plannedByWave[w.Name()], l.hosts)
	}
	return "the next pass takes it"
}
