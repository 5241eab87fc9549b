package basilentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilentry"
	"basilstage.example/basilstage/internal/basilkeys"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
	"basilstage.example/basilstage/internal/basilsettings"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
	"basilstage.example/basilstage/pkg/basilclient"
)

// awaitLimit ends a wait for an event that never comes.
const awaitLimit = time.Minute

// node is one entry host of a cluster, with switches for its links.
type node struct {
	id, dataCentre, http, peer string
	cutOff                     atomic.Bool // from the platform and from other data centres
	alone                      atomic.Bool // from all other entry hosts
	client                     *basilclient.Client
	log                        logBuffer
	stop                       func()
}

// cluster runs entry hosts on loopback in this process, with one table and a few backend servers.
type cluster struct {
	t        testing.TB
	platform *basilstandin.Platform
	endpoint string
	backends map[string]*basilstandin.Backend
	nodes    []*node
	keys     string
	lists    atomic.Int64 // reads of the host list, by all entry hosts
}

// newCluster starts an entry host in each of the data centres; the network tells the loopback addresses of one process's clusters apart.
func newCluster(t testing.TB, network byte, dataCentres ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: basilstandin.NewPlatform(basilstandin.PlatformOptions{}), backends: make(map[string]*basilstandin.Backend)}
	c.endpoint = c.serve(c.platform.Handler())
	var members []basilkeys.Member
	for n, d := range dataCentres {
		ip := fmt.Sprintf("127.%d.%d.%d", network, 1+os.Getpid()%250, n+1)
		c.nodes = append(c.nodes, &node{id: fmt.Sprintf("e%d", n+1), dataCentre: d, http: ip + ":8443", peer: ip + ":7443"})
		members = append(members, basilkeys.Member{ID: c.nodes[n].id, Addresses: []net.IP{net.ParseIP(ip)}})
	}
	c.keys = filepath.Join(t.TempDir(), "keys")
	must.NoError(t, basilkeys.Make(c.keys, members))
	for _, n := range c.nodes {
		c.start(n)
	}
	return c
}

func (c *cluster) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	c.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func (c *cluster) addHost(id, dataCentre, pool string, o basilstandin.BackendOptions) {
	o.ID = id
	c.backends[id] = basilstandin.NewBackend(o)
	c.platform.AddHost(basilplatform.ListedHost{
		ID: id, DataCentre: dataCentre, Rack: "rack-" + id, Pool: pool, Address: c.serve(c.backends[id].Handler()),
	})
}

func (c *cluster) start(n *node) {
	c.t.Helper()
	var peers strings.Builder
	for _, p := range c.nodes {
		fmt.Fprintf(&peers, "  - {id: %s, data_centre: %s, address: %s}\n", p.id, p.dataCentre, p.peer)
	}
	s, err := basilsettings.Parse(n.id, fmt.Appendf(nil, `member: %[1]s
data_centre: %[2]s
listen: {http: "%[3]s", peer: "%[4]s"}
peers:
%[5]splatform:
  table: {endpoint: "http://%[6]s", region: test, table_name: test, access_key: a, secret_key: b}
  hosts: {endpoint: "http://%[6]s"}
tls:
  plain_text: true
  peer: {ca: "%[7]s/ca.pem", certificate: "%[7]s/%[1]s.pem", key: "%[7]s/%[1]s-key.pem"}
`, n.id, n.dataCentre, n.http, n.peer, peers.String(), c.endpoint, c.keys))
	must.NoError(c.t, err)
	log, err := basillog.New(&n.log, "debug")
	must.NoError(c.t, err)
	client := &http.Client{Timeout: 5 * time.Second}
	e, err := basilentry.New(basilentry.Options{
		Settings: s, Log: log,
		Ports: basilentry.Ports{
			Table:   &linkedTable{Table: c.platform.Table(), cutOff: &n.cutOff},
			List:    &countedList{HostList: basilfleet.NewHostList("http://"+c.endpoint, client), cutOff: &n.cutOff, count: &c.lists},
			Control: basilfleet.NewHostControl("http://"+c.endpoint, client),
			Tasks:   basilfleet.NewTasks(client),
		},
		Gate: func(peer string) bool { return !c.apart(n, peer) },
	})
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		if err := e.Run(ctx); err != nil {
			c.t.Errorf("%s ended: %v", n.id, err)
		}
	})
	n.stop = func() {
		cancel()
		group.Wait()
	}
	n.client = basilclient.NewClient(basilclient.Options{Addresses: []string{"http://" + n.http}})
	c.t.Cleanup(n.stop)
}

// logBuffer keeps what an entry host logs.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(b)
}

// String returns the log so far.
func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// apart tells whether the link between the entry host and the peer is cut.
func (c *cluster) apart(n *node, peer string) bool {
	for _, p := range c.nodes {
		if p.id == peer {
			return n.alone.Load() || p.alone.Load() || p.dataCentre != n.dataCentre && (p.cutOff.Load() || n.cutOff.Load())
		}
	}
	return false
}

func (c *cluster) await(what string, holds func() bool) {
	c.t.Helper()
	end := time.Now().Add(awaitLimit)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		if time.Now().After(end) {
			c.t.Fatalf("never came: %s\n%s", what, c.report())
		}
		<-tick.C
	}
}

// report tells what each entry host knows and has logged.
func (c *cluster) report() string {
	var text strings.Builder
	for _, n := range c.nodes {
		fmt.Fprintf(&text, "%s: %s\n", n.id, n.log.String())
		for _, q := range []string{"hosts", "members", "peers"} {
			a, err := n.client.Query(context.Background(), q)
			fmt.Fprintf(&text, "  %s: %v %v\n", q, a.Rows, err)
		}
	}
	return text.String()
}

func (c *cluster) rows(n *node, query string) int {
	a, err := n.client.Query(c.t.Context(), query)
	if err != nil {
		return -1
	}
	return len(a.Rows)
}

// open declares the configuration and waits until every entry host knows all hosts.
func (c *cluster) open(r basilmodel.ConfigurationRecord) {
	c.t.Helper()
	document, err := json.Marshal(r)
	must.NoError(c.t, err)
	c.await("the opening", func() bool {
		_, err := c.nodes[0].client.Command(c.t.Context(), basilapi.OperatorRequest{ID: "opening", Text: "apply configuration", Body: document})
		return err == nil
	})
	for _, n := range c.nodes {
		c.await(n.id+" knows all hosts", func() bool { return c.rows(n, "hosts where state = active") == len(c.backends) })
	}
}

func (c *cluster) command(n *node, text string) {
	c.t.Helper()
	_, err := n.client.Command(c.t.Context(), basilapi.OperatorRequest{Text: text})
	must.NoError(c.t, err)
}

// linkedTable is the table over a link that can be cut.
type linkedTable struct {
	basilplatform.Table
	cutOff *atomic.Bool
}

func (l *linkedTable) away(operation string) error {
	if l.cutOff.Load() {
		return basilplatform.ErrUnavailable{Operation: operation}
	}
	return nil
}

func (l *linkedTable) Get(ctx context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	if err := l.away("get"); err != nil {
		return basilplatform.Item{}, err
	}
	return l.Table.Get(ctx, k)
}

func (l *linkedTable) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	if err := l.away("query"); err != nil {
		return nil, err
	}
	return l.Table.Query(ctx, partition, after, limit)
}

func (l *linkedTable) Transact(ctx context.Context, x basilplatform.Transaction) error {
	if err := l.away("transact"); err != nil {
		return err
	}
	return l.Table.Transact(ctx, x)
}

// countedList counts the reads of the host list, over a link that can be cut.
type countedList struct {
	basilplatform.HostList
	cutOff *atomic.Bool
	count  *atomic.Int64
}

func (l *countedList) List(ctx context.Context) ([]basilplatform.ListedHost, error) {
	if l.cutOff.Load() {
		return nil, basilplatform.ErrUnavailable{Operation: "list"}
	}
	l.count.Add(1)
	return l.HostList.List(ctx)
}
