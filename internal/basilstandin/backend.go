package basilstandin

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
	"basilstage.example/basilstage/pkg/basilapi"
)

// DefaultSlots is how many jobs a backend server runs at once.
const DefaultSlots = 8

// BackendOptions sets up a Backend; the zero value works.
type BackendOptions struct {
	ID       string
	Slots    int                                         // of the runner
	RunTime  func(payload []byte) time.Duration          // of a short job; nil takes no time
	TaskTime func(basilplatform.Task) time.Duration      // nil takes the task's own guess
	Answer   func(service string, payload []byte) []byte // nil is "answer to " and the payload
}

// ConstantRunTime returns a run time for BackendOptions that is the same for each job.
func ConstantRunTime(d time.Duration) func([]byte) time.Duration {
	return func([]byte) time.Duration { return d }
}

// DefaultAnswer returns the answer that a backend server gives to a payload.
func DefaultAnswer(payload []byte) []byte { return append([]byte("answer to "), payload...) }

// BackendFaults switches the faults of a Backend; the zero value has none.
type BackendFaults struct {
	SlowFactor   float64 `json:"slow_factor"`    // multiplies run times; 0 is 1
	Refuse       bool    `json:"refuse"`         // starts nothing and says so
	DieMidAnswer bool    `json:"die_mid_answer"` // cuts the connection within the answer
	Hang         bool    `json:"hang"`           // starts jobs and never answers
	FailAll      bool    `json:"fail_all"`       // starts jobs and fails at once
	LoseAnswer   bool    `json:"lose_answer"`    // runs, then cuts the connection
	FailAllTasks bool    `json:"fail_all_tasks"` // starts tasks and fails at once
}

// Backend is a stand-in for a backend server that is both runner and worker.
type Backend struct {
	options BackendOptions

	mutex     sync.Mutex
	faults    BackendFaults
	starts    map[string]map[int]int // by job and attempt
	running   int                    // short jobs
	leaving   bool
	readyAt   time.Time
	tasks     map[basilfleet.AttemptRequest]*task
	hostEpoch int64 // the highest seen
	boot      string
}

// NewBackend returns an idle backend server.
func NewBackend(o BackendOptions) *Backend {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.RunTime == nil {
		o.RunTime = ConstantRunTime(0)
	}
	if o.TaskTime == nil {
		o.TaskTime = func(t basilplatform.Task) time.Duration { return time.Duration(t.DurationGuess) * time.Millisecond }
	}
	if o.Answer == nil {
		o.Answer = func(_ string, payload []byte) []byte { return DefaultAnswer(payload) }
	}
	return &Backend{
		options: o,
		boot:    ulid.Make().String(),
		starts:  make(map[string]map[int]int),
		tasks:   make(map[basilfleet.AttemptRequest]*task),
	}
}

// SetFaults replaces the faults in force.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = f
}

// Faults returns the faults in force.
func (b *Backend) Faults() BackendFaults {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.faults
}

// Leave makes the backend server start nothing more; what runs goes on.
func (b *Backend) Leave() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.leaving = true
}

// Status returns what the backend server says of itself.
func (b *Backend) Status() BackendStatus {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return BackendStatus{
		ID:         b.options.ID,
		InProgress: b.running + b.runningTasks(),
		Leaving:    b.leaving,
		Ready:      !time.Now().Before(b.readyAt),
	}
}

// Starts returns how often the job was started, over all attempts.
func (b *Backend) Starts(job string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var sum int
	for _, n := range b.starts[job] {
		sum += n
	}
	return sum
}

// AllStarts returns how often each job was started, by job and attempt.
func (b *Backend) AllStarts() map[string]map[int]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	all := make(map[string]map[int]int, len(b.starts))
	for job, attempts := range b.starts {
		all[job] = maps.Clone(attempts)
	}
	return all
}

// Jobs returns the ids of all jobs that were started, in order.
func (b *Backend) Jobs() []string {
	return slices.Sorted(maps.Keys(b.AllStarts()))
}

// count records a start; the caller holds the mutex.
func (b *Backend) count(job string, attempt int) {
	if b.starts[job] == nil {
		b.starts[job] = make(map[int]int)
	}
	b.starts[job][attempt]++
}

// whyNot returns why nothing may start now, or ""; the caller holds the mutex.
func (b *Backend) whyNot() string {
	switch {
	case b.leaving:
		return "leaving"
	case b.faults.Refuse:
		return "refuses"
	case time.Now().Before(b.readyAt):
		return "not ready"
	}
	return ""
}

// slowed returns how long d takes under the fault in force; the caller holds the mutex.
func (b *Backend) slowed(d time.Duration) time.Duration {
	if b.faults.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * b.faults.SlowFactor)
}

// Handler serves the runner and worker protocols, the status and the fault switches.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+basilapi.RunPath, b.serveRun)
	mux.HandleFunc("POST "+basilfleet.PathTasks, serveTask(b, b.StartTask))
	mux.HandleFunc("POST "+basilfleet.PathTaskRenew, serveTask(b, b.RenewTask))
	mux.HandleFunc("POST "+basilfleet.PathTaskCheckpoint, serveTask(b, b.CheckpointTask))
	mux.HandleFunc("POST "+basilfleet.PathTaskThrottle, serveTask(b, b.ThrottleTask))
	mux.HandleFunc("POST "+basilfleet.PathTaskStop, b.serveStop)
	mux.HandleFunc("GET "+basilfleet.PathTaskStatus, b.serveTaskStatus)
	mux.HandleFunc("GET "+PathStarts, func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, http.StatusOK, b.AllStarts())
	})
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, http.StatusOK, b.Status())
	})
	mux.HandleFunc("POST "+PathLeave, func(w http.ResponseWriter, _ *http.Request) {
		b.Leave()
		answerJSON(w, http.StatusOK, b.Status())
	})
	mux.HandleFunc("POST "+PathRestart, b.serveRestart)
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, http.StatusOK, b.Faults())
	})
	mux.HandleFunc("POST "+PathFaults, b.serveSetFaults)
	return b.markLeaving(mux)
}

// markLeaving sets the leaving header on every answer of a leaving backend server.
func (b *Backend) markLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(leavingWriter{ResponseWriter: w, backend: b}, r)
	})
}

// leavingWriter adds the header when the answer starts, not when the request came.
type leavingWriter struct {
	http.ResponseWriter
	backend *Backend
}

// WriteHeader writes the status and, when leaving, the header.
func (l leavingWriter) WriteHeader(status int) {
	if l.backend.Status().Leaving {
		l.Header().Set(basilapi.HeaderLeaving, "1")
	}
	l.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below.
func (l leavingWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }

func (b *Backend) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f BackendFaults
	if readJSON(w, r, &f) {
		b.SetFaults(f)
		answerJSON(w, http.StatusOK, f)
	}
}

func (b *Backend) serveRestart(w http.ResponseWriter, r *http.Request) {
	var request RestartRequest
	if !readJSON(w, r, &request) {
		return
	}
	b.Restart(time.Duration(request.Millis)*time.Millisecond, request.HostEpoch)
	answerJSON(w, http.StatusOK, b.Status())
}

// Restart forgets all tasks under a fresh boot, takes nothing for the time given and is then no longer leaving.
func (b *Backend) Restart(d time.Duration, hostEpoch int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, t := range b.tasks {
		t.stopTimers()
	}
	clear(b.tasks)
	b.boot = ulid.Make().String()
	b.leaving = false
	b.readyAt = time.Now().Add(d)
	b.hostEpoch = max(b.hostEpoch, hostEpoch)
}
