package main_test

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

const sessionConfiguration = `pools:
  - {name: counter, spare: true}
  - {name: stretch}
services:
  - {name: quote, pool: counter, class: short, min_available: 1}
  - {name: receipt, pool: counter, class: short, min_available: 1}
  - {name: overnight, pool: stretch, class: long, min_available: 1}
`

// session records what an operator types and sees.
type session struct {
	*lab
	text strings.Builder
}

// do runs one command line and records it; the address flag is left out of the record.
func (s *session) do(m member, words ...string) string {
	s.t.Helper()
	out, status := s.run(append([]string{words[0], "--address", m.url()}, words[1:]...)...)
	fmt.Fprintf(&s.text, "%s$ basilstage %s\n%s(exit status %d)\n\n", m.id, strings.Join(words, " "), out, status)
	return out
}

func (s *session) note(format string, a ...any) { fmt.Fprintf(&s.text, "# "+format+"\n\n", a...) }

var (
	ulids  = regexp.MustCompile(`[0-9A-HJKMNP-TV-Z]{26}`)
	stamps = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)
	spaces = regexp.MustCompile(` {2,}`)
	epochs = regexp.MustCompile(`(epoch |audit entry |active  |leaving  |drained  )\d+`)
	ports  = regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`)
)

// normal replaces what differs from run to run: ids by their order of appearance, times, ports, widths and epochs.
func normal(text string) string {
	known := make(map[string]string)
	text = ulids.ReplaceAllStringFunc(text, func(id string) string {
		if known[id] == "" {
			known[id] = fmt.Sprintf("<id-%d>", len(known)+1)
		}
		return known[id]
	})
	text = stamps.ReplaceAllString(text, "<time>")
	text = ports.ReplaceAllString(text, "<address>")
	return epochs.ReplaceAllString(spaces.ReplaceAllString(text, "  "), "${1}N")
}

func jobOf(t testing.TB, out string) string {
	t.Helper()
	for _, line := range strings.Split(out, "\n") {
		if id, ok := strings.CutPrefix(line, "job "); ok {
			return strings.TrimSpace(id)
		}
	}
	t.Fatalf("no job id in %q", out)
	return ""
}

func TestSession(t *testing.T) {
	t.Parallel()
	s := &session{lab: newLab(t)}
	members, runners := s.open(t)
	e1, e2, e3 := members[0], members[1], members[2]
	s.do(e3, "query", "pools")
	s.do(e3, "query", "services")

	s.note("short jobs, at any entry host")
	s.do(e3, "submit", "--service", "quote", "--idempotent", "pinched toe")
	receipt := jobOf(t, s.do(e1, "submit", "--service", "receipt", "duvet 7"))
	s.note("the same receipt, asked for again at other entry hosts, does not run again")
	s.do(e2, "submit", "--service", "receipt", "--id", receipt, "--retry", "duvet 7")
	s.do(e3, "submit", "--service", "receipt", "--id", receipt, "--retry", "duvet 7")
	s.do(e3, "submit", "--service", "receipt", "--id", receipt, "--retry", "duvet 8")
	must.EqOp(t, 1, startsOf(t, runners, receipt))

	s.note("a long job, accepted at one entry host and fetched from another")
	long := jobOf(t, s.do(e1, "submit", "--service", "overnight", "--guess", "200ms", "boot stretch"))
	s.await("long job done", func() bool {
		out, _ := s.run("job", "--address", e3.url(), long)
		return strings.Contains(out, "done")
	})
	s.do(e3, "job", long)

	s.note("bad input")
	s.do(e1, "submit", "--service", "qoute", "x")
	s.do(e1, "submit", "--service", "quote", strings.Repeat("x", 0))
	s.do(e1, "job", "not-an-id")
	s.do(e1, "query", "hots")
	s.do(e1, "command", "drian host h1")
	s.do(e1, "command", "move host h1 to nowhere")
	large, err := json.Marshal(basilapi.SubmitRequest{Service: "quote", Payload: make([]byte, 2*basilapi.MaxPayloadBytes)})
	must.NoError(t, err)
	s.note("an oversized body gets status %d", post(t, e1.url()+"/v1/jobs", string(large)))
	out, status := s.run("entry", "--settings", "missing.yaml")
	s.note("unreadable settings: exit status %d: %s", status, strings.TrimSpace(out))

	s.note("one host at a time: the budgets hold")
	s.do(e1, "command", "move host h1 to stretch")
	s.do(e3, "command", "drain host h1")
	s.awaitRows(e3, "hosts where host = h1 and pool = stretch and state = active", 1)
	s.do(e3, "query", "hosts where pool = stretch")

	s.note("a planned stop cuts nothing off")
	s.stopUnderLoad(t, e1, runners)
	s.note("another entry host of the data centre still has the receipt's answer")
	s.do(e2, "job", receipt)
	for _, m := range []member{e2, e3} {
		must.EqOp(t, 0, s.stop(m.id), must.Sprint(s.logged(m.id)))
	}
	g := goldie.New(t)
	g.Assert(t, "session", []byte(normal(s.text.String())))
	for _, m := range members {
		must.StrNotContains(t, s.logged(m.id), "DATA RACE")
	}
}

// open starts everything, declares pools and services, and waits until each entry host knows all hosts.
func (s *session) open(t testing.TB) (members []member, runners []string) {
	t.Helper()
	members = []member{
		{"e1", "fukuoka", s.address(), s.address()},
		{"e2", "fukuoka", s.address(), s.address()},
		{"e3", "kumamoto", s.address(), s.address()},
	}
	runners = s.startFleet(t)
	s.startEntries(members)
	for _, m := range members {
		s.awaitReady(m)
	}
	s.note("an operator declares pools and services")
	s.write("configuration.yaml", sessionConfiguration)
	s.do(members[0], "command", "--reason", "opening", "--file", "configuration.yaml", "apply configuration")
	for _, m := range members {
		s.awaitRows(m, "hosts where state = active", 5)
	}
	return members, runners
}

func (s *session) awaitReady(m member) {
	s.t.Helper()
	s.await(m.id+" ready", func() bool {
		status, _ := get(m.url() + "/readyz")
		return status == 204
	})
}

// awaitRows waits until the entry host answers the query with that many rows.
func (s *session) awaitRows(m member, query string, rows int) {
	s.t.Helper()
	s.await(m.id+": "+query, func() bool {
		out, status := s.run("query", "--address", m.url(), query)
		return status == 0 && strings.Count(out, "\n") == rows+1
	})
}

// startFleet runs the platform, three runners and two workers, and returns the addresses of the runners.
func (s *session) startFleet(t testing.TB) []string {
	t.Helper()
	var hosts []map[string]string
	var runners []string
	for n, h := range []struct{ id, kind, dataCentre, pool string }{
		{"h1", "runner", "fukuoka", "counter"},
		{"h2", "runner", "fukuoka", "counter"},
		{"h3", "runner", "kumamoto", "counter"},
		{"w1", "worker", "fukuoka", "stretch"},
		{"w2", "worker", "kumamoto", "stretch"},
	} {
		address := s.address()
		hosts = append(hosts, map[string]string{
			"id": h.id, "data_centre": h.dataCentre, "rack": fmt.Sprintf("r%d", n), "pool": h.pool, "address": address,
		})
		s.start(h.id, "basilstandin", h.kind, "--listen", address, "--id", h.id)
		if h.kind == "runner" {
			runners = append(runners, address)
		}
	}
	s.startPlatform(hosts)
	return runners
}

// stopUnderLoad stops the entry host while it waits for a slow answer, which must come whole.
func (s *session) stopUnderLoad(t testing.TB, m member, runners []string) {
	t.Helper()
	for _, r := range runners {
		must.EqOp(t, 200, post(t, "http://"+r+"/v1/faults", `{"slow_factor": 200}`))
	}
	answered := make(chan string)
	go func() {
		out, _ := s.run("submit", "--address", m.url(), "--service", "receipt", "last duvet")
		answered <- out
	}()
	s.awaitInProgress(runners)
	must.EqOp(t, 0, s.stop(m.id), must.Sprint(s.logged(m.id)))
	s.note("%s left with exit status 0; the answer in progress: %s", m.id, strings.TrimSpace(<-answered))
}

// awaitInProgress waits until one of the runners works on a job.
func (s *session) awaitInProgress(runners []string) {
	s.t.Helper()
	s.await("a job in progress", func() bool { return s.inProgress(runners) == 1 })
}

// inProgress adds up the jobs that the runners work on.
func (s *session) inProgress(runners []string) int {
	total := 0
	for _, r := range runners {
		_, body := get("http://" + r + "/v1/status")
		var status basilstandin.BackendStatus
		if json.Unmarshal([]byte(body), &status) == nil {
			total += status.InProgress
		}
	}
	return total
}

// startsOf adds up how often the job was started.
func startsOf(t testing.TB, runners []string, job string) int {
	t.Helper()
	total := 0
	for _, r := range runners {
		_, body := get("http://" + r + "/v1/starts")
		var starts map[string]map[int]int
		must.NoError(t, json.Unmarshal([]byte(body), &starts), must.Sprint(body))
		for _, n := range starts[job] {
			total += n
		}
	}
	return total
}
