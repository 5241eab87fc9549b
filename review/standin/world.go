package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	ackTime     = 4 * time.Second  // ack_ms
	finishTime  = 14 * time.Second // finish_s
	entryHosts  = 3
	graceTime   = 6 * time.Second // from SIGTERM to SIGKILL
	startLimit  = 10 * time.Second
	callLimit   = 3 * time.Second
	host        = "shop.example"
	firstPart   = 20 // of the loopback network that a play uses
	parts       = 200
	settingsFmt = `node: "entry-%[1]d"
role: "entry"
machine_class: "edge"
serves: ["edge"]
ip: "%[2]s"
zone: "north"
region: "land"
zones: {north: "land"}
listen_addrs: {front: "%[2]s:8624", readiness: "%[2]s:8622"}
internal_ports: [7060, 7075]
bootstrap: %[6]v
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: %[7]d.0, disk_mb: 0}
discovery: "platform"
entrypoint: "vip"
heartbeat_ms: 1500
recommendation: "%[4]s"
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, max_stretch_ms: 5000,
  recovery_s: 12, max_hold_ms: 6000, stop_timeout_ms: 900, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250,
  finish_s: 14, status_s: 120, far_factor: 3, checkpoint_s: 0.5, restore_ms: 600, notice_ms: 4500, migrate_s: 1.5, maintenance_s: 2,
  fencing_required: false, lease_ms: 3000, thaw_slack_ms: 300, pace_ms: 100, harm_ms: 4000}
commands: "invoke"
platform: {address: "%[3]s", form: "table", writes_per_s: 600, reads_per_s: 2000, tx_ms: 3.0, partition_writes_s: 300, row_bytes: 65536,
  cross_shard: true, history_s: 20}
cloud_api: {address: "%[5]s", rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`
	// quoteConfig is a manifest with one queue and one pool.
	quoteConfig = `{"version":%d,"routes":[{"name":"quote","host":"shop.example","path_prefix":"/quote/","kind":"unsafe","service":"stretch","timeout_ms":3000,
"slo_ms":600,"priority":0,"stretch":1.6,"max_attempts":4}],"services":[{"name":"stretch","health_path":"/health","max_connections":64,"enforces_capacity":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
)

// world is a site with entry hosts as processes, and the record of what happens.
type world struct {
	program string
	folder  string
	keep    bool
	part    int // the second number of the addresses
	claim   net.Listener
	site    *basilfake.Site
	began   time.Time
	mutex   sync.Mutex // guards the following fields
	record  *os.File
	servers map[string]*http.Server
	wrap    func(name string, h http.Handler) http.Handler // of the stand-ins' handlers; may be nil
	work    basilfake.Work
	links   bool // entry hosts reach the store over links of their own
	lines   bool // entry hosts reach the store over lines of their own
	hosts   []*entryHost
	closed  bool
}

// entryHost is one process of the system.
type entryHost struct {
	number  int
	ip      string
	process *exec.Cmd
	ended   chan struct{}
	link    *link // to the store, if it has one of its own
	line    *line // as above
}

func newWorld(program, path, keep string) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	w := &world{program: program, began: time.Now(), servers: make(map[string]*http.Server)}
	if w.record, err = os.Create(path); err != nil {
		return nil, err
	}
	if w.folder, w.keep = keep, keep != ""; keep == "" {
		if w.folder, err = os.MkdirTemp("", "review"); err != nil {
			return nil, err
		}
	}
	for n := range parts {
		w.part = firstPart + (os.Getpid()+n)%parts
		if w.claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:9000", w.part)); err == nil {
			break
		}
	}
	if w.claim == nil {
		return nil, errors.New("no free part of the loopback network")
	}
	return w, nil
}

// open builds the site. The store has the limits of the settings.
func (w *world) open(work basilfake.Work, configuration string) {
	w.work = work
	w.site = basilfake.NewSite(w, func(task string, attempt int) (time.Duration, bool) { return w.work(task, attempt) })
	w.site.Store.SetLimits(basilfake.StoreLimits{RowBytes: 65536, PartWrites: 300, Takes: 3 * time.Millisecond})
	w.site.SetAddresses(func(life int) string { return fmt.Sprintf("127.%d.%d.%d:9000", w.part, 100+life/250, 1+life%250) })
	w.site.Configure(configuration)
}

// address returns the address behind one of the site's names.
func (w *world) address(name string) string {
	switch name {
	case basilfake.StoreAddress:
		return fmt.Sprintf("127.%d.1.1:9000", w.part)
	case basilfake.MachinesAddress:
		return fmt.Sprintf("127.%d.1.2:9000", w.part)
	case basilfake.AdviceAddress:
		return fmt.Sprintf("127.%d.1.3:9000", w.part)
	}
	return name
}

// Listen implements basilfake.Network; nil ends what listens.
func (w *world) Listen(name string, h http.Handler) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if s := w.servers[name]; s != nil {
		_ = s.Close()
		delete(w.servers, name)
	}
	if h == nil || w.closed {
		return
	}
	if w.wrap != nil {
		h = w.wrap(name, h)
	}
	l, err := net.Listen("tcp", w.address(name))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot listen:", err)
		os.Exit(exitFailed)
	}
	s := &http.Server{Handler: h}
	w.servers[name] = s
	go func() { _ = s.Serve(l) }()
}

// startHosts starts all entry hosts and waits until they are ready.
func (w *world) startHosts() error {
	for n := range entryHosts {
		h := &entryHost{number: n + 1, ip: fmt.Sprintf("127.%d.2.%d", w.part, n+1)}
		w.hosts = append(w.hosts, h)
		if err := w.start(h, true); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := w.awaitReady(h); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // the pools get their owners; traffic starts some seconds after the machines
	return nil
}

func (w *world) start(h *entryHost, first bool) error {
	path := filepath.Join(w.folder, fmt.Sprintf("entry-%d.yaml", h.number))
	store, linkMbps := w.address(basilfake.StoreAddress), 1000
	if w.links {
		linkMbps = slowLinkMbps
		if h.link == nil {
			var err error
			if h.link, err = newLink(h.ip+":9100", store); err != nil {
				return err
			}
		}
		store = h.link.listener.Addr().String()
	}
	if w.lines {
		if h.line == nil {
			var err error
			if h.line, err = newLine(h.ip+":9100", store); err != nil {
				return err
			}
		}
		store = h.line.address()
	}
	settings := fmt.Sprintf(settingsFmt, h.number, h.ip, store, w.address(basilfake.AdviceAddress), w.address(basilfake.MachinesAddress), first, linkMbps)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.folder, fmt.Sprintf("entry-%d.log", h.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(w.program)
	c.Env = append(os.Environ(), "BASILSTAGE_NODE_FILE="+path)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives this program
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	w.mutex.Lock()
	h.process, h.ended = c, ended
	w.mutex.Unlock()
	w.note("entry-%d started", h.number)
	return nil
}

func (w *world) awaitReady(h *entryHost) error {
	for until := time.Now().Add(startLimit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		r, err := http.Get("http://" + h.ip + ":8622/api/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry-%d is not ready", h.number)
}

// restart ends the entry host's process with SIGTERM, as the platform does, and starts it again.
func (w *world) restart(h *entryHost) error {
	w.note("SIGTERM to entry-%d", h.number)
	_ = h.process.Process.Signal(syscall.SIGTERM) // one that has ended is found by its end
	select {
	case <-h.ended:
	case <-time.After(graceTime):
	}
	w.kill(h)
	w.note("entry-%d ended", h.number)
	return w.start(h, false)
}

func (w *world) kill(h *entryHost) {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill() // as above
	<-h.ended
}

func (w *world) close() {
	w.mutex.Lock()
	if w.closed {
		w.mutex.Unlock()
		return
	}
	w.closed = true
	hosts := w.hosts
	w.mutex.Unlock()
	for _, h := range hosts {
		w.kill(h)
	}
	if w.site != nil {
		w.site.Close()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = w.claim.Close()
	_ = w.record.Close()
	if !w.keep {
		_ = os.RemoveAll(w.folder)
	}
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// noteRuns writes all runs that backend servers had.
func (w *world) noteRuns() {
	if w.site == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintln(w.record, "runs: task attempt server from to end")
	for _, r := range w.site.Runs() {
		end := "-"
		if !r.Ended.IsZero() {
			end = fmt.Sprintf("%.3f", r.Ended.Sub(w.began).Seconds())
		}
		fmt.Fprintf(w.record, "  %s %d %s %.3f %s %s\n", r.Task, r.Attempt, r.Backend, r.Started.Sub(w.began).Seconds(), end, r.How)
	}
}

// call sends one request of a caller to an entry host and returns the status, 0 for no answer, and the body.
func (w *world) call(h *entryHost, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+h.ip+":8624"+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: callLimit}
	answer, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in, at other entry hosts after no answer, as callers do, and reports whether it was accepted.
func (w *world) submit(prefix, id, body string, attempts int) bool {
	w.site.Submitted(id, body, attempts)
	for n := range 5 {
		status, text := w.call(w.hosts[n%len(w.hosts)], http.MethodPost, prefix+id, body)
		w.note("POST %s%s (%d bytes) at entry-%d: %d %s", prefix, id, len(body), n%len(w.hosts)+1, status, text)
		switch status {
		case http.StatusOK:
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			continue
		}
		time.Sleep(time.Second) // the caller is told to come back
	}
	return false
}

// state asks an entry host for the state of a job, others after no answer or 503.
func (w *world) state(prefix, id string) string {
	for n := range 5 {
		status, text := w.call(w.hosts[n%len(w.hosts)], http.MethodGet, prefix+id, "")
		switch status {
		case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			time.Sleep(300 * time.Millisecond)
			continue
		case http.StatusOK:
			text = strings.TrimSuffix(strings.TrimPrefix(text, `{"state":"`), `"}`)
			return text
		}
		return fmt.Sprint(status)
	}
	return "no answer"
}
