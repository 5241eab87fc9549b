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
	modelCapacity = float64(modelSlots) * float64(time.Second) / float64(modelRunTime) // jobs per second of one runner
)

var notStartedEndings = []Ending{EndingRefused, EndingUnreachable}

// addEntries adds entry hosts with choosers of the given kind: round-robin, random, or the router.
func (m *model) addEntries(kind string, entries, centres int, change func(*routerChooser)) {
	for i := range entries {
		m.centres = append(m.centres, centre(i%centres))
		c := &plainChooser{inFlight: map[string]int{}}
		switch kind {
		case "round-robin":
			c.next = i
		case "random":
			c.random = rand.New(rand.NewPCG(uint64(i), 2))
		default:
			m.entries = append(m.entries, m.newRouterChooser(i, entries, change))
			continue
		}
		m.entries = append(m.entries, c)
	}
}

func (m *model) newRouterChooser(i, entries int, change func(*routerChooser)) *routerChooser {
	r := NewRouter(RouterOptions{DataCentre: m.centres[i], EntryHosts: entries})
	random := rand.New(rand.NewPCG(uint64(i), 3))
	r.policy.random = random.Uint32
	c := &routerChooser{router: r, freeRetries: notStartedEndings}
	if change != nil {
		change(c)
	}
	return c
}

// uniformLoad spreads the given share of the total capacity evenly over the entry hosts, constant over time.
func uniformLoad(share float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return share * modelCapacity * modelRunners / modelEntries }
}

// scenario is a load with the faults that occur under it.
type scenario struct {
	name  string
	share float64
	apply func(m *model)
}

// variant is a kind of chooser with an optional change of its policy.
type variant struct {
	name   string
	kind   string
	change func(*routerChooser)
}

func compare(b *testing.B, centres, entries int, scenarios []scenario, variants []variant) {
	for _, s := range scenarios {
		for _, v := range variants {
			b.Run(s.name+"/"+v.name, func(b *testing.B) {
				for range b.N {
					m := newModel(7, modelRunners, centres)
					m.addEntries(v.kind, entries, centres, v.change)
					m.load = uniformLoad(s.share)
					s.apply(m)
					m.run()
					m.report(b.ReportMetric)
				}
			})
		}
	}
}

func noFault(*model) {}

// forFirst applies a change to the first n runners.
func forFirst(n int, f func(r *modelRunner)) func(*model) {
	return func(m *model) {
		for i := range n {
			f(m.runners[m.backends[i].Host])
		}
	}
}

func failImmediately(r *modelRunner) { r.failsImmediately = true }
func halfSpeed(r *modelRunner)       { r.slowdown = 2 }
func dieAfter10s(r *modelRunner)     { r.deadFrom = 10 * time.Second }

// delisted applies a change to the first runner and delists it at 20 s, 10 s after the change takes effect.
func delisted(f func(r *modelRunner)) func(*model) {
	return func(m *model) {
		forFirst(1, f)(m)
		m.delist(20*time.Second, m.backends[0].Host)
	}
}

func BenchmarkPolicyUnderFaults(b *testing.B) {
	compare(b, 1, modelEntries, []scenario{
		{"all well", 0.6, noFault},
		{"all well, near full", 0.9, noFault},
		{"one at half speed", 0.6, forFirst(1, halfSpeed)},
		{"one at half speed, near full", 0.85, forFirst(1, halfSpeed)},
		{"one failing at once", 0.6, forFirst(1, failImmediately)},
		{"four failing at once", 0.5, forFirst(4, failImmediately)},
		{"one leaving, list lags 10 s", 0.6, delisted(func(r *modelRunner) { r.leavingFrom = 10 * time.Second })},
		{"one dead, list lags 10 s", 0.6, delisted(dieAfter10s)},
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
	for _, divisor := range []int64{0, 1, 2, 4} {
		for _, n := range []int{1, 2, 4} {
			variants = append(variants, variant{fmt.Sprintf("%d choices, pause 1 in %d", n, divisor), "router", func(c *routerChooser) {
				c.router.policy.sampleSize, c.router.policy.pauseDivisor = n, divisor
			}})
		}
	}
	one := forFirst(1, halfSpeed)
	compare(b, 1, modelEntries, []scenario{{"load 0.6", 0.6, one}, {"load 0.9", 0.9, one}, {"load 1.3", 1.3, one}}, variants)
}

func BenchmarkPolicyDataCentres(b *testing.B) {
	const centres, entries = 3, 6
	// Each data centre in turn has five times the base load for two seconds, more than its own runners can serve.
	peaks := func(m *model) {
		base := 0.25 * modelCapacity * modelRunners / entries
		m.load = func(entry int, at time.Duration) float64 {
			if int(at/(2*time.Second))%centres == entry%centres {
				return 5 * base
			}
			return base / 4
		}
	}
	compare(b, centres, entries, []scenario{{"peaks in turn", 0, peaks}, {"even", 0.5, noFault}}, []variant{
		{"no preference", "router", func(c *routerChooser) { c.router.options.DataCentre = "" }},
		{"own first", "router", nil},
	})
}

func BenchmarkPolicyRetries(b *testing.B) {
	withFreeRetries := func(e ...Ending) func(*routerChooser) { return func(c *routerChooser) { c.freeRetries = e } }
	compare(b, 1, modelEntries, []scenario{
		{"overload 1.3", 1.3, noFault},
		{"near full 0.95", 0.95, noFault},
		{"a third dead", 0.7, forFirst(4, dieAfter10s)},
		{"all fail one in 2 after the run", 0.8, forFirst(modelRunners, func(r *modelRunner) { r.failureShare = 0.5 })},
		{"half fail everything after the run", 0.6, forFirst(6, func(r *modelRunner) { r.failureShare = 1 })},
	}, []variant{
		{"no budget", "router", withFreeRetries(EndingRefused, EndingUnreachable, EndingFailed)},
		{"all charged", "router", withFreeRetries()},
		{"refusals free", "router", withFreeRetries(EndingRefused)},
		{"not started free", "router", nil},
	})
}
