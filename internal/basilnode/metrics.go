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
	maxLatency     = 60_000 // milliseconds that the histograms can tell
	latencyDigits  = 1      // significant ones; more cost memory and say nothing to an operator
	metricsPrefix  = "basilstage_"
	answersMetric  = "answers"
	startsMetric   = "starts"
	commitsMetric  = "commits"
	backendsMetric = "backends"
	refusedMetric  = "store_writes_refused"
	answerLatency  = "answer_latency_ms"
	startLatency   = "start_latency_ms"
	commitLatency  = "commit_latency_ms"
	commitsRecords = "commit_records"
	eventWait      = "event_wait_ms" // in the queue of a pool's control goroutine
	decisionTime   = "decision_ms"
	stepTime       = "step_ms"
	fleetEventAge  = "fleet_event_age_ms"
	fleetStepTime  = "fleet_step_ms"
	fleetListAge   = "fleet_list_age_ms"
)

// metrics counts what an entry host does.
type metrics struct {
	calls      func() map[string]basilwork.CallCount // may be nil
	counts     expvar.Map
	mutex      sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newMetrics(calls func() map[string]basilwork.CallCount) *metrics {
	m := &metrics{calls: calls, histograms: make(map[string]*hdrhistogram.Histogram)}
	m.counts.Init()
	return m
}

func (m *metrics) took(name string, d time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency, latencyDigits)
		m.histograms[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Milliseconds()), maxLatency)) // the value is within the range
}

func (m *metrics) answered(method string, status int, d time.Duration) {
	m.counts.Add(answersMetric+"_"+method+"_"+strconv.Itoa(status), 1)
	m.took(answerLatency, d)
}

func (m *metrics) started(refusal basilwork.Refusal, answered bool, d time.Duration) {
	outcome := refusal.String()
	if !answered {
		outcome = "unanswered"
	}
	m.counts.Add(startsMetric+"_"+outcome, 1)
	m.took(startLatency, d)
}

// hasBackends notes how many backend servers of a pool are listed, take new runs, and have no row yet.
func (m *metrics) hasBackends(pool string, l basilscheduler.Load) {
	for state, count := range map[string]int{"present": l.Present, "usable": l.Usable, "not_recorded": l.Unstored} {
		v := new(expvar.Int)
		v.Set(int64(count))
		m.counts.Set(backendsMetric+`{pool="`+pool+`",state="`+state+`"}`, v)
	}
}

// refusedWrite counts a write that the store took for wrong, by table.
func (m *metrics) refusedWrite(table string) {
	m.counts.Add(refusedMetric+`{table="`+table+`"}`, 1)
}

func (m *metrics) committed(records int, err error, d time.Duration) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.counts.Add(commitsMetric+"_"+outcome, 1)
	m.counts.Add(commitsRecords, int64(records))
	m.took(commitLatency, d)
}

var quantiles = []float64{50, 99, 99.9}

// ServeHTTP writes the counters and latencies as lines of a name and a number.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	write := func(name, value string) {
		_, _ = w.Write([]byte(metricsPrefix + name + " " + value + "\n")) // a reader that left needs no more
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

// Metrics returns the handler of the counters.
func (n *Node) Metrics() http.Handler { return n.metrics }
