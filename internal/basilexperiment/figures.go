package basilexperiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	longestMS  = 120_000 // that the histograms hold
	digits     = 3       // that they keep
	lateTimes  = 3       // times its objective after which a job earns nothing
	largeShare = 10      // the largest one in so many jobs is counted by itself
)

// QueueFigures are what callers of one kind of job saw.
type QueueFigures struct {
	Queue   string  `json:"queue"`
	Jobs    int     `json:"jobs"` // that could be done and were not cancelled
	OnTime  int     `json:"on_time"`
	Late    int     `json:"late"`
	Worth   float64 `json:"worth"` // share of what was to be earned
	Large   float64 `json:"large"` // share on time of the largest tenth
	P50     int64   `json:"p50_ms"`
	P99     int64   `json:"p99_ms"`
	latency *hdrhistogram.Histogram
	earned  float64
	owed    float64
	sizes   []outcome
}

// outcome is one job's size in core-seconds, and whether it was on time.
type outcome struct {
	size   float64
	onTime bool
}

// Figures are what a play shows.
type Figures struct {
	Load       string          `json:"load"`
	Policy     Policy          `json:"-"`
	PolicyName string          `json:"policy"`
	Worth      float64         `json:"worth"`        // share of what was to be earned
	Net        float64         `json:"net"`          // worth less the prices of hosts and moves
	Hosts      float64         `json:"hosts"`        // mean number that is paid for, those on their way included
	Used       float64         `json:"used"`         // mean number that the work would fill
	Moves      int             `json:"moves"`        // of hosts
	Worst      float64         `json:"worst"`        // worth of the kind of job that is served worst
	Away       time.Duration   `json:"away_ns"`      // longest time that a long-running task was not at work
	Wasted     float64         `json:"wasted_cores"` // core-seconds of runs that came to nothing
	Stranded   int             `json:"stranded"`     // jobs of which nothing ran for long though their pool had room
	Queues     []*QueueFigures `json:"queues"`
	series     []moment
	queues     map[string]*QueueFigures
	finished   map[string]bool
	length     time.Duration
}

// moment is how many hosts were held and used at a time.
type moment struct {
	at         time.Duration
	held, used float64
	loser      float64 // hosts held by the service that loses hosts
}

func newFigures(l *Load, p Policy) *Figures {
	f := &Figures{Load: l.Name, Policy: p, PolicyName: p.String(), queues: make(map[string]*QueueFigures), finished: make(map[string]bool)}
	for n := range l.Queues {
		q := &QueueFigures{Queue: l.Queues[n].Name, latency: hdrhistogram.New(1, longestMS, digits)}
		f.Queues = append(f.Queues, q)
		f.queues[q.Queue] = q
	}
	return f
}

// sample notes how many hosts are held and used for a while.
func (f *Figures) sample(m moment, every time.Duration) {
	f.series = append(f.series, m)
	f.Hosts += m.held * every.Seconds()
	f.Used += m.used * every.Seconds()
	f.length += every
}

// waste notes a run that came to nothing.
func (f *Figures) waste(r *run, now time.Duration) {
	f.Wasted += float64(r.spent) / 1000 * (now - r.began).Seconds()
}

// finish notes a job whose final state is stored.
func (f *Figures) finish(a *arrival, state basilwork.JobState, now time.Duration) {
	if a.queue == nil || f.finished[a.job.ID] || a.cancelled {
		return
	}
	f.finished[a.job.ID] = true
	if a.poisoned && state == basilwork.JobStateFailed {
		return // can't be done, and was said so
	}
	took := now - warmUp - a.at
	q := f.queues[a.queue.Name]
	_ = q.latency.RecordValue(min(max(took.Milliseconds(), 1), longestMS)) // within the histogram's bounds
	objective := seconds(a.queue.Stretch*a.chain().Seconds()) + a.queue.Slack
	q.count(a, state == basilwork.JobStateCompleted && took <= objective, state == basilwork.JobStateCompleted && took <= lateTimes*objective)
}

// close counts the jobs that never ended, and works out shares and means.
func (f *Figures) close(l *Load, jobs map[string]*arrival) {
	for id, a := range jobs {
		if a.queue != nil && !f.finished[id] && !a.cancelled && !a.poisoned {
			f.queues[a.queue.Name].count(a, false, false)
		}
	}
	var earned, owed float64
	f.Worst = 1
	for _, q := range f.Queues {
		q.close()
		f.Worst = min(f.Worst, q.Worth)
		earned += q.earned
		owed += q.owed
	}
	f.Worth = earned / max(owed, 1)
	if f.length > 0 {
		f.Hosts /= f.length.Seconds()
		f.Used /= f.length.Seconds()
	}
	f.Net = l.net(f)
}

func (q *QueueFigures) count(a *arrival, onTime, late bool) {
	size := 0.0
	for n := range a.job.Steps {
		size += float64(a.job.Steps[n].Count*a.job.Steps[n].Resources.CPU) / 1000 * a.work[n].Seconds()
	}
	q.Jobs++
	q.owed += a.queue.Worth
	q.sizes = append(q.sizes, outcome{size: size, onTime: onTime})
	switch {
	case onTime:
		q.OnTime++
		q.earned += a.queue.Worth
	case late:
		q.Late++
		q.earned += a.queue.Late
	}
}

// close works out shares and quantiles.
func (q *QueueFigures) close() {
	q.Worth = q.earned / max(q.owed, 1e-9)
	q.P50, q.P99 = q.latency.ValueAtQuantile(50), q.latency.ValueAtQuantile(99)
	slices.SortFunc(q.sizes, func(a, b outcome) int { return cmp.Compare(b.size, a.size) })
	largest := q.sizes[:len(q.sizes)/largeShare]
	for _, o := range largest {
		if o.onTime {
			q.Large += 1 / float64(len(largest))
		}
	}
}
