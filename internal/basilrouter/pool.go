package basilrouter

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	maxScan     = 1024 // members looked at when the sample held none with a credit
	randomShift = 32
)

// policy holds what a choice goes by.
type policy struct {
	choices       int   // members compared for one request
	highUsed      int64 // thousandths of the credits; from there on other data centres are used
	lowUsed       int64 // thousandths of the credits; down there only the own data centre is used
	random        func() uint32
	pauseFraction int64
}

func defaultPolicy() policy {
	return policy{choices: 2, highUsed: 900, lowUsed: 600, random: rand.Uint32, pauseFraction: 1}
}

// index returns a random index below n.
func (o *policy) index(n int) int {
	return int(uint64(o.random()) * uint64(n) >> randomShift)
}

// poolView is the immutable membership of one pool.
type poolView struct {
	near []*member // in the own data centre
	far  []*member
	all  []*member
}

// pool is the live state of one service.
type pool struct {
	view     atomic.Pointer[poolView]
	typical  atomic.Int64 // nanoseconds, the median latency
	spilling atomic.Bool  // other data centres are in use
	sweptAt  atomic.Int64 // Unix nanoseconds
	sweeping sync.Mutex
	sweep    sweep // guarded by sweeping
	budget   retryBudget
}

// request is what one choice has to heed.
type request struct {
	policy  *policy
	now     int64
	probe   bool // may go to an ejected member that is due
	probing bool // went to one; set by the choice
	exclude []string
}

func (q *request) takes(m *member) bool {
	return m.host.credit.free() && !m.host.credit.paused(q.now) && m.usable(q.now, q.probe) && !q.excludes(m)
}

func (q *request) excludes(m *member) bool {
	return len(q.exclude) > 0 && slices.Contains(q.exclude, m.host.backend.Load().Host)
}

// choose takes a credit at the best member it finds, or returns nil.
func (p *pool) choose(q *request) *member {
	v := p.view.Load()
	typical := p.typicalLatency()
	m := sample(v.near, q, typical)
	if p.steer(m, len(v.near), q.policy) {
		m = better(m, sample(v.far, q, typical), q.now, typical)
	}
	if m != nil && m.acquire(q) {
		return m
	}
	if m := scan(v.near, q); m != nil {
		return m
	}
	return scan(v.far, q)
}

// steer tells whether other data centres may be used, by how full the own one looks.
func (p *pool) steer(m *member, near int, o *policy) bool {
	spilling := p.spilling.Load()
	switch {
	case near == 0:
		return true
	case m == nil:
		return spilling
	}
	used := m.host.credit.used()
	if !spilling && used >= o.highUsed {
		p.spilling.Store(true)
		return true
	}
	if spilling && used <= o.lowUsed {
		p.spilling.Store(false)
		return false
	}
	return spilling
}

func (p *pool) typicalLatency() int64 {
	if t := p.typical.Load(); t > 0 {
		return t
	}
	return int64(latencyInitial)
}

// sample compares a few members drawn at random.
func sample(members []*member, q *request, typical int64) *member {
	if len(members) == 0 {
		return nil
	}
	var best *member
	var bestScore int64
	for range q.policy.choices {
		m := members[q.policy.index(len(members))]
		if m == best || !q.takes(m) {
			continue
		}
		if s := m.score(q.now, typical); best == nil || s < bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

func better(a, b *member, now, typical int64) *member {
	if a == nil {
		return b
	}
	if b == nil || a.score(now, typical) <= b.score(now, typical) {
		return a
	}
	return b
}

// scan takes a credit at the first member that has one, from a random start.
func scan(members []*member, q *request) *member {
	if len(members) == 0 {
		return nil
	}
	start := q.policy.index(len(members))
	for i := range min(len(members), maxScan) {
		m := members[(start+i)%len(members)]
		if q.takes(m) && m.acquire(q) {
			return m
		}
	}
	return nil
}
