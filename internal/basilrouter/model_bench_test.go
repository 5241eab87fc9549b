package basilrouter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	modelEntries  = 7
	modelRunners  = 12
	modelCapacity = float64(modelSlots) * float64(time.Second) / float64(modelService) // jobs a second of a runner
)

var notStarted = []Ending{EndingRefused, EndingUnreachable}

// equip gives each entry host a chooser of the named kind.
func (m *model) equip(kind string, entries, centres int, change func(*routerChooser)) {
	for i := range entries {
		m.centres = append(m.centres, centre(i%centres))
		c := &plainChooser{inFlight: map[string]int{}}
		switch kind {
		case "round-robin":
			c.next = i
		case "random":
			c.random = rand.New(rand.NewPCG(uint64(i), 2))
		default:
			m.entries = append(m.entries, m.routed(i, entries, change))
			continue
		}
		m.entries = append(m.entries, c)
	}
}

func (m *model) routed(i, entries int, change func(*routerChooser)) *routerChooser {
	r := NewRouter(RouterOptions{DataCentre: m.centres[i], EntryHosts: entries})
	random := rand.New(rand.NewPCG(uint64(i), 3))
	r.policy.random = random.Uint32
	c := &routerChooser{router: r, free: notStarted}
	if change != nil {
		change(c)
	}
	return c
}

// steady gives each entry host the same part of a share of the capacity.
func steady(share float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return share * modelCapacity * modelRunners / modelEntries }
}

// scene is a load, and what goes wrong under it.
type scene struct {
	name  string
	share float64
	apply func(m *model)
}

// variant is a kind of chooser, and how its policy differs.
type variant struct {
	name   string
	kind   string
	change func(*routerChooser)
}

func compare(b *testing.B, centres, entries int, scenes []scene, variants []variant) {
	for _, s := range scenes {
		for _, v := range variants {
			b.Run(s.name+"/"+v.name, func(b *testing.B) {
				for range b.N {
					m := newModel(7, modelRunners, centres)
					m.equip(v.kind, entries, centres, v.change)
					m.load = steady(s.share)
					s.apply(m)
					m.run()
					m.report(b.ReportMetric)
				}
			})
		}
	}
}

func well(*model) {}

// change applies a change to some of the runners.
func change(n int, f func(r *modelRunner)) func(*model) {
	return func(m *model) {
		for i := range n {
			f(m.runners[m.backends[i].Host])
		}
	}
}

func failAtOnce(r *modelRunner) { r.failing = true }
func halfSpeed(r *modelRunner)  { r.slow = 2 }
func dies(r *modelRunner)       { r.dead = 10 * time.Second }

// delisted adds the lagging list to a change of the first runner.
func delisted(f func(r *modelRunner)) func(*model) {
	return func(m *model) {
		change(1, f)(m)
		m.delist(20*time.Second, m.backends[0].Host)
	}
}

func BenchmarkPolicyUnderFaults(b *testing.B) {
	compare(b, 1, modelEntries, []scene{
		{"all well", 0.6, well},
		{"all well, near full", 0.9, well},
		{"one at half speed", 0.6, change(1, halfSpeed)},
		{"one at half speed, near full", 0.85, change(1, halfSpeed)},
		{"one failing at once", 0.6, change(1, failAtOnce)},
		{"four failing at once", 0.5, change(4, failAtOnce)},
		{"one leaving, list lags 10 s", 0.6, delisted(func(r *modelRunner) { r.leaving = 10 * time.Second })},
		{"one dead, list lags 10 s", 0.6, delisted(dies)},
		{"bad jobs, one in 10", 0.6, func(m *model) { m.badJobs = 0.1 }},
	}, []variant{
		{"round robin", "round-robin", nil},
		{"random", "random", nil},
		{"without ejection", "router", func(c *routerChooser) { c.router.policy.maxEjectedPercent = 0 }},
		{"router", "router", nil},
	})
}

func BenchmarkPolicyChoices(b *testing.B) {
	var variants []variant
	for _, fraction := range []int64{0, 1, 2, 4} {
		for _, n := range []int{1, 2, 4} {
			variants = append(variants, variant{fmt.Sprintf("%d choices, pause 1 in %d", n, fraction), "router", func(c *routerChooser) {
				c.router.policy.choices, c.router.policy.pauseFraction = n, fraction
			}})
		}
	}
	one := change(1, halfSpeed)
	compare(b, 1, modelEntries, []scene{{"load 0.6", 0.6, one}, {"load 0.9", 0.9, one}, {"load 1.3", 1.3, one}}, variants)
}

func BenchmarkPolicyDataCentres(b *testing.B) {
	const centres, entries = 3, 6
	// Each data centre in turn asks five times its mean for two seconds, more than its own runners hold.
	peaks := func(m *model) {
		base := 0.25 * modelCapacity * modelRunners / entries
		m.load = func(entry int, at time.Duration) float64 {
			if int(at/(2*time.Second))%centres == entry%centres {
				return 5 * base
			}
			return base / 4
		}
	}
	compare(b, centres, entries, []scene{{"peaks in turn", 0, peaks}, {"even", 0.5, well}}, []variant{
		{"no preference", "router", func(c *routerChooser) { c.router.options.DataCentre = "" }},
		{"own first", "router", nil},
	})
}

func BenchmarkPolicyRetries(b *testing.B) {
	free := func(e ...Ending) func(*routerChooser) { return func(c *routerChooser) { c.free = e } }
	compare(b, 1, modelEntries, []scene{
		{"overload 1.3", 1.3, well},
		{"near full 0.95", 0.95, well},
		{"a third dead", 0.7, change(4, dies)},
		{"all fail one in 2 after the run", 0.8, change(modelRunners, func(r *modelRunner) { r.rotten = 0.5 })},
		{"half fail everything after the run", 0.6, change(6, func(r *modelRunner) { r.rotten = 1 })},
	}, []variant{
		{"no budget", "router", free(EndingRefused, EndingUnreachable, EndingFailed)},
		{"all charged", "router", free()},
		{"refusals free", "router", free(EndingRefused)},
		{"not started free", "router", nil},
	})
}
