package basilcapacity

import (
	"slices"
	"sort"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Sharing -trimprefix=Sharing -transform=snake -output=sharing_enumer.go

const (
	shareDelay = time.Second // how long a pool's share must be lower before it gives up hosts that it uses; shares follow demands that vary with each report
	// shareMargin is the part of its share that a pool must lack before others give up hosts that they use, as the evacuation and the move of a
	// host cost two to three seconds of it.
	shareMargin = 0.125
)

// Sharing is the rule by which pools share the hosts if these are too few for all of them.
type Sharing int

// Rules; those after the first are baselines for experiments.
const (
	SharingMaxMin      Sharing = iota // long-running tasks and gangs first, then all other work, each max-min fair
	SharingFloor                      // long-running tasks and gangs first, then to the pools that lack the most
	SharingMostMissing                // to the pools that lack the most
)

// Stages of claims.
const (
	claimLasting = iota // for long-running tasks and gangs
	claimAll
)

// claim is how many hosts a pool claims, in the order in which claims are met: each includes the ones before it.
type claim [claimAll + 1]int

// claimOf returns the claim of a pool.
func (f *Fleet) claimOf(b *balance, unanswered bool, now time.Time) claim {
	l := f.reports[b.pool].Load
	lasting, lacking := lastingOf(l.Lacking)-lastingOf(b.lacking), 0
	for n := range b.lacking {
		found := f.countMatching(&b.lacking[n], b.pool, now)
		lasting += min(found, b.lacking[n].Lasting)
		lacking += found
	}
	if lasting > 0 {
		lasting += max(0, b.hosts-l.Listed-b.arriving) // hosts that have not come up
	}
	c := claim{claimLasting: max(minPoolHosts, l.LastingHosts+lasting, f.servingHosts(b.pool)), claimAll: b.need}
	if lacking > 0 {
		c[claimAll] = max(b.need, b.hosts-b.unfit+lacking)
	}
	held := min(b.hosts, f.heldHosts(b.pool))
	if unanswered {
		held = b.hosts
	}
	c[claimLasting], c[claimAll] = max(c[claimLasting], held-b.unfit), max(c[claimAll], held-b.unfit)
	c[claimLasting] = min(c[claimLasting], c[claimAll])
	for n := range c {
		c[n] += b.unfit
	}
	return c
}

// heldHosts returns how many hosts the pool can't give up, as they are neither idle nor have short runs only, as far as its report tells.
func (f *Fleet) heldHosts(pool string) int {
	l, t := f.reports[pool].Load, f.countsOf(pool)
	if len(l.ShortOnly) >= maxReportedBackends {
		return 0
	}
	return t.listed - t.unavailable - len(l.Idle) - len(l.ShortOnly)
}

// lastingOf returns how many of the needed hosts are for long-running tasks and gangs.
func lastingOf(needs []HostNeed) int {
	var hosts int
	for n := range needs {
		hosts += needs[n].Lasting
	}
	return hosts
}

// countMatching returns how many hosts outside the pool match the need, at most as many as it needs.
func (f *Fleet) countMatching(n *HostNeed, pool string, now time.Time) int {
	var found int
	for _, m := range f.sorted {
		if found == n.Hosts {
			break
		}
		if f.isShared(m, now) && m.Pool != pool && n.matches(m) {
			found++
		}
	}
	return found
}

// isShared reports whether the host is one of those that pools share: it serves one that has reported or the standby pool, or is being evacuated
// for a move by an owner that answers.
func (f *Fleet) isShared(m *machine, now time.Time) bool {
	pool, serves := m.servedPool()
	if serves {
		return f.moves.demands[pool] != nil || f.isStandby(pool)
	}
	return m.evacuating && m.reason == moveReason && m.Up && !m.inMaintenance && !f.isUnanswered(m, now)
}

// isUnanswered reports whether the pool should have seen that the host is to be evacuated and has not: its owner may be away.
func (f *Fleet) isUnanswered(m *machine, now time.Time) bool {
	return m.requestSerial > f.reports[m.Pool].Serial && now.Sub(m.requestedAt) > shareDelay
}

// servingHosts returns how many hosts the demand of the pool's long-running tasks takes.
func (f *Fleet) servingHosts(pool string) int {
	var most int
	for r, a := range f.reports[pool].Load.amounts() {
		if size := f.averageCapacity(pool, resource(r)); size > 0 {
			most = max(most, (a.Serving+size-1)/size)
		}
	}
	return most
}

// shareOut sets the shares of all pools. A pool's share is what it claims if there are hosts for all claims.
func (f *Fleet) shareOut(balances []*balance, now time.Time) {
	if len(balances) == 0 {
		return
	}
	var hosts int
	unanswered := make(map[string]bool)
	for _, m := range f.sorted {
		if f.isShared(m, now) {
			hosts++
		} else if m.evacuating && f.isUnanswered(m, now) {
			unanswered[m.Pool] = true
		}
	}
	claims, shares := make([]claim, len(balances)), make([]int, len(balances))
	for n, b := range balances {
		claims[n] = f.claimOf(b, unanswered[b.pool], now)
	}
	for stage := range claimAll + 1 {
		caps := make([]int, len(balances))
		for n := range claims {
			caps[n] = claims[n][stage]
		}
		if f.options.Sharing == SharingFloor && stage == claimAll {
			raiseMostMissing(shares, caps, hosts)
		} else {
			raise(shares, caps, hosts)
		}
	}
	for n, b := range balances {
		b.share = shares[n]
		b.urgent = max(0, min(b.share, claims[n][claimLasting])-b.hosts)
		if f.options.Sharing == SharingMostMissing {
			b.share, b.urgent = claims[n][claimAll], 0
		}
	}
}

// raise raises shares up to their caps until all hosts are shared out, the smallest first.
func raise(shares, caps []int, hosts int) {
	fillShares(shares, hosts, hosts, func(n, level int) int { return min(caps[n], level) })
}

// raiseMostMissing raises shares up to their caps until all hosts are shared out, those furthest below their caps first.
func raiseMostMissing(shares, caps []int, hosts int) {
	most := slices.Max(caps)
	fillShares(shares, hosts, most, func(n, level int) int { return caps[n] - max(0, most-level) })
}

// fillShares raises shares to the highest level for which the hosts suffice. The hosts that are left go to the first pools that a higher level
// would give more.
func fillShares(shares []int, hosts, highest int, at func(n, level int) int) {
	total := func(level int) int {
		var sum int
		for n := range shares {
			sum += max(shares[n], at(n, level))
		}
		return sum
	}
	level := max(0, sort.Search(highest+1, func(l int) bool { return total(l) > hosts })-1)
	left := hosts - total(level)
	for n := range shares {
		share := max(shares[n], at(n, level))
		if left > 0 && at(n, level+1) > share {
			share++
			left--
		}
		shares[n] = share
	}
}
