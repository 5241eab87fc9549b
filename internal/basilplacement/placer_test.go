package basilplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilplacement"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

func firstChoice(int) int { return 0 }

func TestChoose(t *testing.T) {
	whole := basilplacement.Size{Cores: 64, MemoryMB: 256}
	withFree := func(cores float64, memory int) basilplacement.Worker {
		return basilplacement.Worker{Capacity: whole, Free: basilplacement.Size{Cores: cores, MemoryMB: memory}}
	}
	with := func(w basilplacement.Worker, change func(*basilplacement.Worker)) basilplacement.Worker {
		change(&w)
		return w
	}
	remote := with(withFree(64, 256), func(w *basilplacement.Worker) { w.Remote = true })
	reserved := with(withFree(64, 256), func(w *basilplacement.Worker) { w.Reserved = true })
	ejected := with(withFree(64, 256), func(w *basilplacement.Worker) { w.Ejected = true })
	refused := with(withFree(64, 256), func(w *basilplacement.Worker) { w.Refused = basilplacement.Size{Cores: 8} })
	busyRack := with(withFree(64, 256), func(w *basilplacement.Worker) { w.BusyOnRack = 3 })
	tests := []struct {
		name    string
		workers []basilplacement.Worker
		urgent  bool
		chosen  int
	}{
		{"none", nil, false, -1},
		{"too few cores, too little memory, fits", []basilplacement.Worker{withFree(7, 256), withFree(64, 7), withFree(8, 8)}, false, 2},
		{"most room", []basilplacement.Worker{withFree(10, 256), withFree(60, 256)}, false, 1},
		{"rack with fewer busy workers", []basilplacement.Worker{busyRack, withFree(64, 256)}, false, 1},
		{"own data centre first", []basilplacement.Worker{remote, withFree(8, 8)}, false, 1},
		{"no room in own data centre", []basilplacement.Worker{remote, withFree(4, 4)}, false, 0},
		{"reserved for urgent tasks", []basilplacement.Worker{reserved}, false, -1},
		{"reserved worker for an urgent task", []basilplacement.Worker{withFree(64, 256), reserved}, true, 1},
		{"ejected", []basilplacement.Worker{ejected}, true, -1},
		{"refused a task of that size", []basilplacement.Worker{refused, withFree(8, 8)}, false, 1},
		{"unknown capacity last", []basilplacement.Worker{{}, withFree(8, 8)}, false, 1},
		{"unknown capacity", []basilplacement.Worker{{}}, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			must.Eq(t, tt.chosen, basilplacement.Choose(tt.workers, basilplacement.Size{Cores: 8, MemoryMB: 8}, tt.urgent, firstChoice))
		})
	}
}

func TestPlaceJobThatFitsNoHost(t *testing.T) {
	m := newSimPool(4, 64)
	p := newPlacer(m, rand.New(rand.NewPCG(1, 1)))
	r := basiljob.PlacementRequest{ID: basilapi.NewJobID("fukuoka", ulid.Make()), Service: "exact", Cores: 65, MemoryMB: 1}
	_, err := p.Place(t.Context(), r)
	must.ErrorContains(t, err, "cores: 65 of 64, memory: 1 of 262144 MB")
	must.True(t, basiljob.IsErrFitsNoHost(err))
	r.Exclude, r.Cores = []string{"w00000", "w00001", "w00002", "w00003"}, 64
	_, err = p.Place(t.Context(), r)
	var busy basiljob.ErrNothingFree
	must.True(t, errors.As(err, &busy))
	must.Positive(t, busy.RetryAfter)
	for range 10 { // the job uses a fifth of its declared cores
		p.(basiljob.Observer).Observe(basiljob.Observation{ID: r.ID, Service: "exact", Host: "w00000", Cores: 65, UsageCores: 13})
	}
	r.Exclude, r.Cores = nil, 65
	_, err = p.Place(t.Context(), r)
	must.NoError(t, err)
}

// placerModel is the state machine of the property test: tasks of one Placer start,
// run, fail, end and are refused.
type placerModel struct {
	pool   *simPool
	placer *basilplacement.Placer
	random *rand.Rand
	open   []basiljob.Observation
}

func (m *placerModel) place(t *rapid.T) {
	r := basiljob.PlacementRequest{
		ID: basilapi.NewJobID("fukuoka", ulid.Make()), Service: "exact",
		Cores: rapid.IntRange(0, 70).Draw(t, "cores"), MemoryMB: rapid.IntRange(0, 300<<10).Draw(t, "memory"), Urgent: rapid.Bool().Draw(t, "urgent"),
	}
	p, err := m.placer.Place(t.Context(), r)
	if err != nil {
		must.True(t, basiljob.IsErrFitsNoHost(err) == (r.Cores > 64 || r.MemoryMB > 256<<10))
		return
	}
	m.open = append(m.open, basiljob.Observation{ID: r.ID, Service: r.Service, Host: p.Host, Cores: max(r.Cores, 1), MemoryMB: r.MemoryMB})
}

func (m *placerModel) observe(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no task is open")
	}
	n := rapid.IntRange(0, len(m.open)-1).Draw(t, "task")
	x := m.open[n]
	x.Event = rapid.SampledFrom(basiljob.TaskEventValues()).Draw(t, "event")
	if m.pool.failing[x.Host] {
		x.Event = basiljob.TaskEventFailed
	}
	m.placer.Observe(x)
	if x.Event != basiljob.TaskEventRunning {
		m.open = append(m.open[:n], m.open[n+1:]...)
	}
}

func (m *placerModel) checkCapacity(t *rapid.T) {
	cores, memory := make(map[string]int), make(map[string]int)
	for _, x := range m.open {
		cores[x.Host] += x.Cores
		memory[x.Host] += x.MemoryMB
	}
	for host := range cores {
		must.LessEq(t, m.pool.cores, cores[host])
		must.LessEq(t, 256<<10, memory[host])
	}
	must.LessEq(t, len(m.pool.hosts)/5, m.placer.Ejected())
}

func TestPropertyCapacityAndEjectedShare(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &placerModel{pool: newSimPool(rapid.IntRange(1, 24).Draw(r, "workers"), 64), random: rand.New(rand.NewPCG(1, 1))}
		m.placer = newPlacer(m.pool, m.random).(*basilplacement.Placer)
		for _, h := range m.pool.hosts {
			m.pool.failing[h.ID()] = rapid.IntRange(0, 3).Draw(r, "failing") == 0
		}
		r.Repeat(map[string]func(*rapid.T){"": m.checkCapacity, "place": m.place, "place 2": m.place, "observe": m.observe, "observe 2": m.observe})
	})
}

// TestBadWorkersAndBadJobs checks that workers which fail every task are ejected,
// and that jobs which fail on every worker cause no ejections.
func TestBadWorkersAndBadJobs(t *testing.T) {
	tests := []struct {
		name       string
		badWorkers int
		badJobs    int // one job in this many is bad; 0 for none
		ejected    int
	}{
		{"no failures", 0, 0, 0},
		{"one bad worker", 1, 0, 1},
		{"more bad workers than the ejection limit", 10, 0, 4},
		{"bad jobs", 0, 3, 0},
		{"both", 1, 3, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newSimPool(20, 64)
				p := newPlacer(m, rand.New(rand.NewPCG(3, 4))).(*basilplacement.Placer)
				for n := range tt.badWorkers {
					m.failing[fmt.Sprintf("w%05d", n)] = true
				}
				var onBadWorkers, placed int
				for n := range 2000 {
					r := basiljob.PlacementRequest{ID: basilapi.NewJobID("fukuoka", ulid.Make()), Service: "exact", Cores: 1}
					for len(r.Exclude) < 3 {
						at, err := p.Place(t.Context(), r)
						must.NoError(t, err)
						placed++
						x := basiljob.Observation{ID: r.ID, Event: basiljob.TaskEventDone, Service: r.Service, Host: at.Host, Cores: 1}
						if m.failing[at.Host] {
							onBadWorkers++
						}
						if m.failing[at.Host] || tt.badJobs > 0 && n%tt.badJobs == 0 {
							x.Event = basiljob.TaskEventFailed
						}
						p.Observe(x)
						if x.Event == basiljob.TaskEventDone {
							break
						}
						r.Exclude = append(r.Exclude, at.Host)
					}
					time.Sleep(time.Second)
				}
				t.Logf("tasks on bad workers: %d of %d", onBadWorkers, placed)
				must.Eq(t, tt.ejected, p.Ejected())
			})
		})
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{50, 13_000} {
		m := newSimPool(workers, 64)
		ps := map[string]basiljob.Placer{}
		for _, p := range policies {
			ps[p.name] = p.make(m, rand.New(rand.NewPCG(1, 2)))
		}
		for _, p := range policies {
			b.Run(fmt.Sprint(p.name, "/", workers), func(b *testing.B) {
				r := basiljob.PlacementRequest{ID: basilapi.NewJobID("fukuoka", ulid.Make()), Service: "exact", Cores: 4, MemoryMB: 1024}
				b.ReportAllocs()
				for b.Loop() {
					if _, err := ps[p.name].Place(b.Context(), r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

var _ basilplatform.Tasks = (*simPool)(nil)
