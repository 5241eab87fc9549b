package basilnode_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilnode"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
	"basilstage.example/basilstage/platform"
	"basilstage.example/basilstage/platform/basilfake"
)

const (
	quoteHost           = "shop.example"
	quotePrefix         = "/quote/"
	longPrefix          = "/long/"
	maxAttempts         = 3
	directoryTimeout    = 2500 * time.Millisecond // of the program
	delayedCallsTimeout = 10 * time.Second        // until delayed calls have ended: up to 7 s of delay and 3 s for a call
)

const configuration = `{"version":%d,"routes":[
 {"name":"quote","host":"shop.example","path_prefix":"/quote/","service":"stretch","timeout_ms":3000,"slo_ms":600,"stretch":1.6,"max_attempts":3%s},
 {"name":"long","host":"shop.example","path_prefix":"/long/","service":"stretch","timeout_ms":3000,"slo_ms":2500,"stretch":2.2,"max_attempts":3}],
 "services":[{"name":"stretch","enforces_capacity":true},{"name":"spare","standby":true}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":8192}}`

// entryHost is one running entry host of a cluster.
type entryHost struct {
	name   string
	node   *basilnode.Node
	link   *basilstandin.Link
	client *basilsite.Client
	cancel context.CancelFunc
	done   chan struct{}
}

// cluster is a fake site with entry hosts, in one synctest bubble.
type cluster struct {
	t               *testing.T
	network         *basilstandin.Network
	site            *basilfake.Site
	hosts           map[string]*entryHost
	starts          int
	began           time.Time
	weights         map[string]float64     // weights of entry hosts; 1 if missing
	bandwidths      map[string]int         // bytes per second that the links of entry hosts carry to them; no limit if missing
	lostTable       atomic.Pointer[string] // see loseAnswers
	maxHold         time.Duration          // longest lease of backend servers; 6 s if zero
	singlePartition bool                   // the store has no transactions over several partitions
	share           atomic.Int64           // percentage of a core that each entry host's process gets
	percent         map[string]int         // garbage collection percentage, by entry host
	dueRestarts     []string               // entry hosts to be restarted
	watchesSilentAt time.Time              // when the connections of the open watches of the configuration went silent
	behind          map[string]bool        // entry hosts that keep the configuration that they have
	mutex           sync.Mutex             // guards percent, dueRestarts, behind and the results of callers' goroutines
}

// newCluster returns a running site with the given numbers of entry hosts and hosts.
func newCluster(t *testing.T, entryHosts, hosts int, work basilfake.Work) *cluster {
	t.Helper()
	network := &basilstandin.Network{}
	c := &cluster{t: t, network: network, site: basilfake.NewSite(network, work), hosts: make(map[string]*entryHost), percent: make(map[string]int), behind: make(map[string]bool), began: time.Now()}
	c.site.Configure(fmt.Sprintf(configuration, 1, ""))
	c.site.AddPool("stretch", hosts, 16000, 65536, false)
	c.site.AddPool("spare", 2, 16000, 65536, true)
	for n := range entryHosts {
		c.start(fmt.Sprintf("entry-%d", n+1))
	}
	time.Sleep(3 * time.Second)
	return c
}

// run runs a test with a cluster in a synctest bubble, and checks at the end that no guarantee was violated.
func run(t *testing.T, entryHosts, hosts int, work basilfake.Work, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, entryHosts, hosts, work)
		defer c.close()
		f(c)
		must.Eq(t, nil, c.site.Broken())
	})
}

// setGCPercent records the garbage collection percentage that an entry host sets.
func (c *cluster) setGCPercent(name string, percent int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.percent[name] = percent
}

// gcPercent returns the garbage collection percentage that an entry host has set.
func (c *cluster) gcPercent(name string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.percent[name]
}

// setBehind has an entry host keep the configuration that it has, or take up the newest one with the next change.
func (c *cluster) setBehind(name string, behind bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.behind[name] = behind
}

// laggingDirectory returns an old configuration while its entry host is behind.
type laggingDirectory struct {
	basilwork.Directory
	behind func() bool
	known  *basilwork.Configuration
	silent func(began time.Time) bool // the connection of a watch that began at the time has gone silent since
}

func (d *laggingDirectory) WatchOperator(ctx context.Context, after int64, wait time.Duration) (basilwork.Changes, error) {
	began := time.Now()
	changes, err := d.Directory.WatchOperator(ctx, after, wait)
	if !d.silent(began) {
		return changes, err
	}
	_ = basiltimer.Wait(ctx, time.Until(began.Add(wait+directoryTimeout))) // the answer is lost either way
	return basilwork.Changes{}, basilplatform.ErrUnavailable{Operation: "watch"}
}

func (d *laggingDirectory) Configuration(ctx context.Context) (*basilwork.Configuration, int64, error) {
	c, version, err := d.Directory.Configuration(ctx)
	if err == nil && (d.known == nil || !d.behind()) {
		d.known = c
	}
	return d.known, version, err
}

// startLater marks an entry host as due for a restart after the given time.
func (c *cluster) startLater(name string, after time.Duration) {
	time.AfterFunc(after, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.dueRestarts = append(c.dueRestarts, name)
	})
}

// close kills all entry hosts and closes the site.
func (c *cluster) close() {
	for name := range c.hosts {
		c.kill(name)
	}
	c.site.Close()
	time.Sleep(delayedCallsTimeout) // delayed calls outlive their callers, but must end within the bubble
}

func (c *cluster) start(name string) {
	c.starts++
	l := &basilstandin.Link{Network: c.network}
	client := basilsite.NewClientOn(c.limitBandwidth(name, &lossyLink{l, &c.lostTable}))
	store := basilsite.NewStore(client, func() string { return basilfake.StoreAddress }, 4*time.Second)
	began := c.began
	clock := func() time.Duration { return time.Since(began) + time.Second }
	storeClock := basilwork.NewStoreClock(clock)
	store.SetClock(storeClock)
	weight := c.weights[name]
	if weight == 0 {
		weight = 1
	}
	directoryStore := basilsite.NewStore(client, func() string { return basilfake.StoreAddress }, directoryTimeout)
	directory := &laggingDirectory{Directory: basilsite.NewDirectory(directoryStore), behind: func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.behind[name]
	}, silent: func(began time.Time) bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return began.Before(c.watchesSilentAt)
	}}
	node := basilnode.New(basilnode.Options{
		Self:  basilshard.Member{Node: name, Incarnation: fmt.Sprintf("%s.%d", name, c.starts), Zone: "north", Weight: weight, Address: peerAddress(name), Started: time.Now().UnixMilli()},
		Clock: clock, StoreClock: storeClock,
		Lease: 1250 * time.Millisecond, MaxLease: 5 * time.Second, MaxHold: cmp.Or(c.maxHold, 6*time.Second), HoldLimit: 3500 * time.Millisecond,
		SinglePartition: c.singlePartition, StatusRetention: 2 * time.Minute, StopTimeout: 900 * time.Millisecond, HolderChangeDelay: 3 * time.Second, MoveDuration: 1500 * time.Millisecond, MaintenanceDuration: 2 * time.Second,
		Store: store, Directory: directory, Commander: basilsite.NewCommander(client),
		Advisor:  basilsite.NewAdvisor(client, func() string { return basilfake.AdviceAddress }),
		Machines: basilsite.NewMachines(client, func() string { return basilfake.MachinesAddress }, time.Second),
		Codec:    basilsite.Codec{}, Log: testLog(), Peers: l,
		SetGCPercent:  func(percent int) { c.setGCPercent(name, percent) },
		ProcessorTime: func() time.Duration { return time.Duration(c.share.Load() * int64(time.Since(began)) / 100) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	h := &entryHost{name: name, node: node, link: l, client: client, cancel: cancel, done: make(chan struct{})}
	c.hosts[name] = h
	c.network.Listen(peerAddress(name), node.Peer())
	go func() {
		defer close(h.done)
		node.Run(ctx)
	}()
}

// ledger returns a ledger on the site's store that no entry host uses.
func (c *cluster) ledger() *basilledger.Ledger {
	client := basilsite.NewClientOn(&basilstandin.Link{Network: c.network})
	return basilledger.New(basilsite.NewStore(client, func() string { return basilfake.StoreAddress }, time.Second))
}

// peerAddress returns the address at which other entry hosts reach the named one.
func peerAddress(name string) string { return name + ":7060" }

// delay delays an entry host's calls.
func (c *cluster) delay(name string, d time.Duration) {
	c.hosts[name].link.Hold(d)
}

// kill ends an entry host without a graceful shutdown.
func (c *cluster) kill(name string) {
	h := c.hosts[name]
	delete(c.hosts, name)
	c.network.Listen(peerAddress(name), nil)
	h.cancel()
	<-h.done
}

// stop shuts an entry host down gracefully.
func (c *cluster) stop(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.hosts[name].node.Stop(ctx)
	c.kill(name)
}

// owner returns the name of the entry host that owns the shard.
func (c *cluster) owner(shard string) string {
	for _, h := range c.hosts {
		if node, _ := h.node.Holder(shard); node != "" {
			return node
		}
	}
	return ""
}

// other returns the name of an entry host that does not own the shard.
func (c *cluster) other(shard string) string {
	owner := c.owner(shard)
	for n := 1; ; n++ {
		name := fmt.Sprintf("entry-%d", n)
		if name != owner && c.hosts[name] != nil {
			return name
		}
	}
}

// call makes a caller's request at an entry host and returns its status and body.
func (c *cluster) call(name, method, path, body string) (int, string) {
	return c.callHost(c.hosts[name], method, path, body)
}

func (c *cluster) callHost(h *entryHost, method, path, body string) (int, string) {
	r := httptest.NewRequest(method, "http://"+quoteHost+path, strings.NewReader(body))
	r.Header.Set(basilsite.HeaderDeadline, "2500")
	w := httptest.NewRecorder()
	if h == nil {
		return http.StatusBadGateway, ""
	}
	h.node.Front().ServeHTTP(w, r)
	read, err := io.ReadAll(w.Result().Body)
	must.NoError(c.t, err)
	if w.Code == http.StatusServiceUnavailable || w.Code == http.StatusTooManyRequests {
		must.NotEq(c.t, "", w.Header().Get("Retry-After"))
	}
	return w.Code, string(read)
}

// submit submits a job and returns the status.
func (c *cluster) submit(name, prefix, id, body string) int {
	c.site.Submitted(id, body, maxAttempts)
	status, _ := c.call(name, http.MethodPost, prefix+id, body)
	return status
}

// state returns the state of a job according to an entry host, or the status text of a response other than 200.
func (c *cluster) state(name, prefix, id string) string {
	status, body := c.call(name, http.MethodGet, prefix+id, "")
	if status != http.StatusOK {
		return http.StatusText(status)
	}
	state := strings.Trim(strings.TrimPrefix(body, `{"state":`), `"}`)
	c.site.Shown(id, state)
	return state
}

// await waits until any entry host reports the state for the job.
func (c *cluster) await(prefix, id, state string, within time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	last := ""
	for time.Now().Before(deadline) {
		for name := range c.hosts {
			last = c.state(name, prefix, id)
			break
		}
		if last == state {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	must.Eq(c.t, state, last, must.Sprintf("job %s", id))
}

// constant returns work that always takes the given time and succeeds; long-running tasks never end.
func constant(d time.Duration) basilfake.Work {
	return func(task string, _ int) (time.Duration, bool) {
		if strings.HasPrefix(task, "f") { // prefix of the ids of long-running jobs in these tests
			return -1, false
		}
		return d, false
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// Jobs that the tests submit.
const (
	twoSteps       = `{"spec":"boot","steps":[{"count":3,"cpu":2000,"mem_mb":512,"estimate_ms":500},{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":500,"after":[0]}]}`
	longRunningJob = `{"spec":"night","steps":[{"count":3,"cpu":2000,"mem_mb":512,"long_running":true,"anti_affinity":1,"max_unavailable":1}]}`
	longRunningID  = "f000000000000001"
)

func testLog() *logrus.Logger {
	if os.Getenv("BASIL_TEST_LOG") == "" {
		return basillog.Discard()
	}
	l, _ := basillog.New(os.Stderr, "debug")
	return l
}
