package main_test

import (
	"strings"
	"syscall"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"
)

// told records only the outcome and exit status: which of two truthful messages comes depends on what the peer noticed first.
func (s *session) told(what string, m member, words ...string) {
	s.t.Helper()
	out, status := s.run(append([]string{words[0], "--address", m.url()}, words[1:]...)...)
	outcome := "not-run"
	if strings.Contains(out, "unknown (") {
		outcome = "unknown"
	} else if status == 0 {
		outcome = "answered"
	}
	s.note("%s, at %s: %s, exit status %d", what, m.id, outcome, status)
}

func (s *session) mint(m member) string {
	s.t.Helper()
	out, status := s.run("mint", "--address", m.url())
	must.EqOp(s.t, 0, status, must.Sprint(out))
	return strings.TrimSpace(out)
}

func (s *session) platformFaults(faults string) {
	s.t.Helper()
	must.EqOp(s.t, 200, post(s.t, "http://"+s.platform+"/v1/faults", faults))
}

// TestFailures walks the failures that take whole processes to bring about; each answer must be true.
func TestFailures(t *testing.T) {
	t.Parallel()
	s := &session{lab: newLab(t)}
	members, runners := s.open(t)
	e1, e2, e3 := members[0], members[1], members[2]
	s.text.Reset()

	s.note("the entry host that minted the ids is killed while a job runs")
	kept := jobOf(t, s.do(e1, "submit", "--service", "receipt", "duvet 1"))
	running, unused := s.mint(e1), s.mint(e1)
	for _, r := range runners {
		must.EqOp(t, 200, post(t, "http://"+r+"/v1/faults", `{"slow_factor": 300}`))
	}
	ended := make(chan struct{})
	go func() {
		s.run("submit", "--address", e1.url(), "--service", "receipt", "--id", running, "calf widening")
		close(ended)
	}()
	s.awaitInProgress(runners)
	s.kill("e1")
	<-ended
	s.told("the job that ran, asked for again", e2, "submit", "--service", "receipt", "--id", running, "--retry", "calf widening")
	s.awaitRows(e2, "peers where peer = e1 and connected = false", 1)
	s.awaitRows(e3, "peers where peer = e1 and connected = false", 1)
	s.told("the job that ran, asked for once more", e3, "submit", "--service", "receipt", "--id", running, "--retry", "calf widening")
	s.told("an id that was never submitted", e3, "submit", "--service", "receipt", "--id", unused, "first try")
	s.told("the same id, as a repeat", e2, "submit", "--service", "receipt", "--id", unused, "--retry", "first try")
	s.do(e2, "job", kept)
	must.EqOp(t, 1, startsOf(t, runners, running))
	must.EqOp(t, 0, startsOf(t, runners, unused))
	for _, r := range runners {
		must.EqOp(t, 200, post(t, "http://"+r+"/v1/faults", `{}`))
	}

	s.note("its replacement serves, and knows nothing of the ids before it")
	s.startEntry(e1)
	s.awaitReady(e1)
	s.told("the job that ran, at the replacement", e1, "submit", "--service", "receipt", "--id", running, "--retry", "calf widening")
	must.EqOp(t, 1, startsOf(t, runners, running))
	s.do(e1, "submit", "--service", "quote", "--idempotent", "pinched toe")

	s.note("the table service is down: short jobs go on, the rest is refused at once")
	s.platformFaults(`{"table_down": true}`)
	s.do(e2, "submit", "--service", "receipt", "duvet 2")
	s.told("a long job", e2, "submit", "--service", "overnight", "boot stretch")
	s.told("a command", e3, "command", "drain host h1")

	s.note("both entry hosts of fukuoka are replaced meanwhile: without table and sponsor they stay unready")
	lost := jobOf(t, s.do(e2, "submit", "--service", "receipt", "duvet 3"))
	s.kill("e1")
	s.kill("e2")
	s.startEntry(e1)
	s.startEntry(e2)
	s.await("e1 answers", func() bool { status, _ := get(e1.url() + "/healthz"); return status == 204 })
	status, _ := get(e1.url() + "/readyz")
	s.note("readiness of e1: %d", status)
	s.told("a receipt of before, asked for again", e1, "submit", "--service", "receipt", "--id", lost, "--retry", "duvet 3")
	s.do(e3, "submit", "--service", "quote", "--idempotent", "kumamoto goes on")
	must.EqOp(t, 1, startsOf(t, runners, lost))

	s.note("the table service is back")
	s.platformFaults(`{}`)
	s.awaitReady(e1)
	s.awaitReady(e2)
	s.do(e1, "submit", "--service", "receipt", "duvet 4")

	s.note("answers of the table get lost: a command given twice with one id is one change")
	s.platformFaults(`{"lose_answers": true}`)
	s.run("command", "--address", e1.url(), "--id", "drain-once", "drain host h2")
	s.platformFaults(`{}`)
	s.await("the command is accepted", func() bool {
		_, status := s.run("command", "--address", e3.url(), "--id", "drain-once", "drain host h2")
		return status == 0
	})
	s.awaitRows(e3, "audit where command = drain-once", 1)

	s.note("both entry hosts of fukuoka are told to stop, twice, while each awaits a slow answer")
	s.stopBothUnderLoad(e1, e2, runners)
	must.EqOp(t, 0, s.stop("e3"), must.Sprint(s.logged("e3")))
	for _, m := range members {
		must.StrNotContains(t, s.logged(m.id), "DATA RACE")
	}
	goldie.New(t).Assert(t, "failures", []byte(normal(s.text.String())))
}

// stopBothUnderLoad stops two entry hosts at once; what each awaits must come whole.
func (s *session) stopBothUnderLoad(a, b member, runners []string) {
	s.t.Helper()
	for _, r := range runners {
		must.EqOp(s.t, 200, post(s.t, "http://"+r+"/v1/faults", `{"slow_factor": 200}`))
	}
	answered := make(chan bool, 2)
	for _, m := range []member{a, b} {
		go func() {
			out, status := s.run("submit", "--address", m.url(), "--service", "receipt", "last duvet of "+m.id)
			answered <- status == 0 && strings.Contains(out, "answer to last duvet of "+m.id)
		}()
	}
	s.await("two jobs in progress", func() bool { return s.inProgress(runners) == 2 })
	for _, m := range []member{a, b} {
		must.NoError(s.t, s.running[m.id].Process.Signal(syscall.SIGTERM))
	}
	for _, m := range []member{a, b} {
		must.EqOp(s.t, 0, s.stop(m.id), must.Sprint(s.logged(m.id)))
	}
	s.note("both left with exit status 0; answers whole: %t, %t", <-answered, <-answered)
}
