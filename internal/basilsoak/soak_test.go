package basilsoak_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	faultTime   = 12 * time.Second // in which faults are injected
	settleTime  = 30 * time.Second // in which all that was accepted is to end afterwards
	jobEvery    = 120 * time.Millisecond
	cancelOne   = 12 // job in so many is cancelled
	callLimit   = 3500 * time.Millisecond
	maxTries    = 3
	quoteBody   = `{"spec":"boot","steps":[{"count":3,"cpu":2000,"mem_mb":512,"estimate_ms":400},{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":400,"after":[0]}]}`
	longBody    = `{"spec":"night","steps":[{"count":3,"cpu":2000,"mem_mb":512,"long_running":true,"anti_affinity":1,"max_unavailable":1}]}`
	longID      = "f000000000000001"
	longTasks   = 3               // of longBody
	longAway    = 1               // of these at a time, by its max_unavailable
	restartTime = 3 * time.Second // until a long-running task that the system moved runs again, by the rules of the pages
)

// regressions are seeds that once went wrong, with the cause.
var regressions = map[uint64]string{
	1: "a long-running task that was being moved, after all had settled, was counted as lost",
}

// soak is one seeded play.
type soak struct {
	*fleet
	random   *rand.Rand // of calls; faults are drawn beforehand
	plan     []stroke
	client   *http.Client
	mutex    sync.Mutex
	answers  map[string]int // last status of each job's submission, 0 for none
	cancels  map[string]int
	faults   map[string]int
	latency  *hdrhistogram.Histogram // milliseconds
	cut      []string                // requests without a whole answer
	requests atomic.Int64
	group    sync.WaitGroup
}

// call makes a request at a random entry host, and returns the status, 0 for no answer.
func (s *soak) call(method, path, body string) (int, string) {
	s.mutex.Lock()
	h := s.hosts[s.random.IntN(len(s.hosts))]
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.ip+":8624"+path, bytes.NewReader([]byte(body)))
	must.NoError(s.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Deadline-Ms", "3000")
	s.requests.Add(1)
	began := time.Now()
	answer, err := s.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	s.record(time.Since(began))
	return answer.StatusCode, string(read)
}

// record records how long an answer took.
func (s *soak) record(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.latency.RecordValue(max(1, d.Milliseconds())) // within the range by the limit of a call
}

// submit hands a job in until it is accepted, or has been refused maxTries times.
func (s *soak) submit(id, prefix, body string) {
	s.site.Submitted(id, body, 3)
	refused := true
	for range maxTries {
		status, _ := s.call(http.MethodPost, prefix+id, body)
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		if status == http.StatusServiceUnavailable && !refused {
			status = 0 // an earlier try may have been stored
		}
		s.mutex.Lock()
		s.answers[id] = status
		s.mutex.Unlock()
		if status == http.StatusOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (s *soak) cancelLater(id string) {
	time.Sleep(700 * time.Millisecond)
	status, _ := s.call(http.MethodDelete, "/quote/"+id, "")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancels[id] = status
	if status == http.StatusOK && s.answers[id] == http.StatusOK || status == http.StatusGone {
		s.site.Cancelled(id)
	}
}

// load hands jobs in while faults are injected.
func (s *soak) load() {
	var group sync.WaitGroup
	for n, until := 0, time.Now().Add(faultTime); time.Now().Before(until); n++ {
		id := fmt.Sprintf("%016x", n+1)
		group.Go(func() {
			s.submit(id, "/quote/", quoteBody)
			if n%cancelOne == 0 {
				s.cancelLater(id)
			}
		})
		time.Sleep(jobEvery)
	}
	group.Wait()
}

// wrong compares what callers were told with what became of their jobs, and counts the long-running tasks.
func (s *soak) wrong() []string {
	list := s.wrongJobs()
	if n := s.site.Running(longID); n != longTasks {
		list = append(list, wrongCount(n))
	}
	slices.Sort(list)
	return list
}

func wrongCount(running int) string {
	return fmt.Sprintf("%d of %d long-running tasks run", running, longTasks)
}

// wrongMoves waits until all long-running tasks run, for restartTime at most. At rest the system still moves them, to give
// back hosts that are not needed, and then as many are away as the job allows; more are wrong at once.
func (s *soak) wrongMoves() []string {
	for until := time.Now().Add(restartTime); ; time.Sleep(50 * time.Millisecond) {
		n := s.site.Running(longID)
		if n == longTasks {
			return nil
		}
		if n < longTasks-longAway || time.Now().After(until) {
			return []string{wrongCount(n)}
		}
	}
}

// wrongJobs compares what callers were told with what became of their jobs.
func (s *soak) wrongJobs() []string {
	var list []string
	for id, status := range s.answers {
		got, body := s.call(http.MethodGet, "/quote/"+id, "")
		state := strings.Trim(strings.TrimPrefix(body, `{"state":`), `"}`)
		answer, cancelled := s.cancels[id]
		switch {
		case answer == http.StatusGone:
			if got != http.StatusGone {
				list = append(list, fmt.Sprintf("%s was cancelled before it was stored and is %d %s", id, got, state))
			}
		case got == http.StatusGone && cancelled && answer != http.StatusOK: // it may have been cancelled before it was stored
		case status == http.StatusOK && (got != http.StatusOK || state != "completed" && !(cancelled && state == "canceled")):
			list = append(list, fmt.Sprintf("%s was accepted and is %d %s", id, got, state))
		case status == http.StatusServiceUnavailable && got != http.StatusGone:
			list = append(list, fmt.Sprintf("%s was refused and is %d %s", id, got, state))
		}
	}
	slices.Sort(list)
	return list
}

// play returns a line about the play and what was wrong.
func play(t *testing.T, program string, seed uint64, planned bool) (string, []string) {
	s := &soak{
		random: newRandom(seed), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		answers: make(map[string]int), cancels: make(map[string]int), faults: make(map[string]int),
		latency: hdrhistogram.New(1, int64(2*callLimit/time.Millisecond), 2),
	}
	s.fleet = newFleet(t, program, func(task string, _ int) (time.Duration, bool) {
		if strings.HasPrefix(task, longID) {
			return -1, false
		}
		return 400 * time.Millisecond, false
	})
	defer s.close()
	kinds, load := s.faultKinds(), s.load
	if planned {
		kinds, load = s.plannedKinds(), s.loadOnOpenConnections
	}
	s.plan = newPlan(seed, slices.Sorted(maps.Keys(kinds)))
	s.site.Submitted(longID, longBody, 3)
	s.await("accepted", func() bool {
		status, _ := s.call(http.MethodPost, "/long/"+longID, longBody)
		return status == http.StatusOK
	})
	s.await("running", func() bool { return s.site.Running(longID) == longTasks })
	s.group.Go(load)
	s.strike(kinds)
	s.group.Wait()
	for _, h := range s.hosts {
		h.proxy.set(way{})
		h.signal(syscall.SIGCONT)
		s.start(h)
	}
	s.site.Store.SetFaults(basilfake.StoreFaults{})
	s.await("settled", func() bool { return len(s.wrong()) == 0 })
	wrong := slices.Concat(s.wrongJobs(), s.wrongMoves(), s.site.Broken(), s.cut, s.endAll())
	if len(wrong) > 0 {
		s.keepLogs(seed)
	}
	statuses := make(map[int]int)
	for _, status := range s.answers {
		statuses[status]++
	}
	return fmt.Sprintf("seed %d: %d requests, jobs by answer %v, %d cancelled, faults %v, answers p50 %d p99 %d ms, wrong %d",
		seed, s.requests.Load(), statuses, len(s.cancels), s.faults, s.latency.ValueAtQuantile(50), s.latency.ValueAtQuantile(99), len(wrong)), wrong
}

// await waits until something is so, for settleTime at most.
func (s *soak) await(what string, is func() bool) {
	for until := time.Now().Add(settleTime); !is(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			s.t.Logf("not %s within %v", what, settleTime)
			return
		}
	}
}

// keepLogs copies the logs of a play that went wrong where BASIL_SOAK_LOGS says.
func (s *soak) keepLogs(seed uint64) {
	to := os.Getenv("BASIL_SOAK_LOGS")
	if to == "" {
		return
	}
	for n := range entryHosts {
		name := fmt.Sprintf("entry-%d.log", n+1)
		if body, err := os.ReadFile(filepath.Join(s.directory, name)); err == nil {
			_ = os.WriteFile(filepath.Join(to, fmt.Sprintf("seed-%d-%s", seed, name)), body, 0o600) // logs are a help only
		}
	}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// seeds returns those of the environment, FIRST-LAST, or the fixed ones of CI.
func seeds(t *testing.T, fixed ...uint64) []uint64 {
	first, last, ok := strings.Cut(os.Getenv("BASIL_SOAK_SEEDS"), "-")
	if !ok {
		return fixed
	}
	from, err := strconv.ParseUint(first, 10, 64)
	must.NoError(t, err)
	to, err := strconv.ParseUint(last, 10, 64)
	must.NoError(t, err)
	var list []uint64
	for n := from; n <= to; n++ {
		list = append(list, n)
	}
	return list
}

// TestSoak plays seeded series of faults against real processes; BASIL_SOAK_SEEDS=1-50 plays others than CI's.
func TestSoak(t *testing.T) {
	playSeeds(t, seeds(t, append(slices.Sorted(maps.Keys(regressions)), 2)...), false)
}

// buildProgram builds the entry hosts' program and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "basilnode")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/basilnode").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return program
}

func playSeeds(t *testing.T, seeds []uint64, planned bool) {
	program := buildProgram(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			line, wrong := play(t, program, seed, planned)
			t.Log(line)
			must.SliceEmpty(t, wrong, must.Sprint(line, "\n", strings.Join(wrong, "\n")))
		})
	}
}
