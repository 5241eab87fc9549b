package basilexperiment

import (
	"slices"
	"strconv"
	"time"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	decideAfter = 5 * time.Millisecond   // from an event to the decision on it, gathered with others
	callTime    = 4 * time.Millisecond   // of an order to a backend server
	storeTime   = 25 * time.Millisecond  // of a group commit, with its gathering
	stopTime    = 100 * time.Millisecond // of a stop at a backend server
	startup     = 500 * time.Millisecond // of a long-running task
	restoreTime = 600 * time.Millisecond // of a run that resumes from a checkpoint
	failTime    = 50 * time.Millisecond  // after which a failing host's runs fail
	tellEvery   = 250 * time.Millisecond // between a pool's reports to the fleet
	tellTime    = 40 * time.Millisecond  // of a report or an ask, through the store
	reportEvery = time.Second            // between reports of a backend server without news
	startBurst  = 128                    // starts that an owner has queued at most
)

// pool is one service's scheduler and what it was asked to empty.
type pool struct {
	*basilscheduler.Pool
	world  *world
	name   string
	ask    basilcapacity.EvacuationRequest
	told   basilcapacity.PoolReport
	toldAt time.Duration
	poked  bool
	starts startBudget
}

func newPool(w *world, name string) *pool {
	p := &pool{world: w, name: name, toldAt: -tellEvery}
	p.Pool = basilscheduler.New(basilscheduler.Options{Epoch: 1, Order: w.policy.order()}, w.time())
	p.SetConfiguration(w.configuration())
	w.every(reportEvery, p.reportAll)
	return p
}

// list tells the scheduler which backend servers there are.
func (p *pool) list() {
	var list []basilwork.Backend
	for _, h := range p.world.hosts {
		if h.pool == p && h.listed {
			list = append(list, h.backend)
		}
	}
	p.SetBackends(list)
	for _, b := range list {
		p.SetRecorded(b.ID, true)
		p.Attached(b.ID)
	}
	p.poke()
}

// poke has the pool decide soon.
func (p *pool) poke() {
	if p.poked {
		return
	}
	p.poked = true
	p.world.after(decideAfter, p.decide)
}

func (p *pool) decide() {
	p.poked = false
	w := p.world
	p.evacuate()
	limited := w.load.Starts > 0
	if limited {
		p.SetStartLimit(p.starts.left(w.load.Starts, w.now))
	}
	actions := p.Decide(w.time())
	if limited && !p.starts.spend(len(actions.Starts)) {
		w.after(tellEvery/10, p.poke)
	}
	for _, s := range actions.Starts {
		w.after(callTime, func() { p.start(s) })
	}
	for _, s := range actions.Stops {
		w.after(callTime, func() { p.stop(s) })
	}
	w.after(p.Wake().Sub(w.time()), p.poke)
	ids, _ := p.DirtyJobs()
	for _, id := range ids {
		if r, ok := p.Take(id); ok {
			w.after(storeTime, func() { p.stored(r) })
		}
	}
}

// startBudget limits the starts of a pool's owner to a rate.
type startBudget struct {
	allowed float64
	at      time.Duration
}

// left returns how many starts the owner may carry out now.
func (b *startBudget) left(rate float64, now time.Duration) int {
	b.allowed = min(b.allowed+rate*(now-b.at).Seconds(), startBurst)
	b.at = now
	return max(0, int(b.allowed))
}

// spend takes starts from the budget, and reports whether any are left.
func (b *startBudget) spend(starts int) bool {
	b.allowed -= float64(starts)
	return b.allowed >= 1
}

// evacuate empties what the fleet asked for, and tells it how the pool stands.
func (p *pool) evacuate() {
	w := p.world
	answer := p.ask.Apply(p.Pool, p.Processed(), w.time()) // no store is modelled: the effect of all ends is stored
	worth := answer.HasNewAcknowledgement(p.told) || w.now-p.toldAt >= tellEvery && answer.Load.DiffersSignificantly(p.told.Load)
	if w.fleet == nil || !worth {
		return
	}
	p.told, p.toldAt = answer, w.now
	w.after(tellTime, func() { w.fleet.SetReport(p.name, answer, w.time()) })
}

// takeAsk takes in what the fleet asks.
func (p *pool) takeAsk(a basilcapacity.EvacuationRequest) {
	p.ask = a
	for id := range a.Gone {
		if p.Knows(id) {
			p.Lost(id, basilwork.LossRemoved, p.world.time())
		}
	}
	p.poke()
}

func (p *pool) start(s basilscheduler.Start) {
	w := p.world
	h := w.hostOf(s.Backend)
	if h == nil {
		p.Started(s.Ref, basilwork.RefusalBusy, true, w.time())
		return
	}
	a := w.jobs[s.Task.Job]
	spec := &a.job.Steps[s.Task.Step]
	r := &run{room: spec.Demand(), spent: spec.Resources.CPU, began: w.now, lasts: spec.LongRunning, saves: spec.Checkpointing}
	refusal := h.start(s.Ref, r)
	p.Started(s.Ref, refusal, true, w.time())
	p.poke()
	if refusal != basilwork.RefusalNone || r.lasts {
		return
	}
	work := a.work[s.Task.Step]
	if s.Checkpoint != "" {
		r.share, _ = strconv.ParseFloat(s.Checkpoint, 64) // written by saved
		work = restoreTime + seconds(work.Seconds()*(1-r.share))
	}
	took, how := seconds(work.Seconds()*h.factor), basilwork.RunEndDone
	switch {
	case h.failing:
		took, how = failTime, basilwork.RunEndFailed
	case a.poisoned, w.random.Float64() < errorShare:
		how = basilwork.RunEndFailed
	}
	r.ends = w.now + took
	w.after(took, func() { p.ended(h, s.Ref, r, how) })
}

// ended ends a run at its time, unless it was ended before.
func (p *pool) ended(h *host, ref basilscheduler.Ref, r *run, how basilwork.RunEnd) {
	if h.runs[ref] != r {
		return
	}
	saved := ""
	if how == basilwork.RunEndStopped {
		saved = r.saved(p.world.now)
	}
	h.end(ref, how, saved)
	if how != basilwork.RunEndDone && saved == "" {
		p.world.figures.waste(r, p.world.now)
	}
	p.world.after(callTime, func() { p.report(h) })
}

func (p *pool) stop(s basilscheduler.Stop) {
	h := p.world.hostOf(s.Backend)
	if h == nil {
		return
	}
	p.Stopped(s.Ref, true, p.world.time())
	p.world.after(stopTime, func() {
		if r := h.runs[s.Ref]; r != nil {
			p.ended(h, s.Ref, r, basilwork.RunEndStopped)
		}
	})
}

// report gives the scheduler what a backend server lists.
func (p *pool) report(h *host) {
	if h.pool != p {
		return
	}
	now := p.world.time()
	p.Report(h.backend.ID, h.report(p.world.now, p.Processed()[h.backend.ID]), now, now)
	p.poke()
}

func (p *pool) reportAll() {
	for _, h := range p.world.hosts {
		if h.pool == p && len(h.runs) > 0 {
			p.report(h)
		}
	}
}

// stored takes in that a job's record is stored; a final state counts from then on.
func (p *pool) stored(r basilwork.Record) {
	w := p.world
	if r.State.Final() {
		w.figures.finish(w.jobs[r.Job.ID], r.State, w.now)
	}
	p.Stored(r.Job.ID, w.time())
	p.poke()
}

// submit takes up a job that was accepted.
func (p *pool) submit(a *arrival) {
	w := p.world
	p.AddJob(basilwork.Record{Job: a.job, Accepted: w.time().UnixMilli()}, false)
	p.poke()
	if a.cancelled {
		w.after(cancelAfter, func() {
			p.Cancel(a.job.ID, w.time())
			p.poke()
		})
	}
}

// lasting submits the service's long-running job.
func (p *pool) lasting(s *Service) {
	a := &arrival{at: p.world.now, job: basilwork.Job{ID: lastingJob(s), Queue: lastingJob(s), Steps: []basilwork.Step{{
		Count: s.Lasting, Resources: basilwork.Resources{CPU: int(s.Room), Memory: lastingMemoryMB}, Estimate: startup,
		LongRunning: true, AntiAffinity: s.Apart, MaxUnavailable: 1, HasMaxUnavailable: true,
	}}}, work: []time.Duration{startup}}
	p.world.jobs[a.job.ID] = a
	p.submit(a)
}

// lastingMemoryMB is what a long-running task takes, as on the users' sheets.
const lastingMemoryMB = 4096

func (w *world) poolOf(service string) *pool {
	n := slices.IndexFunc(w.pools, func(p *pool) bool { return p.name == service })
	return w.pools[n]
}
