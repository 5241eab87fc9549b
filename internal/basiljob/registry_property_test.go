package basiljob_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/pkg/basilapi"
)

// runCommand is the next action of a job's run. A non-nil result ends the run.
type runCommand func(start basiljob.StartFunc) *basiljob.RunResult

// shortHistory records the runs of one id and the answers that clients received.
type shortHistory struct {
	id       basilapi.JobID
	commands chan runCommand
	start    basiljob.StartFunc
	runs     int    // calls of the RunFunc
	attempt  int    // number of the last attempt that was allowed to start
	reached  int    // attempts that the runner started
	notRun   bool   // a client was told that the job was not run
	answer   string // answer that a client received
}

// timeoutOffset offsets client timeouts from all other events, which happen at
// whole seconds, so that answers are checked in the order they were given.
const timeoutOffset = 500 * time.Millisecond

// shortModel drives one registry with concurrent clients and slow runs.
type shortModel struct {
	registry *basiljob.Registry
	copies   *basiljob.Copies
	jobs     []*shortHistory
	mutex    sync.Mutex // held while an answer is checked
}

// peerCopier is a Copier that stores the answers immediately.
type peerCopier struct{ copies *basiljob.Copies }

func (p peerCopier) Copy(answers []basilapi.JobAnswer) { p.copies.Put(answers) }

func newShortModel() *shortModel {
	m := &shortModel{copies: basiljob.NewCopies(basiljob.CopiesOptions{})}
	m.registry = newRegistry(basiljob.RegistryOptions{
		MaxJobs: 4, Retention: 20 * time.Second, Copiers: []basiljob.Copier{peerCopier{m.copies}},
	})
	return m
}

func (m *shortModel) job(t *rapid.T) *shortHistory {
	if len(m.jobs) == 0 {
		t.Skip("no job")
	}
	return rapid.SampledFrom(m.jobs).Draw(t, "job")
}

func (m *shortModel) mint(*rapid.T) {
	for _, id := range m.registry.Mint(2) {
		m.jobs = append(m.jobs, &shortHistory{id: id, commands: make(chan runCommand)})
	}
}

// run executes commands until one returns a result, the deadline expires or the job is cancelled.
func (h *shortHistory) run(ctx context.Context, _ basilapi.JobID, _ basilapi.SubmitRequest, start basiljob.StartFunc) basiljob.RunResult {
	h.runs++
	h.start = start
	for {
		select {
		case c := <-h.commands:
			if r := c(start); r != nil {
				return *r
			}
		case <-ctx.Done():
			if h.reached > 0 {
				return basiljob.RunResult{Outcome: basilapi.OutcomeUnknown, Attempt: h.attempt}
			}
			return basiljob.RunResult{Outcome: basilapi.OutcomeNotRun}
		}
	}
}

// send passes the command to the run, if one is in progress.
func (h *shortHistory) send(c runCommand) {
	select {
	case h.commands <- c:
	default:
	}
	synctest.Wait()
}

func (m *shortModel) submit(t *rapid.T) {
	h := m.job(t)
	r := shortRequest(h.id)
	r.DeadlineMS = rapid.Int64Range(0, 15).Draw(t, "deadline") * time.Second.Milliseconds()
	patience := time.Duration(rapid.IntRange(1, 60).Draw(t, "patience"))*time.Second + timeoutOffset
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	go func() {
		defer cancel()
		a, err := m.registry.Submit(ctx, r, h.run)
		m.recordAnswer(t, h, a, err)
	}()
	synctest.Wait()
}

// recordAnswer checks an answer that a client received against the history of the job.
func (m *shortModel) recordAnswer(t *rapid.T, h *shortHistory, a basilapi.JobAnswer, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if p, ok := basilapi.AsProblem(err); ok && p.Outcome == basilapi.OutcomeNotRun {
		a.Outcome = p.Outcome
	}
	switch a.Outcome {
	case basilapi.OutcomeNotRun:
		must.Eq(t, "", h.answer)
		h.notRun = true
	case basilapi.OutcomePending:
		must.False(t, h.notRun)
		must.Eq(t, "", h.answer)
	case basilapi.OutcomeRan:
		must.False(t, h.notRun)
		must.Eq(t, taskAnswer(h.id.String(), h.attempt), string(a.Answer))
		h.answer = string(a.Answer)
	}
}

// startAttempt starts the next attempt. A run sends another attempt only if the previous one provably did not start.
func (m *shortModel) startAttempt(t *rapid.T) {
	h := m.job(t)
	reaches := rapid.Bool().Draw(t, "reaches")
	h.send(func(start basiljob.StartFunc) *basiljob.RunResult {
		if h.reached == 0 && start(h.attempt+1) {
			h.attempt++
			if reaches {
				h.reached++
			}
		}
		return nil
	})
}

func (m *shortModel) finish(t *rapid.T) {
	h := m.job(t)
	stale := rapid.IntRange(0, 1).Draw(t, "stale")
	h.send(func(basiljob.StartFunc) *basiljob.RunResult {
		if h.reached == 0 {
			return &basiljob.RunResult{Outcome: basilapi.OutcomeNotRun}
		}
		return &basiljob.RunResult{
			Outcome: basilapi.OutcomeRan, Attempt: h.attempt - stale,
			Answer: []byte(taskAnswer(h.id.String(), h.attempt-stale)),
		}
	})
}

// startLate tries to start an attempt after the run has ended, as a leftover goroutine of the run would.
func (m *shortModel) startLate(t *rapid.T) {
	h := m.job(t)
	a, _ := m.registry.Answer(h.id)
	if h.start == nil || a.Outcome == basilapi.OutcomePending {
		t.Skip("in progress")
	}
	must.False(t, h.start(h.attempt+1))
}

func (m *shortModel) cancel(t *rapid.T) {
	h := m.job(t)
	a, err := m.registry.Cancel(h.id)
	must.Eq(t, err == nil, a.Outcome == basilapi.OutcomeNotRun)
	synctest.Wait()
	if err == nil {
		m.recordAnswer(t, h, a, nil)
	}
}

func (m *shortModel) getAnswer(t *rapid.T) {
	h := m.job(t)
	a, _ := m.registry.Answer(h.id)
	m.recordAnswer(t, h, a, nil)
}

func (m *shortModel) check(t *rapid.T) {
	synctest.Wait()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, h := range m.jobs {
		must.LessEq(t, 1, h.runs)
		must.LessEq(t, 1, h.reached)
		must.False(t, h.notRun && h.reached > 0)
		c, ok := m.copies.Get(h.id)
		must.True(t, !ok || h.answer == "" || h.answer == string(c.Answer))
		must.False(t, ok && h.notRun && c.Outcome != basilapi.OutcomeNotRun)
	}
}

func (m *shortModel) drain(t *rapid.T) {
	m.registry.Stop()
	for _, h := range m.jobs {
		h.send(func(basiljob.StartFunc) *basiljob.RunResult { return &basiljob.RunResult{} })
	}
	must.NoError(t, m.registry.Drain(context.Background()))
	must.Eq(t, 0, m.registry.InFlight())
	m.check(t)
}

func TestRegistryPropertyAtMostOnce(t *testing.T) {
	checkPaused(t, func(r *rapid.T) {
		m := newShortModel()
		sleep := func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second) }
		r.Repeat(map[string]func(*rapid.T){
			"": m.check, "mint": m.mint, "submit": m.submit, "submit 2": m.submit, "send": m.startAttempt, "send 2": m.startAttempt,
			"finish": m.finish, "straggle": m.startLate, "cancel": m.cancel, "ask": m.getAnswer, "sleep": sleep,
		})
		m.drain(r)
		time.Sleep(time.Minute) // the longest client timeout
	})
}
