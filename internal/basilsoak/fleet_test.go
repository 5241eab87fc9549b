package basilsoak_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	entryHosts  = 3
	ownHosts    = 5 // of the pool at first
	spareHosts  = 3
	firstPart   = 20              // of the loopback network that a play uses
	parts       = 200             // as above
	graceTime   = 6 * time.Second // from SIGTERM to SIGKILL
	settingsFmt = `node: "entry-%[1]d"
role: "entry"
ip: "%[2]s"
zone: "north"
listen_addrs:
  front: "%[2]s:8624"
  readiness: "%[2]s:8622"
internal_ports: [7060, 7075]
heartbeat_ms: 1500
recommendation: "%[4]s"
limits: {cpu_share: 1.0, cores: 1, memory_mb: 256}
bounds: {max_hold_ms: 6000, stop_timeout_ms: 200, gang_timeout_ms: 3000, early_ms: 250, notice_ms: 4500, lease_ms: 3000,
  harm_ms: 4000, cancel_ms: 3000, grace_s: 6, status_s: 120, maintenance_s: 2, migrate_s: 1.5, far_factor: 2, checkpoint_s: 1, restore_ms: 250}
platform: {address: "%[3]s", cross_shard: true, writes_per_s: 600, partition_writes_s: 300}
cloud_api: {address: "%[5]s", duty_per_s: 64}
`
	configuration = `{"version":%d,"routes":[
 {"name":"quote","host":"shop.example","path_prefix":"/quote/","service":"stretch","timeout_ms":3000,"slo_ms":600,"stretch":1.6,"max_attempts":3},
 {"name":"long","host":"shop.example","path_prefix":"/long/","service":"stretch","timeout_ms":3000,"slo_ms":2500,"stretch":2.2,"max_attempts":3}],
 "services":[{"name":"stretch","enforces_capacity":true},{"name":"spare","standby":true}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":8192}}`
)

// loopback serves the stand-ins on addresses of one part of the loopback network.
type loopback struct {
	part    int // the second number of the addresses
	mutex   sync.Mutex
	servers map[string]*http.Server
}

// real returns the address behind one of the site's names.
func (l *loopback) real(name string) string {
	switch name {
	case basilfake.StoreAddress:
		return fmt.Sprintf("127.%d.1.1:9000", l.part)
	case basilfake.MachinesAddress:
		return fmt.Sprintf("127.%d.1.2:9000", l.part)
	case basilfake.AdviceAddress:
		return fmt.Sprintf("127.%d.1.3:9000", l.part)
	}
	return name
}

// Listen serves the handler at an address; nil ends that at once.
func (l *loopback) Listen(name string, h http.Handler) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.servers == nil {
		l.servers = make(map[string]*http.Server)
	}
	if s := l.servers[name]; s != nil {
		go s.Close()
		delete(l.servers, name)
	}
	if h == nil {
		return
	}
	listener, err := net.Listen("tcp", l.real(name))
	if err != nil {
		panic(err) // the address is this test's own
	}
	s := &http.Server{Handler: h}
	l.servers[name] = s
	go func() { _ = s.Serve(listener) }()
}

func (l *loopback) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// entryHost is one process, and the proxy on its way to the store.
type entryHost struct {
	mutex    sync.Mutex // held by who starts or ends the process
	number   int
	ip       string
	proxy    *proxy
	process  *exec.Cmd
	ended    chan struct{}
	target   atomic.Pointer[os.Process] // of signals, also while the process is being ended
	ownExits atomic.Int64               // processes that ended without being told to
}

// fleet is a site with entry hosts as processes.
type fleet struct {
	t         *testing.T
	program   string
	directory string
	network   *loopback
	site      *basilfake.Site
	hosts     []*entryHost
}

// claims hold the parts of the loopback network that this process has used: timers of a site outlive its play.
var claims struct {
	sync.Mutex
	list []net.Listener
}

// claimPart returns a part of the loopback network that no other play uses, also of other test processes.
func claimPart(t *testing.T) int {
	for n := range parts {
		part := firstPart + (os.Getpid()+n)%parts
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:9000", part))
		if err == nil {
			claims.Lock()
			defer claims.Unlock()
			claims.list = append(claims.list, claim)
			return part
		}
	}
	t.Fatal("all parts of the loopback network are in use")
	return 0
}

func newFleet(t *testing.T, program string, work basilfake.Work) *fleet {
	part := claimPart(t)
	f := &fleet{t: t, program: program, directory: t.TempDir(), network: &loopback{part: part}}
	f.site = basilfake.NewSite(f.network, work)
	f.site.SetAddresses(func(life int) string { return fmt.Sprintf("127.%d.%d.%d:9000", part, 100+life/250, 1+life%250) })
	f.site.Configure(fmt.Sprintf(configuration, 1))
	f.site.AddPool("stretch", ownHosts, 16000, 65536, false)
	f.site.AddPool("spare", spareHosts, 16000, 65536, true)
	for n := range entryHosts {
		h := &entryHost{number: n + 1, ip: fmt.Sprintf("127.%d.2.%d", part, n+1)}
		var err error
		h.proxy, err = newProxy(h.ip+":9100", f.network.real(basilfake.StoreAddress))
		must.NoError(t, err)
		f.hosts = append(f.hosts, h)
		f.start(h)
	}
	return f
}

// start starts the entry host's process, unless it runs.
func (f *fleet) start(h *entryHost) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process != nil {
		return
	}
	path := filepath.Join(f.directory, fmt.Sprintf("entry-%d.yaml", h.number))
	settings := fmt.Sprintf(settingsFmt, h.number, h.ip, h.proxy.listener.Addr(), f.network.real(basilfake.AdviceAddress), f.network.real(basilfake.MachinesAddress))
	must.NoError(f.t, os.WriteFile(path, []byte(settings), 0o600))
	log, err := os.OpenFile(filepath.Join(f.directory, fmt.Sprintf("entry-%d.log", h.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(f.t, err)
	c := exec.Command(f.program)
	c.Env = append(os.Environ(), "BASILSTAGE_NODE_FILE="+path)
	c.Stdout, c.Stderr = log, log
	must.NoError(f.t, c.Start())
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	h.process, h.ended = c, ended
	h.target.Store(c.Process)
}

// signal sends a signal to the entry host's process, if it runs.
func (h *entryHost) signal(s syscall.Signal) {
	if p := h.target.Load(); p != nil {
		_ = p.Signal(s) // one that has ended by itself is found by its end
	}
}

// hangUp sends SIGHUP to the entry host's process once it listens; before, the signal would end it.
func (h *entryHost) hangUp() {
	p := h.target.Load()
	if p == nil {
		return
	}
	if c, err := net.DialTimeout("tcp", h.ip+":8622", callLimit); err == nil {
		_ = c.Close()
		_ = p.Signal(syscall.SIGHUP) // as above
	}
}

// end ends the entry host's process, gracefully or not.
func (h *entryHost) end(graceful bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process == nil {
		return
	}
	select {
	case <-h.ended:
		h.ownExits.Add(1)
	default:
	}
	if graceful {
		_ = h.process.Process.Signal(syscall.SIGTERM) // as above
		select {
		case <-h.ended:
		case <-time.After(graceTime):
		}
	}
	_ = h.process.Process.Kill() // as above
	<-h.ended
	h.target.Store(nil)
	h.process = nil
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		h.end(false)
		h.proxy.close()
	}
	f.site.Close()
	f.network.close()
}
