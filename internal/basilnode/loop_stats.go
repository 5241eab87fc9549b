package basilnode

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
)

const (
	maxRecordedMicros = 60_000_000 // upper bound of the histograms, in microseconds
	histogramDigits   = 1          // significant digits of the histograms
	tailPercentile    = 99
)

// event is a function for a control goroutine to run, and the time at which it was queued.
type event struct {
	handle   func(now time.Time)
	subject  string // ID of the backend server that the event tells of, or listSubject; empty for all others
	complete bool   // an earlier event on the subject says nothing that this one doesn't
	held     func() // called at once if the event is held, unless nil
	queuedAt time.Time
}

// loopStats measures how well a control goroutine keeps up: how long events wait until they are handled, and how long
// decisions and whole steps take. Its histograms cover the time since the last log line; the metrics get each value too.
type loopStats struct {
	metrics   *metrics
	waits     *hdrhistogram.Histogram // microseconds, as in the two below
	decisions *hdrhistogram.Histogram
	steps     *hdrhistogram.Histogram
	processor time.Duration // CPU time of the process at the last log line
}

func newLoopStats(m *metrics) loopStats {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMicros, histogramDigits) }
	return loopStats{metrics: m, waits: histogram(), decisions: histogram(), steps: histogram(), processor: processorTime()}
}

// record adds a duration to a histogram and to the metric of that name.
func (p *loopStats) record(h *hdrhistogram.Histogram, metric string, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxRecordedMicros)) // can't fail, as the value is within the range
	p.metrics.observe(metric, d)
}

func (p *loopStats) recordWait(d time.Duration)     { p.record(p.waits, eventWait, d) }
func (p *loopStats) recordDecision(d time.Duration) { p.record(p.decisions, decisionTime, d) }
func (p *loopStats) recordStep(d time.Duration)     { p.record(p.steps, stepTime, d) }

// fields returns the log fields for the time since the last call, and resets the histograms.
func (p *loopStats) fields() logrus.Fields {
	milliseconds := func(value int64) float64 { return float64(value) / 1000 }
	tail := func(h *hdrhistogram.Histogram) float64 { return milliseconds(h.ValueAtPercentile(tailPercentile)) }
	processor := processorTime()
	f := logrus.Fields{
		"events": p.waits.TotalCount(), "event_wait_ms_max": milliseconds(p.waits.Max()), "event_wait_ms_p99": tail(p.waits),
		"steps": p.steps.TotalCount(), "step_ms_p99": tail(p.steps), "decision_ms_p99": tail(p.decisions),
		"processor_ms": (processor - p.processor).Milliseconds(),
	}
	p.processor = processor
	for _, h := range []*hdrhistogram.Histogram{p.waits, p.decisions, p.steps} {
		h.Reset()
	}
	return f
}
