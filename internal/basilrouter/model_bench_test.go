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

func BenchmarkPolicyUnderFaults(b *testing.B) {
	faults := []struct {
		name  string
		share float64
		apply func(m *model)
	}{
		{"all well", 0.6, func(*model) {}},
		{"all well, near full", 0.9, func(*model) {}},
		{"one at half speed", 0.6, func(m *model) { m.runners["r00"].slow = 2 }},
		{"one at half speed, near full", 0.85, func(m *model) { m.runners["r00"].slow = 2 }},
		{"one failing at once", 0.6, func(m *model) { m.runners["r00"].failing = true }},
		{"four failing at once", 0.5, func(m *model) {
			for _, h := range []string{"r00", "r01", "r02", "r03"} {
				m.runners[h].failing = true
			}
		}},
		{"one leaving, list lags 10 s", 0.6, func(m *model) {
			m.runners["r00"].leaving = 10 * time.Second
			m.delist(20*time.Second, "r00")
		}},
		{"one dead, list lags 10 s", 0.6, func(m *model) {
			m.runners["r00"].dead = 10 * time.Second
			m.delist(20*time.Second, "r00")
		}},
		{"bad jobs, one in 10", 0.6, func(m *model) { m.badJobs = 0.1 }},
	}
	for _, f := range faults {
		for _, kind := range []string{"round-robin", "random", "router without ejection", "router"} {
			b.Run(f.name+"/"+kind, func(b *testing.B) {
				for range b.N {
					m := newModel(7, modelRunners, 1)
					m.equip(kind, modelEntries, 1, func(c *routerChooser) {
						if kind != "router" {
							c.router.policy.maxEjectedPercent = 0
						}
					})
					m.load = steady(f.share)
					f.apply(m)
					m.run()
					m.report(b.ReportMetric)
				}
			})
		}
	}
}

func BenchmarkPolicyChoices(b *testing.B) {
	for _, fraction := range []int64{0, 4, 2, 1} {
		for _, n := range []int{2, 4} {
			for _, share := range []float64{0.6, 0.9, 1.3} {
				b.Run(fmt.Sprintf("pause 1 in %d/%d choices/load %.1f", fraction, n, share), func(b *testing.B) {
					for range b.N {
						m := newModel(7, modelRunners, 1)
						m.equip("router", modelEntries, 1, func(c *routerChooser) {
							c.router.policy.choices = n
							c.router.policy.pauseFraction = fraction
						})
						m.runners["r00"].slow = 2
						m.load = steady(share)
						m.run()
						m.report(b.ReportMetric)
					}
				})
			}
		}
	}
}

// Each data centre in turn asks five times its part for two seconds, more than its own runners hold, the others little.
func BenchmarkPolicyDataCentres(b *testing.B) {
	const centres, entries = 3, 6
	peaks := func(entry int, at time.Duration) float64 {
		base := 0.25 * modelCapacity * modelRunners / entries
		if int(at/(2*time.Second))%centres == entry%centres {
			return 5 * base
		}
		return base / 4
	}
	even := func(int, time.Duration) float64 { return 0.6 * modelCapacity * modelRunners / entries }
	policies := []struct {
		name string
		own  func(centre string) string // the data centre that the router takes for its own
	}{
		{"no preference", func(string) string { return "" }},
		{"own first", func(c string) string { return c }},
	}
	for _, l := range []struct {
		name string
		load func(int, time.Duration) float64
	}{{"peaks in turn", peaks}, {"even", even}} {
		for _, p := range policies {
			b.Run(l.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					m := newModel(7, modelRunners, centres)
					m.equip("router", entries, centres, func(c *routerChooser) {
						c.router.options.DataCentre = p.own(c.router.options.DataCentre)
					})
					m.load = l.load
					m.run()
					m.report(b.ReportMetric)
				}
			})
		}
	}
}

func BenchmarkPolicyRetries(b *testing.B) {
	cases := []struct {
		name  string
		share float64
		apply func(m *model)
	}{
		{"overload 1.3", 1.3, func(*model) {}},
		{"near full 0.95", 0.95, func(*model) {}},
		{"a third dead", 0.7, func(m *model) {
			for _, h := range []string{"r00", "r01", "r02", "r03"} {
				m.runners[h].dead = 10 * time.Second
			}
		}},
		{"all fail one in 2 after the run", 0.8, func(m *model) {
			for _, r := range m.runners {
				r.rotten = 0.5
			}
		}},
		{"half fail everything after the run", 0.6, func(m *model) {
			for _, h := range []string{"r00", "r01", "r02", "r03", "r04", "r05"} {
				m.runners[h].rotten = 1
			}
		}},
	}
	policies := []struct {
		name string
		free []Ending
	}{
		{"no budget", []Ending{EndingRefused, EndingUnreachable, EndingFailed}},
		{"all charged", nil},
		{"refusals free", []Ending{EndingRefused}},
		{"not started free", notStarted},
	}
	for _, f := range cases {
		for _, p := range policies {
			b.Run(f.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					m := newModel(7, modelRunners, 1)
					m.equip("router", modelEntries, 1, func(c *routerChooser) { c.free = p.free })
					m.load = steady(f.share)
					f.apply(m)
					m.run()
					m.report(b.ReportMetric)
				}
			})
		}
	}
}
