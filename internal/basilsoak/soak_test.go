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
	random  *rand.Rand // of calls; faults are drawn beforehand
	plan    []stroke
	client  *http.Client
	mutex   sync.Mutex
	answers map[string]int // last status of each job's submission, 0 for none
	cancels map[string]int
	faults  map[string]int
	latency *hdrhistogram.Histogram // milliseconds
	group   sync.WaitGroup
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
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.latency.RecordValue(max(1, time.Since(began).Milliseconds())) // within the range by the limit of a call
	return answer.StatusCode, string(read)
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

// stroke is one fault of a plan.
type stroke struct {
	kind  string
	host  int // it strikes, where that fits
	pick  int // chooses a backend server
	lasts time.Duration
	gap   time.Duration // until the next one
}

// newPlan draws the faults of a seed: in series and overlapping.
func newPlan(seed uint64, kinds []string) []stroke {
	r := newRandom(seed)
	var plan []stroke
	for at := time.Duration(0); at < faultTime; at += plan[len(plan)-1].gap {
		plan = append(plan, stroke{
			kind: kinds[r.IntN(len(kinds))], host: r.IntN(entryHosts), pick: r.IntN(1 << 20),
			lasts: time.Duration(200+r.IntN(3800)) * time.Millisecond, gap: time.Duration(200+r.IntN(1000)) * time.Millisecond,
		})
	}
	return plan
}

// backend returns a backend server that the number chooses, or nil.
func (s *soak) backend(pick int) *basilfake.Backend {
	list := s.site.Backends("stretch")
	if len(list) == 0 {
		return nil
	}
	return list[pick%len(list)]
}

// faultKinds bring a fault about and return what mends it.
func (s *soak) faultKinds() map[string]func(h *entryHost, pick int) (mend func()) {
	nothing := func() {}
	store := func(f basilfake.StoreFaults) func(*entryHost, int) func() {
		return func(*entryHost, int) func() {
			s.site.Store.SetFaults(f)
			return func() { s.site.Store.SetFaults(basilfake.StoreFaults{}) }
		}
	}
	link := func(w way) func(*entryHost, int) func() {
		return func(h *entryHost, _ int) func() {
			h.proxy.set(w)
			return func() { h.proxy.set(way{}) }
		}
	}
	backend := func(f basilfake.BackendFaults) func(*entryHost, int) func() {
		return func(_ *entryHost, pick int) func() {
			b := s.backend(pick)
			if b == nil {
				return nothing
			}
			s.site.SetFaults(b, f)
			return func() { s.site.SetFaults(b, basilfake.BackendFaults{}) }
		}
	}
	end := func(graceful bool) func(*entryHost, int) func() {
		return func(h *entryHost, _ int) func() {
			h.end(graceful)
			return func() { s.start(h) }
		}
	}
	return map[string]func(*entryHost, int) func(){
		"kill": end(false), "stop": end(true),
		"pause": func(h *entryHost, _ int) func() {
			h.signal(syscall.SIGSTOP)
			return func() { h.signal(syscall.SIGCONT) }
		},
		"link held": link(way{hold: true}), "link reset": link(way{reset: true}), "link one way": link(way{oneWay: true}),
		"link slow":    link(way{delay: 150 * time.Millisecond}),
		"store silent": store(basilfake.StoreFaults{Silent: true}), "store busy": store(basilfake.StoreFaults{Busy: true}),
		"store loses answers": store(basilfake.StoreFaults{LoseAnswers: true}), "store late": store(basilfake.StoreFaults{LateBy: 900 * time.Millisecond}),
		"store slow":     store(basilfake.StoreFaults{Delay: 200 * time.Millisecond}),
		"backend silent": backend(basilfake.BackendFaults{Silent: true}), "backend late": backend(basilfake.BackendFaults{LateBy: 1500 * time.Millisecond}),
		"backend slow": backend(basilfake.BackendFaults{SlowBy: 400 * time.Millisecond}),
		"history gone": func(*entryHost, int) func() {
			s.site.Store.DropHistory()
			return nothing
		},
		"orders for hosts unanswered": func(*entryHost, int) func() {
			s.site.SetOrdersSilent(true)
			return func() { s.site.SetOrdersSilent(false) }
		},
		"backend leaves": func(_ *entryHost, pick int) func() {
			if b := s.backend(pick); b != nil {
				s.site.Drain(b, 5*time.Second, time.Second)
			}
			return nothing
		},
		"backend crash": func(_ *entryHost, pick int) func() {
			if b := s.backend(pick); b != nil {
				s.site.Crash(b, 4*time.Second)
			}
			return nothing
		},
	}
}

// strike injects the faults of the plan, and mends each after its time.
func (s *soak) strike() {
	kinds := s.faultKinds()
	for _, x := range s.plan {
		s.faults[x.kind]++
		s.group.Go(func() {
			mend := kinds[x.kind](s.hosts[x.host], x.pick)
			time.Sleep(x.lasts)
			mend()
		})
		time.Sleep(x.gap)
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
func play(t *testing.T, program string, part int, seed uint64) (string, []string) {
	s := &soak{
		random: newRandom(seed), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		answers: make(map[string]int), cancels: make(map[string]int), faults: make(map[string]int),
		latency: hdrhistogram.New(1, int64(2*callLimit/time.Millisecond), 2),
	}
	s.fleet = newFleet(t, program, part, func(task string, _ int) (time.Duration, bool) {
		if strings.HasPrefix(task, longID) {
			return -1, false
		}
		return 400 * time.Millisecond, false
	})
	defer s.close()
	s.plan = newPlan(seed, slices.Sorted(maps.Keys(s.faultKinds())))
	s.site.Submitted(longID, longBody, 3)
	s.await("accepted", func() bool {
		status, _ := s.call(http.MethodPost, "/long/"+longID, longBody)
		return status == http.StatusOK
	})
	s.await("running", func() bool { return s.site.Running(longID) == longTasks })
	s.group.Go(s.load)
	s.strike()
	s.group.Wait()
	for _, h := range s.hosts {
		h.proxy.set(way{})
		h.signal(syscall.SIGCONT)
		s.start(h)
	}
	s.site.Store.SetFaults(basilfake.StoreFaults{})
	s.await("settled", func() bool { return len(s.wrong()) == 0 })
	wrong := slices.Concat(s.wrongJobs(), s.wrongMoves(), s.site.Broken())
	if len(wrong) > 0 {
		s.keepLogs(seed)
	}
	statuses := make(map[int]int)
	for _, status := range s.answers {
		statuses[status]++
	}
	return fmt.Sprintf("seed %d: jobs by answer %v, %d cancelled, faults %v, answers p50 %d p99 %d ms, wrong %d",
		seed, statuses, len(s.cancels), s.faults, s.latency.ValueAtQuantile(50), s.latency.ValueAtQuantile(99), len(wrong)), wrong
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
func seeds(t *testing.T) []uint64 {
	list := slices.Sorted(maps.Keys(regressions))
	first, last, ok := strings.Cut(os.Getenv("BASIL_SOAK_SEEDS"), "-")
	if !ok {
		return append(list, 2)
	}
	from, err := strconv.ParseUint(first, 10, 64)
	must.NoError(t, err)
	to, err := strconv.ParseUint(last, 10, 64)
	must.NoError(t, err)
	list = nil
	for n := from; n <= to; n++ {
		list = append(list, n)
	}
	return list
}

// TestSoak plays seeded series of faults against real processes; BASIL_SOAK_SEEDS=1-50 plays others than CI's.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "basilnode")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/basilnode").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for n, seed := range seeds(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			line, wrong := play(t, program, 20+n%200, seed)
			t.Log(line)
			must.SliceEmpty(t, wrong, must.Sprint(line))
		})
	}
}
