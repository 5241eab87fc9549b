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
	choices           int   // members compared for one request
	pauseFraction     int64 // a refusal holds requests back for this part of a slot's time; 0 is not at all
	maxEjectedPercent int   // of a pool's members
	random            func() uint32
}

func defaultPolicy() policy {
	return policy{choices: 4, pauseFraction: 2, maxEjectedPercent: 34, random: rand.Uint32}
}

// index returns a random index below n.
func (o *policy) index(n int) int {
	return int(uint64(o.random()) * uint64(n) >> randomShift)
}

// poolView is the immutable membership of one pool.
type poolView struct {
	near []*member // the service's own, in the own data centre
	far  []*member // those of other data centres, and of the spare pool
	all  []*member
}

// pool is the live state of one service.
type pool struct {
	policy   *policy
	view     atomic.Pointer[poolView]
	typical  atomic.Int64 // nanoseconds, the median latency
	sweptAt  atomic.Int64 // Unix nanoseconds
	sweeping sync.Mutex
	sweep    sweep // guarded by sweeping
	budget   retryBudget
}

// request is what one choice has to heed.
type request struct {
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
//
// Another data centre is used only when the own one has no credit left.
func (p *pool) choose(q *request) *member {
	v := p.view.Load()
	if m := p.chooseAmong(v.near, q); m != nil {
		return m
	}
	return p.chooseAmong(v.far, q)
}

func (p *pool) chooseAmong(members []*member, q *request) *member {
	m := p.sample(members, q)
	if m != nil && m.acquire(q) {
		return m
	}
	return p.scan(members, q)
}

func (p *pool) typicalLatency() int64 {
	if t := p.typical.Load(); t > 0 {
		return t
	}
	return int64(latencyInitial)
}

// sample compares a few members drawn at random.
func (p *pool) sample(members []*member, q *request) *member {
	if len(members) == 0 {
		return nil
	}
	typical := p.typicalLatency()
	var best *member
	var bestScore int64
	for range p.policy.choices {
		m := members[p.policy.index(len(members))]
		if m == best || !q.takes(m) {
			continue
		}
		if s := m.score(q.now, typical); best == nil || s < bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// scan takes a credit at the first member that has one, from a random start.
func (p *pool) scan(members []*member, q *request) *member {
	if len(members) == 0 {
		return nil
	}
	start := p.policy.index(len(members))
	for i := range min(len(members), maxScan) {
		m := members[(start+i)%len(members)]
		if q.takes(m) && m.acquire(q) {
			return m
		}
	}
	return nil
}
