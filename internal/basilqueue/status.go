package basilqueue

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the wait time histograms.
const (
	maxWait               = time.Hour
	waitSignificantDigits = 2
	minWait               = time.Microsecond
	percentile999         = 99.9
	percentile99          = 99
	percentile50          = 50
)

// ClassStatus holds the statistics of one class since the process started.
type ClassStatus struct {
	Waiting           int   `json:"waiting"`
	Admitted          int64 `json:"admitted"`
	RefusedFull       int64 `json:"refused_full"`
	RefusedDeadline   int64 `json:"refused_deadline"`
	RefusedNoCapacity int64 `json:"refused_no_capacity"`
	WaitP50US         int64 `json:"wait_p50_us"`
	WaitP99US         int64 `json:"wait_p99_us"`
	WaitP999US        int64 `json:"wait_p999_us"`
}

// Status holds the statistics of one service since the process started.
type Status struct {
	Running      int                    `json:"running"`
	LongRunning  int                    `json:"long_running"`
	Abandoned    int64                  `json:"abandoned"`
	RefusedQuota int64                  `json:"refused_quota"`
	Classes      map[string]ClassStatus `json:"classes"`
}

// counters holds the statistics of a queue, guarded by its lock.
type counters struct {
	waits         [classCount]*hdrhistogram.Histogram
	full          [classCount]int64
	unreachable   [classCount]int64
	noCapacity    [classCount]int64
	abandoned     int64
	quotaExceeded int64
}

func newCounters() counters {
	var c counters
	for i := range c.waits {
		c.waits[i] = hdrhistogram.New(minWait.Microseconds(), maxWait.Microseconds(), waitSignificantDigits)
	}
	return c
}

func (c *counters) countAdmitted(k Class, waited time.Duration) {
	_ = c.waits[k].RecordValue(min(waited, maxWait).Microseconds()) // fails only for values out of range
}

func (c *counters) countRejected(k Class, err error) {
	switch {
	case IsErrQueueFull(err):
		c.full[k]++
	case IsErrNoCapacity(err):
		c.noCapacity[k]++
	default:
		c.unreachable[k]++
	}
}

func (q *Queue) countQuotaExceeded() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.counters.quotaExceeded++
}

// Status returns the statistics by service name.
func (q *Queues) Status() map[string]Status {
	all := make(map[string]Status)
	for _, queue := range *q.list.Load() {
		all[queue.service] = queue.status()
	}
	return all
}

func (q *Queue) status() Status {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	c := &q.counters
	s := Status{
		Running: q.scheduler.running, LongRunning: q.scheduler.longRunning,
		Abandoned: c.abandoned, RefusedQuota: c.quotaExceeded, Classes: make(map[string]ClassStatus, classCount),
	}
	for _, k := range ClassValues() {
		h := c.waits[k]
		s.Classes[k.String()] = ClassStatus{
			Waiting: q.scheduler.classQueues[k].size, Admitted: h.TotalCount(), RefusedFull: c.full[k], RefusedDeadline: c.unreachable[k], RefusedNoCapacity: c.noCapacity[k],
			WaitP50US: h.ValueAtQuantile(percentile50), WaitP99US: h.ValueAtQuantile(percentile99),
			WaitP999US: h.ValueAtQuantile(percentile999),
		}
	}
	return s
}
