package basilexperiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Queue is a kind of job of a load, and what a backend server's pool runs it.
type Queue struct {
	Name       string
	Service    string
	Rate       float64       // jobs a second, mean over all phases of the demand
	Steps      float64       // mean, one after another
	Width      float64       // mean tasks of a step
	CPU        float64       // mean of a task, thousandths of a core
	Memory     float64       // mean of a task, MB
	Work       time.Duration // mean of a task on a sound backend server
	Spread     float64       // standard deviation of the logarithm of work, width and room
	Tail       float64       // share of jobs whose tasks take TailTimes as long
	TailTimes  float64
	EstimateBy float64       // standard deviation of the logarithm of estimate over work
	Poison     float64       // share of jobs that always fail
	Cancelled  float64       // share of jobs that are cancelled after a while
	Saves      bool          // whether tasks checkpoint
	Stretch    float64       // of the objective
	Slack      time.Duration // of the objective
	Worth      float64
	Late       float64 // worth of a job that takes up to three times its objective
}

// Service is a pool with a long-running job on it.
type Service struct {
	Name    string
	Hosts   int
	Lasting int     // tasks of its long-running job
	Apart   int     // at most so many of them on a backend server
	Room    float64 // of such a task, thousandths of a core
}

// Load is a site's demand for a while.
type Load struct {
	Name     string
	Services []Service
	Queues   []Queue
	Standby  int                 // hosts that are off at first
	Host     basilwork.Resources // of each host
	Peak     float64             // times the mean that a queue asks for in its turn
	Valley   float64             // times the mean that it asks for in between
	Slow     float64             // share of hosts that take SlowTimes as long
	Failing  float64             // share of hosts that fail all that they start for the middle third
	Wave     int                 // hosts that are maintained from the second tenth on
	WaveMost int                 // of them at once
	Orders   float64             // for hosts, per second, that the platform accepts
	Burst    float64             // times as many jobs come in for BurstFor; 0 or 1 for none
	BurstFor time.Duration
	Lost     float64 // share of the hosts of the last service that are lost for good
	Starts   float64 // of tasks, per second, that the owner of a pool carries out; 0 for no limit

	HostPrice float64 // worth of holding one host all the time, as a share of all that is to be earned
	MovePrice float64 // worth of one move, likewise, on a day of one minute
}

const (
	slowTimes     = 4.0                   // as the users' slow workers
	errorShare    = 0.002                 // of runs that fail on a sound backend server, as the users' sheets say
	cancelAfter   = 2 * time.Second       // from a job's arrival to its cancellation
	leastWork     = 20 * time.Millisecond // of a task
	leastMemoryMB = 64                    // least of a task
	rampShare     = 0.25                  // of a turn, in which its peak rises, and again in which it falls
)

// net returns what is left of the earned share after the prices.
func (l *Load) net(f *Figures) float64 {
	return f.Worth - l.HostPrice*f.Hosts - l.MovePrice*float64(f.Moves)
}

// arrival is one job that callers submit.
type arrival struct {
	at        time.Duration
	queue     *Queue
	job       basilwork.Job
	work      []time.Duration // of each step's tasks
	poisoned  bool
	cancelled bool
}

// chain returns the run time of the job on sound backend servers.
func (a *arrival) chain() time.Duration {
	return a.job.CriticalPath(func(n int) time.Duration { return a.work[n] })
}

// demandAt returns the times of its mean that the queue asks for: the services' peaks come by turns.
func (l *Load) demandAt(service string, at, length time.Duration) float64 {
	turn := float64(length) / float64(len(l.Services))
	n := slices.IndexFunc(l.Services, func(s Service) bool { return s.Name == service })
	passed := (float64(at) - turn*float64(n)) / turn
	if passed < 0 || passed > 1 {
		return l.Valley
	}
	height := min(1, passed/rampShare, (1-passed)/rampShare)
	return l.Valley + (l.Peak-l.Valley)*height
}

// burstAt returns how many times as many jobs come in at the time as without a burst.
func (l *Load) burstAt(at time.Duration) float64 {
	if l.Burst > 1 && at >= burstAt && at < burstAt+l.BurstFor {
		return l.Burst
	}
	return 1
}

// arrivals returns the jobs of a load, in the order of their arrival; one seed gives the same ones each time.
func (l *Load) arrivals(seed uint64, length time.Duration) []arrival {
	var all []arrival
	for n := range l.Queues {
		q := &l.Queues[n]
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		for at := time.Duration(0); ; {
			at += seconds(r.ExpFloat64() / (q.Rate * l.Peak * max(1, l.Burst)))
			if at >= length {
				break
			}
			if r.Float64()*l.Peak*max(1, l.Burst) < l.demandAt(q.Service, at, length)*l.burstAt(at) {
				all = append(all, q.arrival(r, at, len(all)))
			}
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.job.ID, b.job.ID)) })
	return all
}

func (q *Queue) arrival(r *rand.Rand, at time.Duration, number int) arrival {
	a := arrival{at: at, queue: q, job: basilwork.Job{ID: fmt.Sprintf("%s-%06d", q.Name, number), Queue: q.Name}}
	tail := 1.0
	if r.Float64() < q.Tail {
		tail = q.TailTimes
	}
	for n := range 1 + poisson(r, q.Steps-1) {
		work := max(leastWork, seconds(q.Work.Seconds()*tail*spread(r, q.Spread)))
		s := basilwork.Step{
			Count:     max(1, int(math.Round(q.Width*spread(r, q.Spread)))),
			Resources: basilwork.Resources{CPU: int(q.CPU * spread(r, q.Spread/2)), Memory: max(leastMemoryMB, int(q.Memory*spread(r, q.Spread)))},
			Estimate:  seconds(work.Seconds() / tail * spread(r, q.EstimateBy)), Checkpointing: q.Saves,
		}
		if n > 0 {
			s.After = []int{n - 1}
		}
		a.job.Steps = append(a.job.Steps, s)
		a.work = append(a.work, work)
	}
	a.poisoned = r.Float64() < q.Poison
	a.cancelled = r.Float64() < q.Cancelled
	return a
}

// spread returns a factor with mean 1 whose logarithm has the standard deviation.
func spread(r *rand.Rand, deviation float64) float64 {
	return math.Exp(r.NormFloat64()*deviation - deviation*deviation/2)
}

// poisson returns a count with the mean.
func poisson(r *rand.Rand, mean float64) int {
	count := 0
	for left := math.Exp(-max(mean, 0)); ; count++ {
		left /= max(r.Float64(), math.SmallestNonzeroFloat64)
		if left >= 1 {
			return count
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
