package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	hostNeedMaxAge = 100 * time.Millisecond // how long a count of needed hosts stays valid; a host takes over a second to arrive
	// countTimePerStep is the minimum time between two counts, per waiting step. Counting a step takes about 0.1 µs, so counts use about
	// 1% of the time for any number of waiting steps.
	countTimePerStep = 10 * time.Microsecond
	maxHostNeeds     = 8   // kinds of hosts that a pool lacks at once; each report is billed by its size
	maxLabelBytes    = 256 // of a label that hosts are asked for: a report has to fit a row of 64 KB, and labels of jobs have no limit of their own
	maxHostSearches  = 128 // searches over all backend servers in one count; that many over 250 of them take 0.1 ms
)

// HostNeed says how many hosts a pool lacks for waiting work that finds no room on those it has, not even once all runs that don't last
// have ended.
type HostNeed struct {
	Label     string              // that the hosts must have; empty if any will do
	Resources basilwork.Resources // that each of them must have at least
	Hosts     int
	Lasting   int // of them for long-running tasks and gangs
}

// hostNeeds is the need of the waiting work counted in hosts, as of a point in time.
//
// The sum of the free room doesn't tell whether work that needs most of a host, or a label, finds room anywhere.
type hostNeeds struct {
	countedAt time.Time
	waiting   int // number of waiting tasks at the count
	present   int // backend servers that the pool has and isn't asked to evacuate
	kept      int // sound ones of these without those that the pool could do without; 0 if no work needs whole hosts
	lacking   []HostNeed
	lasting   int // hosts of those present that long-running tasks and gangs need, if any hosts are lacking
}

// hostCount is the state of counting the needed hosts.
type hostCount struct {
	hosts        []hostRoom
	ended        int // number of listed backend servers that have ended
	occupied     int // number of hosts with runs that last
	largestEmpty basilwork.Resources
	labels       []labelRoom // by label index of the waiting steps
	fits         map[hostClass]hostFit
	searches     int
	groups       []hostGroup
}

// hostRoom is the room of a backend server once all runs that don't last have ended.
type hostRoom struct {
	*backend
	room  basilwork.Resources
	empty bool // no run on it lasts
	taken bool // needed by a group
}

// labelRoom is the room beside runs that last on two backend servers with a label: the one with the most cores and the one with the most memory.
type labelRoom struct {
	mostCPU, mostMemory basilwork.Resources
	known               bool
}

// hostClass is what decides on which hosts a task fits.
type hostClass struct {
	label  int
	demand basilwork.Resources
}

// hostFit says where a class of tasks has room.
type hostFit struct {
	beside bool                // beside runs that last
	empty  bool                // on a host without such runs
	size   basilwork.Resources // of a host that holds the class: the largest one present, or the demand itself if none does
}

// hostGroup collects work that needs empty hosts with the same label and size.
type hostGroup struct {
	label   string
	demand  basilwork.Resources // maximum of the tasks
	size    basilwork.Resources
	packed  int                 // hosts taken by tasks that have no host, and by long-running ones
	lasting int                 // of these, hosts of long-running ones
	left    basilwork.Resources // on the last of these
	waiting basilwork.Resources // total demand of the short tasks for which a host comes free
	gang    int                 // hosts of the gang that needs the most; gangs can run one after the other
}

// hostNeeds returns the need of the waiting work counted in hosts.
func (p *Pool) hostNeeds(now time.Time) *hostNeeds {
	n := &p.hostNeed
	maxAge := max(hostNeedMaxAge, time.Duration(len(p.waiting.list))*countTimePerStep)
	if now.Sub(n.countedAt) < maxAge && (n.waiting == 0) == (p.backlog.waiting == 0) {
		return n
	}
	*n = hostNeeds{countedAt: now, waiting: p.backlog.waiting}
	if n.waiting == 0 {
		return n
	}
	c := p.newHostCount(now)
	if len(c.hosts)+c.ended == 0 {
		return n // the list of backend servers may not be known yet
	}
	for i := range p.waiting.list {
		c.add(&p.waiting.list[i], p)
	}
	if len(c.groups) == 0 {
		return n
	}
	for _, b := range p.list {
		if b.present && !b.evacuating && !b.ended {
			n.present++
		}
	}
	n.lacking, n.lasting = c.lacking()
	n.kept = len(c.hosts)
	for i := range c.hosts {
		if c.hosts[i].empty && !c.hosts[i].taken {
			n.kept--
		}
	}
	return n
}

// newHostCount collects the sound backend servers, including those that have not answered yet.
func (p *Pool) newHostCount(now time.Time) *hostCount {
	c := &hostCount{fits: make(map[hostClass]hostFit), labels: make([]labelRoom, len(p.waiting.labels))}
	for _, b := range p.list {
		if b.present && b.ended {
			c.ended++
			continue
		}
		if !b.present || b.evacuating || b.Draining || p.slow(b, now) {
			continue
		}
		h := hostRoom{backend: b, room: b.roomBesideLasting()}
		h.empty = h.room == b.Resources
		if !h.empty {
			c.occupied++
		} else if h.room.CPU > c.largestEmpty.CPU {
			c.largestEmpty = h.room
		}
		c.hosts = append(c.hosts, h)
	}
	return c
}

// add counts the hosts that the waiting tasks of a step need.
func (c *hostCount) add(w *candidate, p *Pool) {
	s := w.step
	if !s.hasWaiting() || p.heldBack(s) {
		return
	}
	apart := s.spec.LongRunning && s.spec.AntiAffinity > 0
	if !apart && c.fitsBeside(w, p) || s.spec.Gang && s.idle < len(s.tasks) {
		return
	}
	if s.spec.Gang {
		c.addGang(s)
		return
	}
	f, ok := c.fitOf(w, apart)
	if !ok || f.beside {
		return
	}
	g := c.groupOf(s.spec.Label, w.demand, f.size)
	switch {
	case g == nil:
	case f.empty && !s.spec.LongRunning:
		g.waiting = g.waiting.Add(multiply(w.demand, s.idle))
	default:
		packed := g.packed
		g.pack(s.idle, w.demand, s.perHost(f.size))
		if s.spec.LongRunning {
			g.lasting += max(1, g.packed-packed)
		}
	}
}

// fitsBeside reports whether it is known without a search that the tasks fit beside runs that last, or on any host of a pool without such runs.
func (c *hostCount) fitsBeside(w *candidate, p *Pool) bool {
	if w.step.spec.Gang {
		return false
	}
	if w.step.spec.Label == "" && c.occupied == 0 && c.largestEmpty.Covers(w.demand) {
		return true
	}
	r := &c.labels[w.labelIndex]
	if !r.known && c.searches < maxHostSearches {
		c.searches++
		r.known, r.mostCPU, r.mostMemory = true, noRoom, noRoom
		for n := range c.hosts {
			h := &c.hosts[n]
			if h.empty || !h.hasLabel(p.waiting.labels[w.labelIndex]) {
				continue
			}
			if h.room.CPU > r.mostCPU.CPU {
				r.mostCPU = h.room
			}
			if h.room.Memory > r.mostMemory.Memory {
				r.mostMemory = h.room
			}
		}
	}
	return r.known && (r.mostCPU.Covers(w.demand) || r.mostMemory.Covers(w.demand))
}

// fitOf returns where a task of the step has room; ok is false if there were too many searches. With apart set, hosts where the
// anti-affinity of the step allows none don't count.
func (c *hostCount) fitOf(w *candidate, apart bool) (f hostFit, ok bool) {
	class := hostClass{w.labelIndex, w.demand}
	if f, ok = c.fits[class]; ok && !apart {
		return f, true
	}
	if c.searches >= maxHostSearches {
		return hostFit{}, false
	}
	c.searches++
	f = hostFit{size: w.demand}
	for n := range c.hosts {
		h := &c.hosts[n]
		if !h.hasLabel(w.step.spec.Label) || !h.Resources.Covers(w.demand) {
			continue
		}
		if h.Resources.CPU > f.size.CPU || h.Resources.CPU == f.size.CPU && h.Resources.Memory > f.size.Memory {
			f.size = h.Resources
		}
		if h.room.Covers(w.demand) && (!apart || w.step.antiAffinityAllows(h.backend)) {
			f.empty = f.empty || h.empty
			f.beside = f.beside || !h.empty
		}
	}
	if !apart {
		c.fits[class] = f
	}
	return f, true
}

// addGang counts the hosts that a gang needs, all at once.
func (c *hostCount) addGang(s *step) {
	if c.searches >= maxHostSearches {
		return
	}
	c.searches++
	left, size := len(s.tasks), s.demand
	var empty []int // how many members fit on each empty host
	for n := range c.hosts {
		h := &c.hosts[n]
		if !h.hasLabel(s.spec.Label) || !h.Resources.Covers(s.demand) {
			continue
		}
		if h.Resources.CPU > size.CPU || h.Resources.CPU == size.CPU && h.Resources.Memory > size.Memory {
			size = h.Resources
		}
		if fit := s.perHost(h.room); h.empty {
			empty = append(empty, fit)
		} else {
			left -= fit
		}
	}
	hosts := 0
	for ; left > 0 && hosts < len(empty); hosts++ {
		left -= empty[hosts]
	}
	if left > 0 {
		hosts += ceilDivide(left, max(1, s.perHost(size)))
	}
	if hosts == 0 {
		return
	}
	if g := c.groupOf(s.spec.Label, s.demand, size); g != nil {
		g.gang = max(g.gang, hosts)
	}
}

// perHost returns how many tasks of the step may run at once in the given room of one host.
func (s *step) perHost(room basilwork.Resources) int {
	count := s.spec.Count
	if s.spec.AntiAffinity > 0 {
		count = min(count, s.spec.AntiAffinity)
	}
	return min(count, timesIn(room, s.demand))
}

// timesIn returns how many times the demand fits into the room.
func timesIn(room, demand basilwork.Resources) int {
	times := func(all, each int) int {
		if each <= 0 {
			return maxTimes
		}
		return max(0, all/each)
	}
	return min(times(room.CPU, demand.CPU), times(room.Memory, demand.Memory), times(room.GPU, demand.GPU))
}

// maxTimes is a number of tasks that no step exceeds.
const maxTimes = 1 << 30

// groupOf returns the group for tasks with the label and the demand on hosts of the size, or nil if it is one too many.
func (c *hostCount) groupOf(label string, demand, size basilwork.Resources) *hostGroup {
	for n := range c.groups {
		if g := &c.groups[n]; g.label == label && g.size == size {
			g.demand = g.demand.Max(demand)
			return g
		}
	}
	if len(c.groups) == maxHostNeeds || len(label) > maxLabelBytes {
		return nil
	}
	c.groups = append(c.groups, hostGroup{label: label, demand: demand, size: size})
	return &c.groups[len(c.groups)-1]
}

// pack adds tasks, of which a host holds some at once, to the hosts of the group.
func (g *hostGroup) pack(count int, demand basilwork.Resources, perHost int) {
	perHost = max(1, perHost)
	fill := min(count, perHost, timesIn(g.left, demand))
	if g.packed == 0 {
		fill = 0
	}
	g.left = g.left.Sub(multiply(demand, fill))
	if count -= fill; count == 0 {
		return
	}
	hosts := (count + perHost - 1) / perHost
	g.packed += hosts
	g.left = g.size.Sub(multiply(demand, count-(hosts-1)*perHost))
}

// hostCount returns how many empty hosts the group takes.
//
// Short tasks for which a host comes free are counted by their total demand, as the load of the pool is.
func (g *hostGroup) hostCount() int {
	return max(1, g.gang, g.packed+max(ceilDivide(g.waiting.CPU, g.size.CPU), ceilDivide(g.waiting.Memory, g.size.Memory), ceilDivide(g.waiting.GPU, g.size.GPU)))
}

func ceilDivide(a, b int) int {
	if b <= 0 {
		return 0
	}
	return (a + b - 1) / b
}

// lacking takes empty hosts for the groups, those with a label first, and returns what is missing, and how many of those present long-running
// tasks and gangs need.
func (c *hostCount) lacking() (needs []HostNeed, lasting int) {
	slices.SortStableFunc(c.groups, func(a, b hostGroup) int { return cmp.Compare(min(len(b.label), 1), min(len(a.label), 1)) })
	lasting = c.occupied
	for _, g := range c.groups {
		left := g.hostCount()
		lastingLeft := min(left, max(g.lasting, g.gang))
		for n := range c.hosts {
			h := &c.hosts[n]
			if left > 0 && h.empty && !h.taken && h.hasLabel(g.label) && h.room.Covers(g.demand) {
				h.taken = true
				left--
				if lastingLeft > 0 {
					lastingLeft--
					lasting++
				}
			}
		}
		if left > 0 {
			needs = append(needs, HostNeed{Label: g.label, Resources: g.demand, Hosts: left, Lasting: min(left, lastingLeft)})
		}
	}
	return needs, lasting
}

// lastingLacked returns how many hosts long-running tasks and gangs lack.
func lastingLacked(needs []HostNeed) int {
	var hosts int
	for _, n := range needs {
		hosts += n.Lasting
	}
	return hosts
}
