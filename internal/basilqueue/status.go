package basilqueue

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms of waits.
const (
	maxWait        = time.Hour
	waitDigits     = 2
	waitMinimum    = time.Microsecond
	perMille999    = 99.9
	percentile99   = 99
	percentileHalf = 50
)

// ClassStatus tells how the jobs of one class fared since the start.
type ClassStatus struct {
	Waiting     int   `json:"waiting"`
	Admitted    int64 `json:"admitted"`
	Full        int64 `json:"refused_full"`
	Unreachable int64 `json:"refused_deadline"`
	NoCapacity  int64 `json:"refused_no_capacity"`
	WaitP50US   int64 `json:"wait_p50_us"`
	WaitP99US   int64 `json:"wait_p99_us"`
	WaitP999US  int64 `json:"wait_p999_us"`
}

// Status tells how the jobs of one service fared since the start.
type Status struct {
	Running     int                    `json:"running"`
	LongRunning int                    `json:"long_running"`
	Abandoned   int64                  `json:"abandoned"`
	Quota       int64                  `json:"refused_quota"`
	Classes     map[string]ClassStatus `json:"classes"`
}

// counters are a queue's figures, guarded by its lock.
type counters struct {
	waits       [classes]*hdrhistogram.Histogram
	full        [classes]int64
	unreachable [classes]int64
	noCapacity  [classes]int64
	abandoned   int64
	quota       int64
}

func newCounters() counters {
	var c counters
	for i := range c.waits {
		c.waits[i] = hdrhistogram.New(waitMinimum.Microseconds(), maxWait.Microseconds(), waitDigits)
	}
	return c
}

func (c *counters) admitted(k Class, waited time.Duration) {
	_ = c.waits[k].RecordValue(min(waited, maxWait).Microseconds()) // fails only out of range
}

func (c *counters) refused(k Class, err error) {
	switch {
	case IsErrQueueFull(err):
		c.full[k]++
	case IsErrNoCapacity(err):
		c.noCapacity[k]++
	default:
		c.unreachable[k]++
	}
}

func (q *Queue) quotaExceeded() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.counters.quota++
}

// Status returns the figures by service.
func (q *Queues) Status() map[string]Status {
	all := make(map[string]Status)
	for _, u := range *q.list.Load() {
		all[u.service] = u.status()
	}
	return all
}

func (q *Queue) status() Status {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	c := &q.counters
	s := Status{
		Running: q.line.running, LongRunning: q.line.longRunning,
		Abandoned: c.abandoned, Quota: c.quota, Classes: make(map[string]ClassStatus, classes),
	}
	for _, k := range ClassValues() {
		h := c.waits[k]
		s.Classes[k.String()] = ClassStatus{
			Waiting: q.line.lanes[k].size, Admitted: h.TotalCount(), Full: c.full[k], Unreachable: c.unreachable[k], NoCapacity: c.noCapacity[k],
			WaitP50US: h.ValueAtQuantile(percentileHalf), WaitP99US: h.ValueAtQuantile(percentile99),
			WaitP999US: h.ValueAtQuantile(perMille999),
		}
	}
	return s
}
