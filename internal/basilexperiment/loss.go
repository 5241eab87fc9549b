package basilexperiment

import (
	"math/rand/v2"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	burstAt    = 2 * time.Second // of the start of a burst, after the first job
	lostAt     = 4 * time.Second // of the loss of hosts, after the first job: amid a burst
	unlistTime = time.Second     // from the loss of a host until its pool doesn't list its backend server
	lossTime   = 4 * time.Second // until the runs there count as lost: their leases have to end
)

// loser returns the pool that loses hosts.
func (w *world) loser() *pool { return w.pools[len(w.pools)-1] }

// loseHosts takes a share of the last service's hosts away for good.
func (w *world) loseHosts() {
	p := w.loser()
	var hosts []*host
	for _, h := range w.hosts {
		if h.pool == p && h.listed {
			hosts = append(hosts, h)
		}
	}
	r := rand.New(rand.NewPCG(uint64(len(hosts)), 1<<33))
	r.Shuffle(len(hosts), func(a, b int) { hosts[a], hosts[b] = hosts[b], hosts[a] })
	for _, h := range hosts[:int(w.load.Lost*float64(len(hosts)))] {
		id := h.backend.ID
		h.leave()
		w.after(unlistTime, p.list)
		w.after(lossTime, func() {
			p.Lost(id, basilwork.LossExpired, w.time())
			p.poke()
		})
	}
}

// absence measures for how long long-running tasks are not at work.
type absence struct {
	world  *world
	atWork map[basilwork.TaskID]time.Duration // since when the task was last seen at work
}

func newAbsence(w *world) *absence {
	a := &absence{world: w, atWork: make(map[basilwork.TaskID]time.Duration)}
	for n := range w.load.Services {
		s := &w.load.Services[n]
		for i := range s.Lasting {
			a.atWork[basilwork.TaskID{Job: lastingJob(s), Index: i}] = warmUp
		}
	}
	return a
}

// sample looks at all hosts now.
func (a *absence) sample() {
	for _, h := range a.world.hosts {
		for ref, r := range h.runs {
			if r.lasts && r.percent(a.world.now) == 100 {
				a.atWork[ref.Task] = a.world.now
			}
		}
	}
	for _, at := range a.atWork {
		a.world.figures.Away = max(a.world.figures.Away, a.world.now-at)
	}
}

func lastingJob(s *Service) string { return "lasting-" + s.Name }
