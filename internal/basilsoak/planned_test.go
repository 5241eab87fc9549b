package basilsoak_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	callersEach = 2 // callers of each entry host
	askEvery    = 50 * time.Millisecond
	slowAnswer  = 2 * lossSlack          // of the store, so that a cut falls after lossSlack
	lossSlack   = 200 * time.Millisecond // after it was sent, a request that was not read may be cut, by the pages' loss_slack_ms
)

// plannedKinds are the operators' work: restarts, signals and changes, while the store is slow at times.
func (s *soak) plannedKinds() map[string]func(h *entryHost, pick int) (mend func()) {
	faults := s.faultKinds()
	nothing := func() {}
	var version atomic.Int64
	version.Store(1)
	return map[string]func(*entryHost, int) func(){
		"stop": faults["stop"], "backend leaves": faults["backend leaves"],
		"store slow": func(*entryHost, int) func() { // requests are under way at a stop
			s.site.Store.SetFaults(basilfake.StoreFaults{Delay: slowAnswer})
			return func() { s.site.Store.SetFaults(basilfake.StoreFaults{}) }
		},
		"stop of all in turn": func(h *entryHost, pick int) func() {
			for n := range s.hosts {
				next := s.hosts[(h.number+n)%len(s.hosts)]
				next.end(true)
				s.start(next)
				time.Sleep(time.Duration(pick%1000) * time.Millisecond)
			}
			return nothing
		},
		"reload": func(h *entryHost, _ int) func() {
			h.hangUp()
			return nothing
		},
		"configuration": func(_ *entryHost, pick int) func() {
			changed := strings.Replace(configuration, `"slo_ms":600`, fmt.Sprintf(`"slo_ms":%d`, 600+pick%400), 1)
			s.site.Configure(fmt.Sprintf(changed, version.Add(1)))
			return nothing
		},
	}
}

// caller uses one connection to one entry host for as long as it is open.
type caller struct {
	*soak
	host    *entryHost
	address string
	client  *http.Client
}

func (s *soak) newCaller(h *entryHost) *caller {
	return &caller{soak: s, host: h, address: h.ip + ":8624", client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}}
}

// request makes a request and returns the status, 0 for no answer, and the body. A connection that ends without a whole answer
// is wrong unless the process may not have read the request.
func (c *caller) request(method, id, body string) (int, string) {
	var wrote atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			wrote.Store(time.Now().UnixNano())
		}
	}})
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+"/quote/"+id, strings.NewReader(body))
	must.NoError(c.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Deadline-Ms", "3000")
	c.requests.Add(1)
	began := time.Now()
	answer, err := c.client.Do(r)
	if err == nil {
		defer answer.Body.Close()
		var read []byte
		if read, err = io.ReadAll(answer.Body); err == nil {
			c.record(time.Since(began))
			return answer.StatusCode, string(read)
		}
	}
	if after := time.Since(time.Unix(0, wrote.Load())); wrote.Load() != 0 && after > lossSlack {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.cut = append(c.cut, fmt.Sprintf("%s %s has no answer of entry-%d %v after it was sent: %v", method, id, c.host.number, after, err))
	}
	return 0, ""
}

// loadOnOpenConnections has callers hand jobs in, each at its entry host and again until the job is accepted, and ask there
// until it has ended.
func (s *soak) loadOnOpenConnections() {
	var group sync.WaitGroup
	until := time.Now().Add(faultTime)
	for n := range callersEach * len(s.hosts) {
		c := s.newCaller(s.hosts[n%len(s.hosts)])
		group.Go(func() {
			for job := 0; time.Now().Before(until); job++ {
				c.work(fmt.Sprintf("%08x%08x", n+1, job), until.Add(settleTime))
			}
		})
	}
	group.Wait()
}

// work hands a job in and asks for it until it has ended.
func (c *caller) work(id string, until time.Time) {
	c.site.Submitted(id, quoteBody, 3)
	c.mutex.Lock()
	c.answers[id] = http.StatusOK // each has to be accepted and to end
	c.mutex.Unlock()
	for method, body := http.MethodPost, quoteBody; time.Now().Before(until); time.Sleep(askEvery) {
		status, answer := c.request(method, id, body)
		switch {
		case status == http.StatusOK && method == http.MethodPost:
			method, body = http.MethodGet, ""
		case strings.Contains(answer, "completed"):
			return
		}
	}
}

// TestSoakOfPlannedWork plays restarts, signals and changes in series that overlap, while callers go on using their connections.
func TestSoakOfPlannedWork(t *testing.T) { playSeeds(t, seeds(t, 1603), true) }

// TestCutAnswersAreFound has requests end without an answer, late or soon after they were sent.
func TestCutAnswersAreFound(t *testing.T) {
	cases := map[string]struct {
		after time.Duration // until the connection is closed
		body  string        // sent before that, in part
		found int
	}{
		"not read": {after: lossSlack / 4}, "read and cut": {after: 2 * lossSlack, found: 1}, "cut within the answer": {2 * lossSlack, `{"st`, 1},
		"never answered": {after: 2 * callLimit, found: 1},
	}
	network := &loopback{part: claimPart(t)}
	defer network.close()
	n := 0
	for name, x := range cases {
		n++
		address := fmt.Sprintf("127.%d.3.%d:8624", network.part, n)
		network.Listen(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if x.body != "" {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, x.body) // the caller sees that it is not whole
				_ = http.NewResponseController(w).Flush()
			}
			select {
			case <-time.After(x.after):
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}))
		t.Run(name, func(t *testing.T) {
			s := &soak{fleet: &fleet{t: t}}
			c := s.newCaller(&entryHost{number: 1})
			c.address = address
			status, _ := c.request(http.MethodPost, checkID, quoteBody)
			must.Eq(t, 0, status)
			must.Len(t, x.found, s.cut)
		})
	}
}

// TestOwnExitsAreFound has a process end that was not told to.
func TestOwnExitsAreFound(t *testing.T) {
	program, err := exec.LookPath("true")
	must.NoError(t, err)
	network := &loopback{part: claimPart(t)}
	defer network.close()
	s := &soak{fleet: &fleet{t: t, program: program, directory: t.TempDir(), network: network}}
	for n := range 2 {
		h := &entryHost{number: n + 1, ip: fmt.Sprintf("127.%d.4.%d", network.part, n+1)}
		h.proxy, err = newProxy(h.ip+":9100", network.real(basilfake.StoreAddress))
		must.NoError(t, err)
		defer h.proxy.close()
		s.hosts = append(s.hosts, h)
	}
	s.start(s.hosts[1])
	<-s.hosts[1].ended
	must.Eq(t, []string{"entry-2 ended by itself 1 times"}, s.endAll())
	must.FileExists(t, filepath.Join(s.directory, "entry-2.log"))
}
