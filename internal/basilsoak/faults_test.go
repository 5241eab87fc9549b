package basilsoak_test

import (
	"fmt"
	"syscall"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

// stroke is one fault of a plan.
type stroke struct {
	kind  string
	host  int // it strikes, where that fits
	pick  int // chooses a backend server
	lasts time.Duration
	gap   time.Duration // until the next one
}

// endAll ends all processes, and returns those that had ended without being told to.
func (s *soak) endAll() []string {
	var list []string
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		h.end(false)
		if n := h.ownExits.Load(); n > 0 {
			list = append(list, fmt.Sprintf("entry-%d ended by itself %d times", h.number, n))
		}
	}
	return list
}

// newPlan draws the faults of a seed: in series and overlapping.
func newPlan(seed uint64, kinds []string) []stroke {
	r := newRandom(seed)
	var plan []stroke
	for at := time.Duration(0); at < faultTime; at += plan[len(plan)-1].gap {
		plan = append(plan, stroke{
			kind: kinds[r.IntN(len(kinds))], host: r.IntN(entryHosts), pick: r.IntN(1 << 20),
			lasts: time.Duration(200+r.IntN(3800)) * time.Millisecond, gap: time.Duration(200+r.IntN(1000)) * time.Millisecond,
		})
	}
	return plan
}

// backend returns a backend server that the number chooses, or nil.
func (s *soak) backend(pick int) *basilfake.Backend {
	list := s.site.Backends("stretch")
	if len(list) == 0 {
		return nil
	}
	return list[pick%len(list)]
}

// faultKinds bring a fault about and return what mends it.
func (s *soak) faultKinds() map[string]func(h *entryHost, pick int) (mend func()) {
	nothing := func() {}
	store := func(f basilfake.StoreFaults) func(*entryHost, int) func() {
		return func(*entryHost, int) func() {
			s.site.Store.SetFaults(f)
			return func() { s.site.Store.SetFaults(basilfake.StoreFaults{}) }
		}
	}
	link := func(w way) func(*entryHost, int) func() {
		return func(h *entryHost, _ int) func() {
			h.proxy.set(w)
			return func() { h.proxy.set(way{}) }
		}
	}
	backend := func(f basilfake.BackendFaults) func(*entryHost, int) func() {
		return func(_ *entryHost, pick int) func() {
			b := s.backend(pick)
			if b == nil {
				return nothing
			}
			s.site.SetFaults(b, f)
			return func() { s.site.SetFaults(b, basilfake.BackendFaults{}) }
		}
	}
	end := func(graceful bool) func(*entryHost, int) func() {
		return func(h *entryHost, _ int) func() {
			h.end(graceful)
			return func() { s.start(h) }
		}
	}
	return map[string]func(*entryHost, int) func(){
		"kill": end(false), "stop": end(true),
		"pause": func(h *entryHost, _ int) func() {
			h.signal(syscall.SIGSTOP)
			return func() { h.signal(syscall.SIGCONT) }
		},
		"link held": link(way{hold: true}), "link reset": link(way{reset: true}), "link one way": link(way{oneWay: true}),
		"link slow":    link(way{delay: 150 * time.Millisecond}),
		"store silent": store(basilfake.StoreFaults{Silent: true}), "store busy": store(basilfake.StoreFaults{Busy: true}),
		"store loses answers": store(basilfake.StoreFaults{LoseAnswers: true}), "store late": store(basilfake.StoreFaults{LateBy: 900 * time.Millisecond}),
		"store slow":     store(basilfake.StoreFaults{Delay: 200 * time.Millisecond}),
		"backend silent": backend(basilfake.BackendFaults{Silent: true}), "backend late": backend(basilfake.BackendFaults{LateBy: 1500 * time.Millisecond}),
		"backend slow": backend(basilfake.BackendFaults{SlowBy: 400 * time.Millisecond}),
		"history gone": func(*entryHost, int) func() {
			s.site.Store.DropHistory()
			return nothing
		},
		"orders for hosts unanswered": func(*entryHost, int) func() {
			s.site.SetOrdersSilent(true)
			return func() { s.site.SetOrdersSilent(false) }
		},
		"backend leaves": func(_ *entryHost, pick int) func() {
			if b := s.backend(pick); b != nil {
				s.site.Drain(b, 5*time.Second, time.Second)
			}
			return nothing
		},
		"backend crash": func(_ *entryHost, pick int) func() {
			if b := s.backend(pick); b != nil {
				s.site.Crash(b, 4*time.Second)
			}
			return nothing
		},
	}
}

// strike injects the faults of the plan, and mends each after its time.
func (s *soak) strike(kinds map[string]func(*entryHost, int) func()) {
	for _, x := range s.plan {
		s.faults[x.kind]++
		s.group.Go(func() {
			mend := kinds[x.kind](s.hosts[x.host], x.pick)
			time.Sleep(x.lasts)
			mend()
		})
		time.Sleep(x.gap)
	}
}
