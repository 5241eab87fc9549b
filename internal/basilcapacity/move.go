package basilcapacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	moveReason       = "move"
	leastHosts       = 3                       // of a pool: one may fail and one be maintained
	headroom         = 1.15                    // hosts beyond what is asked for, for fragments of room
	lookAhead        = 1800 * time.Millisecond // a move, and the time until its host is found
	keepTime         = 700 * time.Millisecond  // that a pool keeps hosts that it does not need: the next peak needs them at once
	waitingWeight    = 0.7                     // of the waiting work: it need not all run at once to be on time
	rateMemory       = 600 * time.Millisecond  // of the rate at which work arrives
	slopeMemory      = 700 * time.Millisecond  // of the learned change: a peak rises within some two seconds
	maxGrowth        = 1.0                     // of the level within lookAhead
	defaultOrders    = 64                      // per second, of a platform that does not tell what it accepts: the least of those that do
	moveShare        = 0.5                     // of the orders that the platform accepts in the time of a move, for hosts that change between pools
	slowTime         = 15 * time.Second        // that a slow host is used last: slow spells last some seconds, and worn hosts stay slow
	consolidateAfter = 3 * time.Second         // of hosts to spare: longer than a dip between jobs
	defaultHostMC    = 64000                   // thousandths of a core, until a host is listed
)

// demand is what a pool asks for, and how that changes.
type demand struct {
	level  float64 // processor used and wanted, thousandths of a core
	rate   float64 // processor that arriving work keeps busy, thousandths of a core
	total  int64   // of the work that has arrived
	slope  float64 // per second
	at     time.Time
	recent []sample // needs of the last keepTime

	spareSince time.Time // since when the pool has had hosts to spare; zero for not now
}

type sample struct {
	at   time.Time
	need int
}

// mover keeps what is needed to choose moves between pools.
type mover struct {
	demands map[string]*demand
	missing bool // whether a pool had too few hosts when last looked at
}

// note takes in a pool's load.
func (m *mover) note(pool string, l Load, now time.Time) {
	d := m.demands[pool]
	if d == nil {
		d = &demand{}
		m.demands[pool] = d
	}
	level := float64(l.Used) + waitingWeight*float64(l.Wanted)
	if passed := now.Sub(d.at).Seconds(); !d.at.IsZero() && passed > 0 {
		weight := 1 - math.Exp(-passed/slopeMemory.Seconds())
		d.slope += weight * ((level-d.level)/passed - d.slope)
	}
	d.noteArrived(l.Arrived, now)
	d.level, d.at = level, now
}

// noteArrived learns how fast work arrives. A new owner counts from zero again.
func (d *demand) noteArrived(total int64, now time.Time) {
	if passed := now.Sub(d.at).Seconds(); !d.at.IsZero() && passed > 0 && total >= d.total {
		weight := 1 - math.Exp(-passed/rateMemory.Seconds())
		d.rate += weight * (float64(total-d.total)/passed - d.rate)
	}
	d.total = total
}

// need returns how many hosts a pool is to have.
func (f *Fleet) need(pool string, now time.Time) int {
	d := f.mover.demands[pool]
	if d == nil {
		return 0
	}
	l := f.answers[pool].Load
	hosts := int(math.Ceil(max(d.level+d.ahead(now), d.steady(l, now)) * headroom / float64(f.hostSize(pool))))
	hosts = max(hosts, l.Least, leastHosts)
	d.recent = slices.DeleteFunc(d.recent, func(s sample) bool { return now.Sub(s.at) > keepTime })
	d.recent = append(d.recent, sample{now, hosts})
	return hosts
}

// ahead returns what the level is expected to rise by until a host that is sent for now would come.
func (d *demand) ahead(now time.Time) float64 {
	if now.Sub(d.at) > lookAhead {
		return 0
	}
	return min(max(0, d.slope)*lookAhead.Seconds(), maxGrowth*d.level)
}

// steady returns the processor that work keeps busy if it goes on to arrive as it does.
func (d *demand) steady(l Load, now time.Time) float64 {
	rate := d.rate * math.Exp(-now.Sub(d.at).Seconds()/rateMemory.Seconds())
	return float64(l.Serving) + rate + waitingWeight*float64(l.Wanted)
}

// keep returns the most hosts that the pool needed lately.
func (f *Fleet) keep(pool string) int {
	var most int
	for _, s := range f.mover.demands[pool].recent {
		most = max(most, s.need)
	}
	return most
}

func (f *Fleet) hostSize(pool string) int {
	t := f.tallyOf(pool)
	if t.roomy == 0 {
		return defaultHostMC
	}
	return t.room / t.roomy
}

// idle tells whether the host's pool says that nothing runs there.
func (f *Fleet) idle(m *machine) bool {
	return m.Backend != "" && f.answers[m.Pool].idle[m.Backend]
}

// Standing is how many hosts a pool has and should have.
type Standing struct {
	Pool    string `json:"pool"`
	Size    int    `json:"size"`
	Need    int    `json:"need"`
	Keep    int    `json:"keep"`
	Idle    int    `json:"idle"`
	Asked   int    `json:"asked"`
	Demand  int    `json:"demand"` // thousandths of a core
	Ahead   int    `json:"ahead"`  // what that is expected to change by until a host would come
	Steady  int    `json:"steady"` // what arriving work would keep busy
	Missing int    `json:"missing"`

	AnswerAge  int64 `json:"answer_age_ms"`
	Unanswered int   `json:"unanswered"`      // asks that the pool has not seen
	Waiting    int64 `json:"waiting_ms"`      // since the oldest ask that is not carried out
	Serial     int64 `json:"serial"`          // of the newest ask
	Known      int64 `json:"serial_answered"` // of the newest ask that the pool has seen
}

// Standings tells how the pools stand, for logs.
func (f *Fleet) Standings(now time.Time) []Standing {
	var list []Standing
	for _, b := range f.balances(now) {
		s := Standing{Pool: b.pool, Size: b.size, Need: f.need(b.pool, now), Keep: f.keep(b.pool), Missing: b.missing}
		s.Idle, s.Asked = len(f.answers[b.pool].Load.Idle), f.tallyOf(b.pool).emptying
		d := f.mover.demands[b.pool]
		s.Demand, s.Ahead, s.Steady = int(d.level), int(d.ahead(now)), int(d.steady(f.answers[b.pool].Load, now))
		f.tellAsks(&s, now)
		list = append(list, s)
	}
	return list
}

// tellAsks notes how the pool follows what it is asked.
func (f *Fleet) tellAsks(s *Standing, now time.Time) {
	s.AnswerAge = now.Sub(f.answers[s.Pool].at).Milliseconds()
	s.Serial, s.Known = f.asks[s.Pool].Serial, f.answers[s.Pool].Serial
	for _, m := range f.sorted {
		if m.Pool != s.Pool || !m.asked {
			continue
		}
		if m.serial > s.Known {
			s.Unanswered++
		}
		if !m.inherited {
			s.Waiting = max(s.Waiting, now.Sub(m.askedAt).Milliseconds())
		}
	}
}

// balance is how many hosts a pool has and should have.
type balance struct {
	pool    string
	size    int // hosts that serve the pool or are on their way to it
	missing int
	spare   int
}

func (f *Fleet) balances(now time.Time) []*balance {
	f.count()
	var list []*balance
	for _, pool := range slices.Sorted(maps.Keys(f.mover.demands)) {
		if f.off(pool) {
			continue
		}
		b := &balance{pool: pool, size: f.tallyOf(pool).serving}
		need := f.need(pool, now)
		l := f.answers[pool].Load
		unfit := len(l.Slow) + l.Leaving
		b.missing = max(0, need+unfit-b.size)
		b.spare = max(0, b.size-f.keep(pool)-unfit)
		list = append(list, b)
	}
	return list
}

// serves returns the pool that the host serves, or will soon.
func (m *machine) serves() (pool string, ok bool) {
	if m.moving || m.ordering && m.target != "" {
		return m.target, true
	}
	return m.Pool, !m.asked && m.Up && !m.maintained && !m.ordering
}

// pressed tells whether hosts are wanted more than their upkeep.
func (f *Fleet) pressed() bool { return f.mover.missing }

// move orders the moves that are due and asks for hosts to be emptied for others.
func (f *Fleet) move(now time.Time, plan *Plan) {
	if f.standby == "" {
		return
	}
	balances := f.balances(now)
	f.mover.missing = wanting(balances) != nil
	slices.SortStableFunc(balances, func(a, b *balance) int { return cmp.Compare(b.missing, a.missing) })
	f.keepAsked(balances)
	f.sendEmptied(balances, now, plan)
	f.sendStandby(balances, now, plan)
	f.askSpare(balances, now)
}

// wanting returns the pool that misses most hosts, or nil.
func wanting(balances []*balance) *balance {
	var most *balance
	for _, b := range balances {
		if b.missing > 0 && (most == nil || b.missing > most.missing) {
			most = b
		}
	}
	return most
}

// sendEmptied moves hosts that were emptied for a move to the pool that misses most, or to the standby pool.
func (f *Fleet) sendEmptied(balances []*balance, now time.Time, plan *Plan) {
	for _, m := range f.sorted {
		if !m.asked || m.reason != moveReason || !f.empty(m) || !m.free(now) {
			continue
		}
		target := f.standby
		if b := wanting(balances); b != nil && b.pool != m.Pool {
			target = b.pool
			b.missing--
		}
		f.orderMove(m, target, plan)
	}
}

// sendStandby moves hosts that are off to pools that miss some.
func (f *Fleet) sendStandby(balances []*balance, now time.Time, plan *Plan) {
	if wanting(balances) == nil {
		return
	}
	var list []*machine
	for _, m := range f.sorted {
		if m.Pool == f.standby && m.free(now) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *machine) int {
		return cmp.Or(compareBool(now.Before(a.slow), now.Before(b.slow)), compareBool(a.due, b.due))
	})
	for _, m := range list {
		b := wanting(balances)
		if b == nil {
			return
		}
		b.missing--
		f.orderMove(m, b.pool, plan)
	}
}

func (f *Fleet) orderMove(m *machine, target string, plan *Plan) {
	m.ordering = true
	m.target = target
	plan.Orders = append(plan.Orders, Order{Machine: m.ID, Backend: m.Backend, Pool: target})
}

// askSpare has pools empty hosts that they do not need: idle ones, then those whose runs are short, and once a
// pool has had too many for a while, those whose long-running tasks fit elsewhere.
func (f *Fleet) askSpare(balances []*balance, now time.Time) {
	inFlight, most := 0, f.movesAtOnce()
	for _, m := range f.sorted {
		if m.moving || m.asked && m.reason == moveReason {
			inFlight++
		}
	}
	for _, b := range balances {
		for _, id := range f.spareOf(b, now) {
			m := f.backends[id]
			if b.spare <= 0 || inFlight >= most {
				break
			}
			if m == nil || m.Pool != b.pool || m.asked || !m.free(now) {
				continue
			}
			b.spare--
			inFlight++
			f.ask(m, moveReason, now)
		}
	}
}

// movesAtOnce returns how many hosts may be emptied for moves or moving.
func (f *Fleet) movesAtOnce() int {
	orders := f.options.Orders
	if orders <= 0 {
		orders = defaultOrders
	}
	return max(1, int(orders*moveShare*f.options.Migrate.Seconds()))
}

// spareOf returns the backend servers that a pool gives up first to last, of hosts without work those first that wait for upkeep.
func (f *Fleet) spareOf(b *balance, now time.Time) []string {
	d, answer := f.mover.demands[b.pool], f.answers[b.pool]
	if b.spare <= 0 {
		d.spareSince = time.Time{}
		return nil
	}
	if d.spareSince.IsZero() {
		d.spareSince = now
	}
	l, idle := answer.Load, slices.Clone(answer.Load.Idle)
	due := func(id string) bool { return f.backends[id] != nil && f.backends[id].due }
	slices.SortStableFunc(idle, func(x, y string) int {
		return cmp.Or(compareBool(answer.slow[y], answer.slow[x]), compareBool(due(y), due(x)))
	})
	if f.options.IdleOnly {
		return idle
	}
	list := append(idle, l.Brief...)
	if len(list) == 0 && len(l.Movable) > 0 && now.Sub(d.spareSince) > consolidateAfter && f.tallyOf(b.pool).asked == 0 {
		return l.Movable[:1]
	}
	return list
}

// keepAsked takes back asks for hosts that their pool needs again; that costs nothing.
func (f *Fleet) keepAsked(balances []*balance) {
	byPool := make(map[string]*balance, len(balances))
	for _, b := range balances {
		byPool[b.pool] = b
	}
	for _, m := range f.sorted {
		b := byPool[m.Pool]
		if b == nil || b.missing <= 0 || !m.asked || m.reason != moveReason || m.ordering {
			continue
		}
		b.missing--
		f.unask(m.Pool, m.Backend)
		m.asked, m.reason, m.target = false, "", ""
	}
}
