package basilqueue

import "time"

// Parameters of the scheduling order.
const (
	defaultLongPercent = 50               // share of slots that long jobs may hold
	urgentPercent      = 75               // share of slots that urgent jobs may hold while others wait
	unprovenPercent    = 25               // share of slots that jobs of unproven kinds may hold
	agedWaitNoDeadline = 10 * time.Second // wait after which a long job without a deadline precedes short ones
	agedWaitDivisor    = 2                // same for a job with a deadline: divisor of the time it can wait
	minCost            = 100 * time.Microsecond
	minMeanWeight      = 1.0 / 16
)

// scheduler orders the jobs of one service; callers pass the time and hold the queue's lock.
type scheduler struct {
	classQueues [classCount]classQueue
	runTimes    *runTimes
	longPercent int
	sequence    uint64
	capacity    func(now time.Time) int // number of slots, including those in use

	running        int
	runningByClass [classCount]int // running jobs by the class that they were started in
	longRunning    int             // running jobs that count as long
	oldestShort    *Pass           // oldest of the running jobs that don't count as long, linked by start time
	newestShort    *Pass
	meanRunTimes   [classCount]movingMean
}

// movingMean is a moving mean of run times.
type movingMean struct {
	value   float64 // nanoseconds
	samples int
}

func (m *movingMean) observe(d time.Duration) {
	m.samples++
	weight := max(minMeanWeight, 1/float64(m.samples))
	m.value += (float64(d) - m.value) * weight
}

// waiting returns the number of queued jobs.
func (s *scheduler) waiting() int {
	n := 0
	for i := range s.classQueues {
		n += s.classQueues[i].size
	}
	return n
}

// classify returns a waiter for the job request without adding it to the queue.
func (s *scheduler) classify(t JobRequest, now time.Time) *waiter {
	s.sequence++
	w := &waiter{ticket: t, sequence: s.sequence, arrived: now, kind: s.runTimes.kind(t.Kind)}
	expected := w.kind.expected()
	w.cost = expected
	if expected == 0 {
		w.cost = t.DeclaredRunTime
	}
	if !t.Deadline.IsZero() {
		w.latest = t.Deadline.Add(-expected)
	}
	w.runTimeClass = s.runTimes.class(w.kind, t.DeclaredRunTime)
	w.class = w.runTimeClass
	if t.Urgent {
		w.class = ClassUrgent
	}
	return w
}

func (s *scheduler) push(w *waiter)   { s.classQueues[w.class].push(w) }
func (s *scheduler) remove(w *waiter) { s.classQueues[w.class].remove(w) }

// any returns any queued job, or nil if there is none.
func (s *scheduler) any() *waiter {
	for i := range s.classQueues {
		if w := s.classQueues[i].peek(); w != nil {
			return w
		}
	}
	return nil
}

// next returns the job to start next, or nil if none may start.
func (s *scheduler) next(now time.Time) *waiter {
	s.reclassify(now)
	short := s.nextShort(now)
	long := s.classQueues[ClassLong].peek()
	if long != nil && !s.longMayStart(now) {
		long = nil
	}
	if u := s.classQueues[ClassUrgent].peek(); u != nil && ((short == nil && long == nil) || s.urgentMayStart(now)) {
		return u
	}
	if short == nil || (long != nil && long.aged(now)) {
		return long
	}
	return short
}

// nextShort returns the next job that is short or of an unproven kind, or nil.
func (s *scheduler) nextShort(now time.Time) *waiter {
	short := s.classQueues[ClassShort].peek()
	unproven := s.classQueues[ClassUnproven].peek()
	if unproven == nil || !s.unprovenMayStart(now) {
		return short
	}
	if short == nil || unproven.before(short) {
		return unproven
	}
	return short
}

// mayStart reports whether a job that isn't queued may start before all queued jobs.
func (s *scheduler) mayStart(w *waiter, now time.Time) bool {
	s.reclassify(now)
	switch w.class {
	case ClassUrgent:
		return s.classQueues[ClassUrgent].size == 0 && (s.waiting() == 0 || s.urgentMayStart(now))
	case ClassLong:
		return s.waiting() == 0 && s.longMayStart(now)
	case ClassUnproven:
		return s.waiting() == 0 && s.unprovenMayStart(now)
	default:
		return s.classQueues[ClassUrgent].size == 0 && s.classQueues[ClassShort].size == 0 && s.next(now) == nil
	}
}

func (s *scheduler) longMayStart(now time.Time) bool {
	return s.longRunning < max(1, s.capacity(now)*s.longPercent/100)
}

func (s *scheduler) unprovenMayStart(now time.Time) bool {
	return s.runningByClass[ClassUnproven] < max(1, s.capacity(now)*unprovenPercent/100)
}

func (s *scheduler) urgentMayStart(now time.Time) bool {
	return s.runningByClass[ClassUrgent] < max(1, s.capacity(now)*urgentPercent/100)
}

// start records the start of the job; the caller removes it from its classQueue.
func (s *scheduler) start(w *waiter, p *Pass, now time.Time) {
	p.kind, p.class, p.started = w.kind, w.class, now
	s.running++
	s.runningByClass[w.class]++
	if w.runTimeClass == ClassLong {
		p.long = true
		s.longRunning++
		return
	}
	s.linkShort(p)
}

// finish reverts the bookkeeping of start.
func (s *scheduler) finish(p *Pass) {
	s.running--
	s.runningByClass[p.class]--
	if p.long {
		s.longRunning--
		return
	}
	s.unlinkShort(p)
}

// observe updates the run time statistics with a finished run.
func (s *scheduler) observe(p *Pass, ran time.Duration) {
	s.runTimes.observe(p.kind, ran)
	s.meanRunTimes[p.class].observe(ran)
}

// reclassify counts running jobs as long once their run time reaches longThreshold.
func (s *scheduler) reclassify(now time.Time) {
	threshold, known := s.runTimes.longThreshold()
	if !known {
		return
	}
	for p := s.oldestShort; p != nil && now.Sub(p.started) >= threshold; p = s.oldestShort {
		s.unlinkShort(p)
		p.long = true
		s.longRunning++
	}
}

func (s *scheduler) linkShort(p *Pass) {
	p.older = s.newestShort
	if s.newestShort != nil {
		s.newestShort.newer = p
	} else {
		s.oldestShort = p
	}
	s.newestShort = p
}

func (s *scheduler) unlinkShort(p *Pass) {
	if p.older != nil {
		p.older.newer = p.newer
	} else {
		s.oldestShort = p.newer
	}
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		s.newestShort = p.older
	}
	p.older, p.newer = nil, nil
}
