package basilqueue

import "time"

// Rules of the order.
const (
	defaultLongPercent = 50               // of the slots, for long jobs
	urgentPercent      = 75               // of the slots, for urgent jobs while others wait
	unprovenPercent    = 25               // of the slots, for jobs of unproven kinds
	ageLimit           = 10 * time.Second // of jobs without a deadline
	ageFraction        = 2                // of the time that a job can wait
	minCost            = 100 * time.Microsecond
	meanDecay          = 1.0 / 16
)

// line is the order of one service's jobs, without clocks or locks.
type line struct {
	lanes       [classes]lane
	times       *runTimes
	longPercent int
	sequence    uint64
	size        func(now time.Time) int // places, those that are taken included

	running     int
	started     [classes]int // of running, by the class that they were sent in
	longRunning int          // those that count as long, by now
	oldest      *Pass        // of the running jobs that don't count as long
	newest      *Pass
	means       [classes]meanRun
}

// meanRun is a moving mean of run times.
type meanRun struct {
	value   float64 // nanoseconds
	samples int
}

func (m *meanRun) observe(d time.Duration) {
	m.samples++
	weight := max(meanDecay, 1/float64(m.samples))
	m.value += (float64(d) - m.value) * weight
}

// waiting returns the number of jobs in line.
func (l *line) waiting() int {
	n := 0
	for i := range l.lanes {
		n += l.lanes[i].size
	}
	return n
}

// classify returns a waiter for the ticket, which is not in line yet.
func (l *line) classify(t Ticket, now time.Time) *waiter {
	l.sequence++
	w := &waiter{ticket: t, sequence: l.sequence, arrived: now, kind: l.times.kind(t.Kind)}
	expected := w.kind.expected()
	w.cost = expected
	if expected == 0 {
		w.cost = t.Guess
	}
	if !t.Deadline.IsZero() {
		w.latest = t.Deadline.Add(-expected)
	}
	w.nature = l.times.class(w.kind, t.Guess)
	w.class = w.nature
	if t.Urgent {
		w.class = ClassUrgent
	}
	return w
}

func (l *line) push(w *waiter)   { l.lanes[w.class].push(w) }
func (l *line) remove(w *waiter) { l.lanes[w.class].remove(w) }

// any returns some job in line, or nil.
func (l *line) any() *waiter {
	for i := range l.lanes {
		if w := l.lanes[i].peek(); w != nil {
			return w
		}
	}
	return nil
}

// next returns the job to send next, or nil when none may be sent.
func (l *line) next(now time.Time) *waiter {
	l.reclassify(now)
	short := l.short(now)
	long := l.lanes[ClassLong].peek()
	if long != nil && !l.longMayStart(now) {
		long = nil
	}
	if u := l.lanes[ClassUrgent].peek(); u != nil && ((short == nil && long == nil) || l.urgentMayStart(now)) {
		return u
	}
	if short == nil || (long != nil && long.aged(now)) {
		return long
	}
	return short
}

// short returns the next job that is short or of an unproven kind, or nil.
func (l *line) short(now time.Time) *waiter {
	short := l.lanes[ClassShort].peek()
	unproven := l.lanes[ClassUnproven].peek()
	if unproven == nil || !l.unprovenMayStart(now) {
		return short
	}
	if short == nil || unproven.before(short) {
		return unproven
	}
	return short
}

// mayStart tells whether a job that is not in line may be sent before all that are.
func (l *line) mayStart(w *waiter, now time.Time) bool {
	l.reclassify(now)
	switch w.class {
	case ClassUrgent:
		return l.lanes[ClassUrgent].size == 0 && (l.waiting() == 0 || l.urgentMayStart(now))
	case ClassLong:
		return l.waiting() == 0 && l.longMayStart(now)
	case ClassUnproven:
		return l.waiting() == 0 && l.unprovenMayStart(now)
	default:
		return l.lanes[ClassUrgent].size == 0 && l.lanes[ClassShort].size == 0 && l.next(now) == nil
	}
}

func (l *line) longMayStart(now time.Time) bool {
	return l.longRunning < max(1, l.size(now)*l.longPercent/100)
}

func (l *line) unprovenMayStart(now time.Time) bool {
	return l.started[ClassUnproven] < max(1, l.size(now)*unprovenPercent/100)
}

func (l *line) urgentMayStart(now time.Time) bool {
	return l.started[ClassUrgent] < max(1, l.size(now)*urgentPercent/100)
}

// start notes that the job is sent; the caller removes it from its lane.
func (l *line) start(w *waiter, p *Pass, now time.Time) {
	p.kind, p.class, p.started = w.kind, w.class, now
	l.running++
	l.started[w.class]++
	if w.nature == ClassLong {
		p.long = true
		l.longRunning++
		return
	}
	l.link(p)
}

// finish takes back what start noted.
func (l *line) finish(p *Pass) {
	l.running--
	l.started[p.class]--
	if p.long {
		l.longRunning--
		return
	}
	l.unlink(p)
}

// observe learns from a run.
func (l *line) observe(p *Pass, ran time.Duration) {
	l.times.observe(p.kind, ran)
	l.means[p.class].observe(ran)
}

// reclassify counts jobs as long that have run for longer than short ones do.
func (l *line) reclassify(now time.Time) {
	bound, known := l.times.bound()
	if !known {
		return
	}
	for p := l.oldest; p != nil && now.Sub(p.started) >= bound; p = l.oldest {
		l.unlink(p)
		p.long = true
		l.longRunning++
	}
}

func (l *line) link(p *Pass) {
	p.older = l.newest
	if l.newest != nil {
		l.newest.newer = p
	} else {
		l.oldest = p
	}
	l.newest = p
}

func (l *line) unlink(p *Pass) {
	if p.older != nil {
		p.older.newer = p.newer
	} else {
		l.oldest = p.newer
	}
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		l.newest = p.older
	}
	p.older, p.newer = nil, nil
}
