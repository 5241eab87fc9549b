package basiljob_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/pkg/basilapi"
)

// clientHistory records the requests and answers of the client of one job.
type clientHistory struct {
	request    basilapi.SubmitRequest
	disconnect context.CancelFunc // disconnects the client from the last submit
	accepted   bool
	notRun     bool
	answer     string
}

// maxOwners limits the number of owners, so that their operations collide often.
const maxOwners = 3

// longModel drives several owners that share one table and one set of workers.
type longModel struct {
	*testCluster
	jobs    []*clientHistory
	mutex   sync.Mutex // held while an answer is checked
	context context.Context
}

func newLongModel() *longModel {
	return &longModel{testCluster: newTestCluster(2, shortLease), context: context.Background()}
}

func (m *longModel) owner(t *rapid.T) *owner { return rapid.SampledFrom(m.owners).Draw(t, "owner") }

func (m *longModel) job(t *rapid.T) *clientHistory {
	if len(m.jobs) == 0 {
		t.Skip("no job")
	}
	return rapid.SampledFrom(m.jobs).Draw(t, "job")
}

func (m *longModel) worker(t *rapid.T) string {
	return rapid.SampledFrom(m.placer.workers).Draw(t, "worker")
}

// submit sends the request; an answer that arrives after the client disconnected is ignored.
func (m *longModel) submit(t *rapid.T, o *owner, h *clientHistory) {
	ctx, cancel := context.WithCancel(m.context)
	h.disconnect = cancel
	r := h.request
	go func() {
		a, err := o.jobs.Accept(ctx, r)
		if ctx.Err() == nil {
			m.checkAnswer(t, h, a, err)
		}
	}()
	synctest.Wait()
}

// checkAnswer checks that an answer is consistent with the earlier answers to the client.
func (m *longModel) checkAnswer(t *rapid.T, h *clientHistory, a basilapi.JobAnswer, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p, isProblem := basilapi.AsProblem(err)
	if err != nil && !isProblem {
		return
	}
	if isProblem {
		a.Outcome = p.Outcome
	}
	switch {
	case a.Outcome == basilapi.OutcomeNotRun:
		must.Eq(t, "", h.answer)
		h.notRun = true
	case a.Outcome == basilapi.OutcomePending:
		must.Eq(t, "", h.answer)
		h.accepted = true
	case a.State == basilapi.JobStateDone:
		must.False(t, h.notRun)
		must.Eq(t, taskAnswer(h.request.ID.String(), a.Attempt), string(a.Answer))
		must.True(t, h.answer == "" || h.answer == string(a.Answer))
		h.answer = string(a.Answer)
	}
}

func (m *longModel) submitNew(t *rapid.T) {
	o := m.owner(t)
	h := &clientHistory{request: longRequest("boots", rapid.Bool().Draw(t, "idempotent"))}
	h.request.ID, h.request.Urgent = basilapi.NewJobID("fukuoka", o.incarnation), rapid.Bool().Draw(t, "urgent")
	m.jobs = append(m.jobs, h)
	m.submit(t, o, h)
}

// resubmit repeats the request of a client that gave up waiting; after the answer "not run" a client would use a new id.
func (m *longModel) resubmit(t *rapid.T) {
	h := m.job(t)
	if h.notRun {
		t.Skip("final")
	}
	h.disconnect()
	h.request.Retry = true
	m.submit(t, m.owner(t), h)
}

func (m *longModel) cancel(t *rapid.T) {
	h, o := m.job(t), m.owner(t)
	go func() {
		a, err := o.jobs.Cancel(m.context, h.request.ID)
		m.checkAnswer(t, h, a, err)
	}()
	synctest.Wait()
}

func (m *longModel) get(t *rapid.T) {
	h, o := m.job(t), m.owner(t)
	go func() {
		a, err := o.jobs.Get(m.context, h.request.ID)
		m.checkAnswer(t, h, a, err)
	}()
	synctest.Wait()
}

// replaceOwner kills an owner and adds a new incarnation; the old one is declared dead now or later.
func (m *longModel) replaceOwner(t *rapid.T) {
	if len(m.owners) > maxOwners {
		t.Skip("enough owners")
	}
	o := m.owner(t)
	o.dead = true
	o.link.setCut(true)
	m.owners = append(m.owners, m.newOwner())
	if rapid.Bool().Draw(t, "seen") {
		m.members.declareGone(o.incarnation)
	}
}

// cut disconnects a live owner from the table and the workers, or reconnects it.
func (m *longModel) cut(t *rapid.T) {
	o := m.owner(t)
	o.link.setCut(o.dead || rapid.Bool().Draw(t, "cut"))
}

// checkInvariants verifies the invariants that hold at any time.
func (m *longModel) checkInvariants(t *rapid.T) {
	synctest.Wait()
	for _, h := range m.jobs {
		starts := m.tasks.starts(h.request.ID)
		if !h.request.Idempotent && starts > 1 {
			t.Fatalf("non-idempotent job started %d times", starts)
		}
		if h.notRun && starts > 0 {
			t.Fatalf("job was answered as not run, but started %d times", starts)
		}
	}
}

// checkRecovery ends all faults, lets the owners run, and verifies that each accepted job has ended.
func (m *longModel) checkRecovery(t *rapid.T) {
	m.wakeAll()
	for _, w := range m.placer.workers {
		m.tasks.set(m.tasks.down, w, false)
		m.tasks.set(m.tasks.full, w, false)
		m.tasks.set(m.tasks.failing, w, false)
	}
	declareAll := rapid.Bool().Draw(t, "deposed")
	for _, o := range m.owners {
		if declareAll || o.dead {
			m.members.declareGone(o.incarnation)
		}
		o.link.inject()
		o.link.setCut(o.dead)
	}
	m.owners = append(m.owners, m.newOwner())
	for range 40 {
		for _, o := range m.owners {
			o.step()
		}
		m.wakeAll()
		time.Sleep(5 * time.Second)
		synctest.Wait()
	}
	m.checkInvariants(t)
	last := m.owners[len(m.owners)-1]
	for _, h := range m.jobs {
		a, err := last.jobs.Get(m.context, h.request.ID)
		m.checkAnswer(t, h, a, err)
		if h.accepted && (err != nil || a.Outcome == basilapi.OutcomePending) {
			t.Fatalf("accepted job never ended: %+v %v", a, err)
		}
	}
}

func (m *longModel) wakeAll() {
	for _, o := range m.owners {
		o.link.wake()
		o.link.release()
	}
	synctest.Wait()
}

// drawFaults returns a few random faults, each of which may last for several calls.
func drawFaults(t *rapid.T) []linkFault {
	var faults []linkFault
	for range rapid.IntRange(1, 3).Draw(t, "faults") {
		f := linkFault(rapid.IntRange(0, int(linkFaults)-1).Draw(t, "fault"))
		faults = append(faults, slices.Repeat([]linkFault{f}, rapid.SampledFrom([]int{1, 1, 2, 6}).Draw(t, "calls"))...)
	}
	return faults
}

func (m *longModel) actions() map[string]func(*rapid.T) {
	toggle := func(workers map[string]bool) func(*rapid.T) {
		return func(t *rapid.T) { m.tasks.set(workers, m.worker(t), rapid.Bool().Draw(t, "on")) }
	}
	step := func(t *rapid.T) {
		o := m.owner(t)
		if rapid.Bool().Draw(t, "faulty") {
			o.link.inject(drawFaults(t)...)
		}
		o.step()
		time.Sleep(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
	}
	return map[string]func(*rapid.T){
		"":        m.checkInvariants,
		"submit":  m.submitNew,
		"again":   m.resubmit,
		"cancel":  m.cancel,
		"get":     m.get,
		"step":    step,
		"step 2":  step,
		"step 3":  step,
		"fault":   func(t *rapid.T) { m.owner(t).link.inject(drawFaults(t)...) },
		"step 4":  step,
		"step 5":  step,
		"step 6":  step,
		"cut":     m.cut,
		"wake":    func(t *rapid.T) { m.owner(t).link.wake(); synctest.Wait() },
		"release": func(t *rapid.T) { m.owner(t).link.release(); synctest.Wait() },
		"replace": m.replaceOwner,
		"declare": func(t *rapid.T) { m.members.declareGone(m.owner(t).incarnation) }, // the owner may be alive
		"down":    toggle(m.tasks.down),
		"failing": toggle(m.tasks.failing),
		"full":    toggle(m.tasks.full),
		"restart": func(*rapid.T) { m.tasks.restartWorkers() },
	}
}

func TestLongJobPropertyAtMostOnce(t *testing.T) {
	checkPaused(t, func(r *rapid.T) {
		m := newLongModel()
		defer m.wakeAll()
		r.Repeat(m.actions())
		m.checkRecovery(r)
	})
}
