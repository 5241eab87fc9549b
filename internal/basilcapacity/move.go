package basilcapacity

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	moveReason       = "move"
	defaultOrderRate = 64               // orders per second, for a platform that doesn't state its limit; the lowest limit of those that do
	moveOrderShare   = 0.5              // share of the orders accepted during one move that may be used for moves between pools
	slowPenaltyTime  = 15 * time.Second // how long a slow host is used last: slow phases last some seconds, and worn hosts stay slow
	consolidateAfter = 3 * time.Second  // how long a pool must have spare hosts before long-running tasks are moved; longer than a dip between jobs
)

// moveState is the state from which moves between pools are chosen.
type moveState struct {
	demands  map[string]*demand
	shortage bool // some pool had too few hosts at the latest decision
}

// isIdle reports whether the pool reported the host's backend server as idle.
func (f *Fleet) isIdle(m *machine) bool {
	return m.Backend != "" && f.reports[m.Pool].idle[m.Backend]
}

// PoolStatus is a pool's supply of hosts and its demand, for logs.
type PoolStatus struct {
	Pool         string `json:"pool"`
	Hosts        int    `json:"size"`     // hosts that serve the pool or are on the way to it
	Need         int    `json:"need"`     // hosts needed now
	RecentNeed   int    `json:"keep"`     // highest recent need
	Idle         int    `json:"idle"`     // idle backend servers
	Unavailable  int    `json:"asked"`    // hosts being evacuated or in maintenance
	Resource     string `json:"resource"` // of which the demand takes most hosts
	Demand       int    `json:"demand"`   // for this resource, in its unit
	ExpectedRise int    `json:"ahead"`    // expected rise of the demand by the time a moved host would arrive
	SteadyDemand int    `json:"steady"`   // demand if work keeps arriving at the present rate
	Share        int    `json:"share"`    // hosts of the fleet that the pool may have, at most those that it claims
	Missing      int    `json:"missing"`  // hosts of its share
	Urgent       int    `json:"urgent"`   // hosts that long-running tasks and gangs lack
	Lacking      int    `json:"lacking"`  // hosts of certain kinds, beyond those on the way

	ReportAge         int64 `json:"answer_age_ms"`   // since the latest report
	UnseenEvacuations int   `json:"unanswered"`      // evacuations that the pool has not seen yet
	OldestEvacuation  int64 `json:"waiting_ms"`      // since the oldest evacuation that is not finished
	RequestSerial     int64 `json:"serial"`          // of the latest request
	SeenSerial        int64 `json:"serial_answered"` // of the latest request that the pool has seen
}

// PoolStatuses returns the state of all pools except standby ones, for logs.
func (f *Fleet) PoolStatuses(now time.Time) []PoolStatus {
	var list []PoolStatus
	for _, b := range f.balances(now) {
		s := PoolStatus{Pool: b.pool, Hosts: b.hosts, Need: b.need, RecentNeed: f.recentNeed(b.pool), Share: b.share, Missing: b.missing, Urgent: b.urgent}
		s.Idle, s.Unavailable = len(f.reports[b.pool].Load.Idle), f.countsOf(b.pool).unavailable
		for _, n := range b.lacking {
			s.Lacking += n.Hosts
		}
		d := f.moves.demands[b.pool]
		_, r := f.hostsForDemand(b.pool, now)
		s.Resource, s.Demand, s.ExpectedRise = r.String(), int(d.trends[r].level), int(d.expectedRise(r, now))
		s.SteadyDemand = int(d.steadyLevel(r, f.reports[b.pool].Load.amounts()[r], now))
		f.addEvacuationProgress(&s, now)
		list = append(list, s)
	}
	return list
}

// addEvacuationProgress adds the progress of the pool's evacuations.
func (f *Fleet) addEvacuationProgress(s *PoolStatus, now time.Time) {
	s.ReportAge = now.Sub(f.reports[s.Pool].at).Milliseconds()
	s.RequestSerial, s.SeenSerial = f.requests[s.Pool].Serial, f.reports[s.Pool].Serial
	for _, m := range f.sorted {
		if m.Pool != s.Pool || !m.evacuating {
			continue
		}
		if m.requestSerial > s.SeenSerial {
			s.UnseenEvacuations++
		}
		if !m.inherited {
			s.OldestEvacuation = max(s.OldestEvacuation, now.Sub(m.requestedAt).Milliseconds())
		}
	}
}

// balance compares the hosts that a pool has with those that it needs.
type balance struct {
	pool     string
	hosts    int // hosts that serve the pool or are on the way to it
	need     int
	unfit    int // hosts that are slow or will stop soon
	share    int // of the hosts of the fleet, at most what the pool claims
	missing  int // hosts of its share
	spare    int
	excess   int        // hosts beyond its highest share during shareDelay
	urgent   int        // hosts of its share that long-running tasks and gangs lack
	lacking  []HostNeed // hosts of certain kinds, beyond those on the way
	arriving int        // hosts of these kinds that are on the way
}

func (f *Fleet) balances(now time.Time) []*balance {
	f.countHosts()
	var list []*balance
	for _, pool := range slices.Sorted(maps.Keys(f.moves.demands)) {
		if f.isStandby(pool) {
			continue
		}
		l := f.reports[pool].Load
		b := &balance{pool: pool, hosts: f.countsOf(pool).serving, unfit: len(l.Slow) + l.Leaving}
		b.lacking, b.arriving = f.lackingHosts(pool, now)
		b.need = f.need(pool, b.arriving, now)
		b.spare = max(0, b.hosts-f.recentNeed(pool)-b.unfit)
		list = append(list, b)
	}
	f.shareOut(list, now)
	for _, b := range list {
		d := f.moves.demands[b.pool]
		d.shares = addSample(d.shares, needSample{now, b.share}, shareDelay)
		b.missing = max(0, min(b.need+b.unfit, b.share)-b.hosts)
		b.excess = max(0, b.hosts-highest(d.shares))
	}
	return list
}

// lacks reports whether the pool has fewer hosts than it needs.
func (b *balance) lacks() bool { return b.need+b.unfit > b.hosts }

// servedPool returns the pool that the host serves or is on the way to; ok is false if it serves none.
func (m *machine) servedPool() (pool string, ok bool) {
	if m.moving || m.orderPending && m.target != "" {
		return m.target, true
	}
	return m.Pool, !m.evacuating && m.Up && !m.inMaintenance && !m.orderPending
}

// hasShortage reports whether some pool lacks hosts, so that maintenance must not take more hosts than needed.
func (f *Fleet) hasShortage() bool { return f.moves.shortage }

// planMoves orders moves of empty hosts to pools that lack hosts, and requests evacuations in pools with spare ones.
func (f *Fleet) planMoves(now time.Time, plan *Plan) {
	if f.standbyPool == "" {
		return
	}
	balances := f.balances(now)
	f.moves.shortage = slices.ContainsFunc(balances, (*balance).lacks)
	slices.SortStableFunc(balances, func(a, b *balance) int {
		return cmp.Or(cmp.Compare(b.urgent, a.urgent), cmp.Compare(b.missing, a.missing))
	})
	f.cancelNeededEvacuations(balances)
	f.moveEvacuated(balances, now, plan)
	f.moveStandby(balances, now, plan)
	f.evacuateSpare(balances, now)
}

// moveEvacuated moves hosts that were evacuated for a move to the pool that lacks the most hosts, else to the standby pool.
func (f *Fleet) moveEvacuated(balances []*balance, now time.Time, plan *Plan) {
	for _, m := range f.sorted {
		if !m.evacuating || m.reason != moveReason || !f.isEmpty(m) || !m.canTakeOrder(now) {
			continue
		}
		target := f.standbyPool
		if b := neediestFor(balances, m); b != nil {
			target = b.pool
			b.add(m)
		}
		f.orderMove(m, target, plan)
	}
}

// moveStandby moves hosts of the standby pool to pools that lack hosts; slow hosts and those due for maintenance go last.
func (f *Fleet) moveStandby(balances []*balance, now time.Time, plan *Plan) {
	if !slices.ContainsFunc(balances, func(b *balance) bool { return b.missing > 0 || len(b.lacking) > 0 }) {
		return
	}
	var list []*machine
	for _, m := range f.sorted {
		if m.Pool == f.standbyPool && m.canTakeOrder(now) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *machine) int {
		return cmp.Or(compareBool(now.Before(a.slowUntil), now.Before(b.slowUntil)), compareBool(a.due, b.due))
	})
	list = f.moveFirstOfEachKind(balances, list, plan)
	for _, m := range list {
		if b := neediestFor(balances, m); b != nil {
			b.add(m)
			f.orderMove(m, b.pool, plan)
		}
	}
}

func (f *Fleet) orderMove(m *machine, target string, plan *Plan) {
	m.orderPending = true
	m.target = target
	plan.Orders = append(plan.Orders, Order{Machine: m.ID, Backend: m.Backend, Pool: target})
}

// evacuateSpare requests evacuation of hosts that pools don't need or that are beyond their share: idle ones first, then those with short runs
// only, and those whose long-running tasks fit elsewhere once a pool has had spare hosts for a while.
func (f *Fleet) evacuateSpare(balances []*balance, now time.Time) {
	inFlight, given, limit := 0, 0, f.maxConcurrentMoves()
	for _, m := range f.sorted {
		if m.moving || m.evacuating && m.reason == moveReason {
			inFlight++
		}
		if !m.moving && m.evacuating && m.reason == moveReason && !f.isUnanswered(m, now) {
			given++
		}
	}
	urgent, wanted := f.hostsForShares(balances)
	urgent, wanted = urgent-given, wanted-given
	for _, b := range balances {
		left := max(b.spare, min(b.hosts-b.share, urgent), min(b.excess, wanted))
		for _, id := range f.releasableBackends(b, now) {
			m := f.backends[id]
			if left <= 0 || inFlight >= limit {
				break
			}
			if m == nil || m.Pool != b.pool || m.evacuating || !m.canTakeOrder(now) || b.spare <= 0 && neediestFor(balances, m) == nil {
				continue
			}
			b.spare--
			left--
			urgent--
			wanted--
			inFlight++
			f.requestEvacuation(m, moveReason, now)
		}
	}
}

// hostsForShares returns how many hosts pools are to give up that they use beyond their shares: at once those that long-running tasks and gangs of
// other pools lack, and all that pools lack if one of them lacks much of its share.
func (f *Fleet) hostsForShares(balances []*balance) (urgent, wanted int) {
	if f.options.KeepUsed {
		return 0, 0
	}
	much := false
	for _, b := range balances {
		urgent += b.urgent
		wanted += b.missing
		much = much || float64(b.missing) > shareMargin*float64(b.share)
	}
	if !much {
		wanted = 0
	}
	return urgent, wanted
}

// maxConcurrentMoves returns the limit of hosts that are moving or being evacuated for a move.
func (f *Fleet) maxConcurrentMoves() int {
	orders := f.options.OrderRate
	if orders <= 0 {
		orders = defaultOrderRate
	}
	return max(1, int(orders*moveOrderShare*f.options.MoveDuration.Seconds()))
}

// releasableBackends returns the backend servers that a pool can release, in order of preference: among idle ones, slow
// ones and those due for maintenance come first.
func (f *Fleet) releasableBackends(b *balance, now time.Time) []string {
	d, report := f.moves.demands[b.pool], f.reports[b.pool]
	switch {
	case b.spare <= 0 && b.hosts <= b.share:
		d.spareSince = time.Time{}
		return nil
	case b.spare <= 0:
		d.spareSince = time.Time{}
	case d.spareSince.IsZero():
		d.spareSince = now
	}
	l, idle := report.Load, slices.Clone(report.Load.Idle)
	due := func(id string) bool { return f.backends[id] != nil && f.backends[id].due }
	slices.SortStableFunc(idle, func(x, y string) int {
		return cmp.Or(compareBool(report.slow[y], report.slow[x]), compareBool(due(y), due(x)))
	})
	if f.options.IdleOnly {
		return idle
	}
	list := append(idle, l.ShortOnly...)
	if len(list) == 0 && len(l.Movable) > 0 && b.spare > 0 && now.Sub(d.spareSince) > consolidateAfter && f.countsOf(b.pool).evacuating == 0 {
		return l.Movable[:1]
	}
	return list
}

// cancelNeededEvacuations cancels evacuations of hosts that their pool needs again; cancelling costs nothing.
func (f *Fleet) cancelNeededEvacuations(balances []*balance) {
	byPool := make(map[string]*balance, len(balances))
	for _, b := range balances {
		byPool[b.pool] = b
	}
	for _, m := range f.sorted {
		b := byPool[m.Pool]
		if b == nil || !m.evacuating || m.reason != moveReason || m.orderPending {
			continue
		}
		if hosts, _ := b.needFor(m); hosts <= 0 {
			continue
		}
		b.add(m)
		f.cancelEvacuation(m.Pool, m.Backend)
		m.evacuating, m.reason, m.target = false, "", ""
	}
}
