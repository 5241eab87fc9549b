package basilnode

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	maxLatency      = 60_000 // milliseconds; longer latencies are recorded as this one
	latencyDigits   = 1      // significant digits of the histograms; more would cost memory and not help an operator
	metricsPrefix   = "basilstage_"
	answersMetric   = "answers"
	startsMetric    = "starts"
	commitsMetric   = "commits"
	backendsMetric  = "backends"
	refusedMetric   = "store_writes_refused"
	lostRunsMetric  = "runs_lost"
	earlierMetric   = "ends_of_earlier_attempts"
	missesMetric    = "holds_unanswered"
	narrowMetric    = "leases_narrow"
	waitingMetric   = "waiting_tasks"
	longestMetric   = "longest_wait_ms"
	moreWaits       = "waits_unexamined"
	longRunningWait = "long_running_wait_ms"
	longRunningAway = "long_running_away_ms"
	answerLatency   = "answer_latency_ms"
	startLatency    = "start_latency_ms"
	commitLatency   = "commit_latency_ms"
	recordsMetric   = "commit_records"
	recordRefusals  = "commit_records_refused"
	eventWait       = "event_wait_ms" // wait in the event queue of a pool's control goroutine
	decisionTime    = "decision_ms"
	stepTime        = "step_ms"
	fleetEventAge   = "fleet_event_age_ms"
	fleetStepTime   = "fleet_step_ms"
	fleetListAge    = "fleet_list_age_ms"
	stopQueueTime   = "stop_queue_ms" // wait of a stop until it was sent
	cancelAge       = "cancel_age_ms" // age of a cancellation when the owner applied it, by the clocks of both hosts
)

// metrics holds the counters and latency histograms of an entry host.
type metrics struct {
	calls      func() map[string]basilwork.CallCount // calls to the platform by kind; may be nil
	counts     expvar.Map
	mutex      sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newMetrics(calls func() map[string]basilwork.CallCount) *metrics {
	m := &metrics{calls: calls, histograms: make(map[string]*hdrhistogram.Histogram)}
	m.counts.Init()
	return m
}

// observe records a duration in the named histogram.
func (m *metrics) observe(name string, d time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency, latencyDigits)
		m.histograms[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Milliseconds()), maxLatency)) // cannot fail, the value is within the range
}

func (m *metrics) requestAnswered(method string, status int, d time.Duration) {
	m.counts.Add(answersMetric+"_"+method+"_"+strconv.Itoa(status), 1)
	m.observe(answerLatency, d)
}

func (m *metrics) started(refusal basilwork.Refusal, answered bool, d time.Duration) {
	outcome := refusal.String()
	if !answered {
		outcome = "unanswered"
	}
	m.counts.Add(startsMetric+"_"+outcome, 1)
	m.observe(startLatency, d)
}

// setBackends sets how many backend servers of a pool are present, are usable, and have no stored row yet.
func (m *metrics) setBackends(pool string, l basilscheduler.Load) {
	for state, count := range map[string]int{"present": l.Present, "usable": l.Usable, "not_recorded": l.Unrecorded} {
		v := new(expvar.Int)
		v.Set(int64(count))
		m.counts.Set(backendsMetric+`{pool="`+pool+`",state="`+state+`"}`, v)
	}
}

// setWaits sets how many tasks of a pool wait for which reason, the longest wait for each reason and of a long-running task that should run, and
// how many steps and runs were not examined.
func (m *metrics) setWaits(pool string, w basilscheduler.Waits) {
	m.setGauge(moreWaits+`{pool="`+pool+`"}`, int64(w.Unexamined))
	m.setGauge(longRunningWait+`{pool="`+pool+`"}`, w.LongRunning.Milliseconds())
	for _, reason := range basilscheduler.WaitReasonValues() {
		label := `{pool="` + pool + `",reason="` + reason.String() + `"}`
		m.setGauge(waitingMetric+label, int64(w.Tasks[reason]))
		m.setGauge(longestMetric+label, w.Longest[reason].Milliseconds())
	}
}

// setAbsence sets for how long a long-running task of the pool has not been known to be at work at most.
func (m *metrics) setAbsence(pool string, longest time.Duration) {
	m.setGauge(longRunningAway+`{pool="`+pool+`"}`, longest.Milliseconds())
}

// setGauge sets a value, which is not shown before it is set to another one than zero.
func (m *metrics) setGauge(name string, value int64) {
	v, ok := m.counts.Get(name).(*expvar.Int)
	if !ok {
		if value == 0 {
			return
		}
		v = new(expvar.Int)
		m.counts.Set(name, v)
	}
	v.Set(value)
}

// writeRejected counts a write that the store rejected as invalid, by table.
func (m *metrics) writeRejected(table string) {
	m.counts.Add(refusedMetric+`{table="`+table+`"}`, 1)
}

// runsLost counts runs that were lost with a backend server, by reason.
func (m *metrics) runsLost(reason string, runs int) {
	m.counts.Add(lostRunsMetric+`{reason="`+reason+`"}`, int64(runs))
}

// holdUnanswered counts a hold that a backend server of the pool did not answer.
func (m *metrics) holdUnanswered(pool string) {
	m.counts.Add(missesMetric+`{pool="`+pool+`"}`, 1)
}

// leaseNarrow counts a renewal of leases that would have expired within a second.
func (m *metrics) leaseNarrow(pool string) { m.counts.Add(narrowMetric+`{pool="`+pool+`"}`, 1) }

// endsOfEarlierAttempts counts tasks that earlier attempts have finished.
func (m *metrics) endsOfEarlierAttempts(ends int) { m.counts.Add(earlierMetric, int64(ends)) }

func (m *metrics) committed(records int, err error, d time.Duration) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.counts.Add(commitsMetric+"_"+outcome, 1)
	m.counts.Add(recordsMetric, int64(records))
	m.observe(commitLatency, d)
}

// recordRefused counts a record of a job that was not stored, by itself.
func (m *metrics) recordRefused() { m.counts.Add(recordRefusals, 1) }

var quantiles = []float64{50, 99, 99.9}

// ServeHTTP writes the counters and the quantiles of the latencies, one "name value" line each.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	write := func(name, value string) {
		_, _ = w.Write([]byte(metricsPrefix + name + " " + value + "\n")) // an error means that the reader has disconnected
	}
	m.counts.Do(func(v expvar.KeyValue) { write(v.Key, v.Value.String()) })
	number := func(name string, n int64) { write(name, strconv.FormatInt(n, 10)) }
	u := readUsage()
	number("processor_ms_total", u.processor.Milliseconds())
	number("memory_bytes", int64(u.memory))
	number("goroutines", int64(u.goroutines))
	if m.calls != nil {
		for kind, c := range m.calls() {
			label := `{kind="` + kind + `"}`
			number("calls"+label, c.Made)
			number("calls_unanswered"+label, c.Unanswered)
			number("sent_bytes"+label, c.Sent)
			number("received_bytes"+label, c.Received)
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, h := range m.histograms {
		for _, q := range quantiles {
			write(name+`{quantile="`+strconv.FormatFloat(q, 'g', -1, 64)+`"}`, strconv.FormatInt(h.ValueAtQuantile(q), 10))
		}
		write(name+"_count", strconv.FormatInt(h.TotalCount(), 10))
	}
}

// Metrics returns the handler that serves the metrics.
func (n *Node) Metrics() http.Handler { return n.metrics }
