package basilentry

import (
	"context"
	"maps"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilpeer"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilqueue"
	"basilstage.example/basilstage/internal/basilrouter"
	"basilstage.example/basilstage/internal/basilview"
)

// Periods of the exchange of demand.
const (
	demandPeriod = 5 * time.Second
	demandLimit  = 15 * time.Second // after which a peer's word is no longer counted
)

// demandService adds up what all entry hosts are asked for, by pool.
type demandService struct {
	queues *basilqueue.Queues
	peers  *peerService

	told map[string]bool // pools that the peers were last told a load of

	mutex sync.Mutex
	heard map[string]heardDemand // by peer
}

// heardDemand is what one peer last said.
type heardDemand struct {
	slots map[string]int
	at    time.Time
}

func newDemandService(q *basilqueue.Queues, p *peerService) *demandService {
	return &demandService{queues: q, peers: p, heard: make(map[string]heardDemand)}
}

// run tells the peers what this entry host is asked for until the context ends.
func (s *demandService) run(ctx context.Context) {
	every(ctx, demandPeriod, func(context.Context) {
		if slots := s.news(s.own(s.peers.control.View())); len(slots) > 0 {
			s.peers.announceLoad(slots)
		}
	})
}

// news adds a zero for each pool that no longer has the load that the peers were told of.
func (s *demandService) news(slots map[string]int) map[string]int {
	for pool := range s.told {
		if _, ok := slots[pool]; !ok {
			slots[pool] = 0
		}
	}
	s.told = make(map[string]bool)
	for pool, n := range slots {
		if n > 0 {
			s.told[pool] = true
		}
	}
	return slots
}

// own returns the slots that this entry host's jobs ask of each pool.
func (s *demandService) own(v *basilview.View) map[string]int {
	slots := make(map[string]int)
	c := v.Configuration()
	for name, l := range s.queues.Loads() {
		if declared, ok := c.Service(name); ok && l.Running+l.Waiting > 0 {
			slots[declared.Pool] += l.Running + l.Waiting
		}
	}
	return slots
}

// hear keeps what a peer says.
func (s *demandService) hear(peer string, load []basilpeer.PoolLoad, now time.Time) {
	slots := make(map[string]int, len(load))
	for _, l := range load {
		slots[l.Pool] = l.Slots
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard[peer] = heardDemand{slots: slots, at: now}
}

// total returns what all entry hosts are asked for at the moment.
func (s *demandService) total(v *basilview.View, now time.Time) basilpool.Demand {
	slots := maps.Clone(s.own(v))
	s.mutex.Lock()
	for peer, h := range s.heard {
		if now.Sub(h.at) > demandLimit {
			delete(s.heard, peer)
			continue
		}
		for pool, n := range h.slots {
			slots[pool] += n
		}
	}
	s.mutex.Unlock()
	d := basilpool.Demand{Pools: make(map[string]float64)}
	for _, p := range v.Configuration().Pools() {
		asked := float64(slots[p.Name]) / basilrouter.DefaultSlots
		d.Pools[p.Name] = asked
		d.Overflow += max(0, asked-float64(active(v, p.Name)))
	}
	return d
}

func active(v *basilview.View, pool string) int {
	n := 0
	for _, h := range v.HostsIn(pool) {
		if h.State() == basilmodel.HostStateActive {
			n++
		}
	}
	return n
}
