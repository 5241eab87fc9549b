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

// history is what the client of one job asked and was told.
type history struct {
	request  basilapi.SubmitRequest
	hangUp   context.CancelFunc // of the last submit
	accepted bool
	notRun   bool
	done     string
}

// maxOwners keeps the owners few, so that they meet.
const maxOwners = 3

// longModel drives several owners over one table and the same workers.
type longModel struct {
	*world
	jobs    []*history
	mutex   sync.Mutex // held while an answer is told
	context context.Context
}

func newLongModel() *longModel {
	return &longModel{world: newWorld(2, shortLease), context: context.Background()}
}

func (m *longModel) owner(t *rapid.T) *owner { return rapid.SampledFrom(m.owners).Draw(t, "owner") }

func (m *longModel) job(t *rapid.T) *history {
	if len(m.jobs) == 0 {
		t.Skip("no job")
	}
	return rapid.SampledFrom(m.jobs).Draw(t, "job")
}

func (m *longModel) worker(t *rapid.T) string {
	return rapid.SampledFrom(m.placer.workers).Draw(t, "worker")
}

// submit sends the request; what is answered after the client hung up is told to nobody.
func (m *longModel) submit(t *rapid.T, o *owner, h *history) {
	ctx, cancel := context.WithCancel(m.context)
	h.hangUp = cancel
	r := h.request
	go func() {
		a, err := o.jobs.Accept(ctx, r)
		if ctx.Err() == nil {
			m.tell(t, h, a, err)
		}
	}()
	synctest.Wait()
}

// tell checks an answer against those that were told before.
func (m *longModel) tell(t *rapid.T, h *history, a basilapi.JobAnswer, err error) {
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
		must.Eq(t, "", h.done)
		h.notRun = true
	case a.Outcome == basilapi.OutcomePending:
		must.Eq(t, "", h.done)
		h.accepted = true
	case a.State == basilapi.JobStateDone:
		must.False(t, h.notRun)
		must.Eq(t, result(h.request.ID.String(), a.Attempt), string(a.Answer))
		must.True(t, h.done == "" || h.done == string(a.Answer))
		h.done = string(a.Answer)
	}
}

func (m *longModel) submitNew(t *rapid.T) {
	o := m.owner(t)
	h := &history{request: long("boots", rapid.Bool().Draw(t, "idempotent"))}
	h.request.ID, h.request.Urgent = basilapi.NewJobID("fukuoka", o.incarnation), rapid.Bool().Draw(t, "urgent")
	m.jobs = append(m.jobs, h)
	m.submit(t, o, h)
}

// submitAgain is for a client that gave up waiting; one that was told "not run" takes a fresh id.
func (m *longModel) submitAgain(t *rapid.T) {
	h := m.job(t)
	if h.notRun {
		t.Skip("final")
	}
	h.hangUp()
	h.request.Retry = true
	m.submit(t, m.owner(t), h)
}

func (m *longModel) cancel(t *rapid.T) {
	h, o := m.job(t), m.owner(t)
	go func() {
		a, err := o.jobs.Cancel(m.context, h.request.ID)
		m.tell(t, h, a, err)
	}()
	synctest.Wait()
}

func (m *longModel) get(t *rapid.T) {
	h, o := m.job(t), m.owner(t)
	go func() {
		a, err := o.jobs.Get(m.context, h.request.ID)
		m.tell(t, h, a, err)
	}()
	synctest.Wait()
}

// replace kills an owner; a new incarnation takes its place, and sooner or later the old one is seen dead.
func (m *longModel) replace(t *rapid.T) {
	if len(m.owners) > maxOwners {
		t.Skip("enough owners")
	}
	o := m.owner(t)
	o.dead = true
	o.link.setCut(true)
	m.owners = append(m.owners, m.newOwner())
	if rapid.Bool().Draw(t, "seen") {
		m.members.declare(o.incarnation)
	}
}

// cut parts a live owner from the table and the workers, or joins it to them again.
func (m *longModel) cut(t *rapid.T) {
	o := m.owner(t)
	o.link.setCut(o.dead || rapid.Bool().Draw(t, "cut"))
}

// check states what must hold at any moment.
func (m *longModel) check(t *rapid.T) {
	synctest.Wait()
	for _, h := range m.jobs {
		starts := m.tasks.starts(h.request.ID)
		if !h.request.Idempotent && starts > 1 {
			t.Fatalf("non-idempotent job started %d times", starts)
		}
		if h.notRun && starts > 0 {
			t.Fatalf("job was told not run and started %d times", starts)
		}
	}
}

// heal ends all faults and gives the owners time; then each accepted job must have ended.
func (m *longModel) heal(t *rapid.T) {
	m.wakeAll()
	for _, w := range m.placer.workers {
		m.tasks.set(m.tasks.down, w, false)
		m.tasks.set(m.tasks.full, w, false)
		m.tasks.set(m.tasks.failing, w, false)
	}
	deposed := rapid.Bool().Draw(t, "deposed")
	for _, o := range m.owners {
		if deposed || o.dead {
			m.members.declare(o.incarnation)
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
	m.check(t)
	last := m.owners[len(m.owners)-1]
	for _, h := range m.jobs {
		a, err := last.jobs.Get(m.context, h.request.ID)
		m.tell(t, h, a, err)
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

// drawFaults returns a few faults, each of which may last for several calls.
func drawFaults(t *rapid.T) []linkFault {
	var faults []linkFault
	for range rapid.IntRange(1, 3).Draw(t, "faults") {
		f := linkFault(rapid.IntRange(0, int(linkFaults)-1).Draw(t, "fault"))
		faults = append(faults, slices.Repeat([]linkFault{f}, rapid.SampledFrom([]int{1, 1, 2, 6}).Draw(t, "calls"))...)
	}
	return faults
}

func (m *longModel) actions() map[string]func(*rapid.T) {
	flip := func(which map[string]bool) func(*rapid.T) {
		return func(t *rapid.T) { m.tasks.set(which, m.worker(t), rapid.Bool().Draw(t, "on")) }
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
		"":        m.check,
		"submit":  m.submitNew,
		"again":   m.submitAgain,
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
		"replace": m.replace,
		"declare": func(t *rapid.T) { m.members.declare(m.owner(t).incarnation) }, // also of a live one
		"down":    flip(m.tasks.down),
		"failing": flip(m.tasks.failing),
		"full":    flip(m.tasks.full),
		"restart": func(*rapid.T) { m.tasks.forget() },
	}
}

func TestLongJobPropertyAtMostOnce(t *testing.T) {
	checkPaused(t, func(r *rapid.T) {
		m := newLongModel()
		defer m.wakeAll()
		r.Repeat(m.actions())
		m.heal(r)
	})
}
