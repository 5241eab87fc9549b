package basilnode

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
)

const (
	maxPulse    = 60_000_000 // microseconds that the histograms can tell
	pulseDigits = 1          // significant ones
	tailPercent = 99
)

// event is what a control goroutine is to take in, and since when it waits.
type event struct {
	take func(now time.Time)
	sent time.Time
}

// pulse tells how a control goroutine keeps up since the last line about it: how long events wait until they
// are taken in, and what decisions and whole steps take.
type pulse struct {
	metrics   *metrics
	waits     *hdrhistogram.Histogram // microseconds, as all of them
	decisions *hdrhistogram.Histogram
	steps     *hdrhistogram.Histogram
	processor time.Duration // of the process, at the last line
}

func newPulse(m *metrics) pulse {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxPulse, pulseDigits) }
	return pulse{metrics: m, waits: histogram(), decisions: histogram(), steps: histogram(), processor: processorTime()}
}

// took notes a duration in the histogram of the next line and in the metric.
func (p *pulse) took(h *hdrhistogram.Histogram, metric string, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxPulse)) // the value is within the range
	p.metrics.took(metric, d)
}

func (p *pulse) waited(d time.Duration)  { p.took(p.waits, eventWait, d) }
func (p *pulse) decided(d time.Duration) { p.took(p.decisions, decisionTime, d) }
func (p *pulse) stepped(d time.Duration) { p.took(p.steps, stepTime, d) }

// fields returns what happened since the last call.
func (p *pulse) fields() logrus.Fields {
	milliseconds := func(value int64) float64 { return float64(value) / 1000 }
	tail := func(h *hdrhistogram.Histogram) float64 { return milliseconds(h.ValueAtPercentile(tailPercent)) }
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
