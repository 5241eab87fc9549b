package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// awaitLimit ends a wait for an event that never comes.
const awaitLimit = time.Minute

// lab runs the two programs as separate processes in a directory of its own.
type lab struct {
	t         testing.TB
	directory string
	programs  string
	platform  string
	network   string // the first three numbers of its loopback addresses
	hosts     int    // addresses given out
	running   map[string]*exec.Cmd
}

func newLab(t testing.TB) *lab {
	t.Helper()
	l := &lab{t: t, directory: t.TempDir(), programs: t.TempDir(), running: make(map[string]*exec.Cmd)}
	for name, source := range map[string]string{"basilstage": ".", "basilstandin": "./cmd/basilstandin"} {
		out, err := exec.Command("go", "build", buildMode, "-o", filepath.Join(l.programs, name), source).CombinedOutput()
		must.NoError(t, err, must.Sprint(string(out)))
	}
	t.Cleanup(l.killAll)
	return l
}

func (l *lab) killAll() {
	for _, p := range l.running {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

// start runs a program in the background; what it prints goes to NAME.log.
func (l *lab) start(name, program string, args ...string) {
	l.t.Helper()
	log, err := os.Create(filepath.Join(l.directory, name+".log"))
	must.NoError(l.t, err)
	c := exec.Command(filepath.Join(l.programs, program), args...)
	c.Dir = l.directory
	c.Stdout = log
	c.Stderr = log
	must.NoError(l.t, c.Start())
	l.running[name] = c
}

// stop sends SIGTERM and returns the exit status.
func (l *lab) stop(name string) int {
	l.t.Helper()
	p := l.running[name]
	must.NoError(l.t, p.Process.Signal(syscall.SIGTERM))
	_ = p.Wait()
	delete(l.running, name)
	return p.ProcessState.ExitCode()
}

func (l *lab) kill(name string) {
	l.t.Helper()
	p := l.running[name]
	must.NoError(l.t, p.Process.Kill())
	_ = p.Wait()
	delete(l.running, name)
}

// run runs basilstage to its end and returns what it printed and its exit status.
func (l *lab) run(args ...string) (string, int) {
	l.t.Helper()
	c := exec.Command(filepath.Join(l.programs, "basilstage"), args...)
	c.Dir = l.directory
	c.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0") // the client's goroutines have ended
	out, _ := c.CombinedOutput()                             // the exit status tells
	return string(out), c.ProcessState.ExitCode()
}

func (l *lab) write(name, text string) {
	l.t.Helper()
	must.NoError(l.t, os.WriteFile(filepath.Join(l.directory, name), []byte(text), 0o600))
}

func (l *lab) logged(name string) string {
	b, _ := os.ReadFile(filepath.Join(l.directory, name+".log"))
	return string(b)
}

// await waits until the condition holds.
func (l *lab) await(what string, holds func() bool) {
	l.t.Helper()
	end := time.Now().Add(awaitLimit)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		if time.Now().After(end) {
			l.t.Fatalf("never came: %s\ne1: %s", what, l.logged("e1"))
		}
		<-tick.C
	}
}

// address returns an address that nothing else uses: each has a loopback IP number of its own.
func (l *lab) address() string {
	l.t.Helper()
	if l.network == "" {
		held, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(l.t, err)
		l.t.Cleanup(func() { _ = held.Close() })
		port := held.Addr().(*net.TCPAddr).Port
		l.network = fmt.Sprintf("127.%d.%d", 1+port>>8%127, port&255)
	}
	l.hosts++
	return fmt.Sprintf("%s.%d:8443", l.network, l.hosts)
}

// startPlatform runs the platform's stand-in with these hosts.
func (l *lab) startPlatform(hosts []map[string]string) {
	l.t.Helper()
	b, err := json.Marshal(hosts)
	must.NoError(l.t, err)
	l.write("hosts.json", string(b))
	l.platform = l.address()
	l.start("platform", "basilstandin", "platform", "--listen", l.platform, "--hosts", "hosts.json", "--reboot-time", "100ms")
}

// member is one entry host of the lab.
type member struct{ id, dataCentre, http, peer string }

func (m member) url() string { return "http://" + m.http }

// startEntries makes keys and settings for the members and runs them.
func (l *lab) startEntries(members []member) {
	l.t.Helper()
	args := []string{"keys", "make", "--dir", "keys"}
	for _, m := range members {
		ip, _, _ := strings.Cut(m.peer, ":")
		args = append(args, "--member", m.id+"="+ip)
	}
	out, status := l.run(args...)
	must.EqOp(l.t, 0, status, must.Sprint(out))
	for _, m := range members {
		l.write(m.id+".yaml", l.settings(m, members))
	}
	for _, m := range members {
		l.startEntry(m)
	}
}

func (l *lab) startEntry(m member) { l.start(m.id, "basilstage", "entry", "--settings", m.id+".yaml") }

func (l *lab) settings(m member, members []member) string {
	var peers strings.Builder
	for _, p := range members {
		fmt.Fprintf(&peers, "  - {id: %s, data_centre: %s, address: %s}\n", p.id, p.dataCentre, p.peer)
	}
	return fmt.Sprintf(`member: %s
data_centre: %s
listen: {http: %s, peer: %s}
peers:
%splatform:
  table: {endpoint: "http://%s", region: kyushu, table_name: basilstage, access_key: a, secret_key: b, timeout: 2s}
  hosts: {endpoint: "http://%s", timeout: 2s}
tls:
  plain_text: true
  peer: {ca: keys/ca.pem, certificate: keys/%s.pem, key: keys/%s-key.pem}
limits: {stop_grace: 20s}
`, m.id, m.dataCentre, m.http, m.peer, peers.String(), l.platform, l.platform, m.id, m.id)
}

// get returns the status and body of a GET, or 0 when there is no answer.
func get(url string) (int, string) {
	r, err := http.Get(url) //nolint:gosec // loopback
	if err != nil {
		return 0, ""
	}
	defer func() { _ = r.Body.Close() }()
	var b bytes.Buffer
	_, _ = b.ReadFrom(r.Body)
	return r.StatusCode, b.String()
}

// put posts JSON and returns the status.
func post(t testing.TB, url, body string) int {
	t.Helper()
	r, err := http.Post(url, "application/json", strings.NewReader(body)) //nolint:gosec // loopback
	must.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode
}
