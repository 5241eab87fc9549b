package basilrouter

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	maxScan     = 1024 // members examined if no sampled member can accept the request
	randomShift = 32
)

// policy holds the parameters of backend selection.
type policy struct {
	sampleSize        int   // number of random members that are compared for a request
	pauseDivisor      int64 // divides the pause after a refusal, see creditWindow.pause; 0 disables it
	maxEjectedPercent int   // share of a service's members that may be ejected
	random            func() uint32
}

func defaultPolicy() policy {
	return policy{sampleSize: 4, pauseDivisor: 2, maxEjectedPercent: 34, random: rand.Uint32}
}

// randomIndex returns a random index below n.
func (p *policy) randomIndex(n int) int {
	return int(uint64(p.random()) * uint64(n) >> randomShift)
}

// poolMembers is an immutable snapshot of a service's members.
type poolMembers struct {
	preferred []*member // the service's own backend servers in the entry host's data centre
	fallback  []*member // backend servers of other data centres and of the spare pool
	all       []*member
}

// servicePool is the live state of one service and its members.
type servicePool struct {
	policy        *policy
	snapshot      atomic.Pointer[poolMembers]
	medianLatency atomic.Int64 // nanoseconds; 0 if unknown
	sweptAt       atomic.Int64 // Unix nanoseconds of the last sweep
	sweepMu       sync.Mutex
	sweep         outlierSweep // guarded by sweepMu
	budget        retryBudget
}

// pickRequest holds the conditions of one pick.
type pickRequest struct {
	now        int64
	earlyProbe bool // the job may be used as a probe as soon as one is due, not only after nonIdempotentProbeDelay
	isProbe    bool // set if the pick took a probe slot
	exclude    []string
}

func (q *pickRequest) accepts(m *member) bool {
	return m.host.credits.hasFree() && !m.host.credits.paused(q.now) && m.usable(q.now, q.earlyProbe) && !q.excludes(m)
}

func (q *pickRequest) excludes(m *member) bool {
	return len(q.exclude) > 0 && slices.Contains(q.exclude, m.host.backend.Load().Host)
}

// choose takes a credit of the best member found, or returns nil.
//
// Other data centres and the spare pool are used only if no preferred member can accept the request.
func (p *servicePool) choose(q *pickRequest) *member {
	members := p.snapshot.Load()
	if m := p.chooseAmong(members.preferred, q); m != nil {
		return m
	}
	return p.chooseAmong(members.fallback, q)
}

func (p *servicePool) chooseAmong(members []*member, q *pickRequest) *member {
	m := p.sample(members, q)
	if m != nil && m.acquire(q) {
		return m
	}
	return p.scan(members, q)
}

// typicalLatency returns the median latency of the members, or latencyInitial if it is unknown.
func (p *servicePool) typicalLatency() int64 {
	if t := p.medianLatency.Load(); t > 0 {
		return t
	}
	return int64(latencyInitial)
}

// sample returns the member with the lowest score among a few random ones, or nil.
func (p *servicePool) sample(members []*member, q *pickRequest) *member {
	if len(members) == 0 {
		return nil
	}
	typical := p.typicalLatency()
	var best *member
	var bestScore int64
	for range p.policy.sampleSize {
		m := members[p.policy.randomIndex(len(members))]
		if m == best || !q.accepts(m) {
			continue
		}
		if s := m.score(q.now, typical); best == nil || s < bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// scan takes a credit of the first member that accepts the request, from a random start.
func (p *servicePool) scan(members []*member, q *pickRequest) *member {
	if len(members) == 0 {
		return nil
	}
	start := p.policy.randomIndex(len(members))
	for i := range min(len(members), maxScan) {
		m := members[(start+i)%len(members)]
		if q.accepts(m) && m.acquire(q) {
			return m
		}
	}
	return nil
}
