package basilcapacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// largeFleet returns a fleet of the given size, spread over four pools and the standby pool, with a wave of half of its hosts.
func largeFleet(hosts int) (*Fleet, time.Time) {
	now := time.Unix(1000, 0)
	f := New(Options{MaintenanceDuration: 2 * time.Second, MoveDuration: 1500 * time.Millisecond})
	pools := []string{"a", "b", "c", "d", "spare"}
	services := make([]basilwork.Service, 0, len(pools))
	for _, pool := range pools {
		services = append(services, basilwork.Service{Name: pool, Standby: pool == "spare"})
	}
	f.SetConfiguration(&basilwork.Configuration{Services: services})
	var list []basilwork.Machine
	var wave []string
	idle := make(map[string][]string)
	for n := range hosts {
		m := basilwork.Machine{ID: fmt.Sprintf("m%05d", n), Pool: pools[n%len(pools)], Up: true, Resources: basilwork.Resources{CPU: 64000}}
		if m.Pool != "spare" {
			m.Backend = "i-" + m.ID
			if n%3 == 0 {
				idle[m.Pool] = append(idle[m.Pool], m.Backend)
			}
		}
		if n%2 == 0 {
			wave = append(wave, m.ID)
		}
		list = append(list, m)
	}
	f.SetMachines(list, now)
	f.SetWaves([]basilwork.Wave{{ID: "1", Machines: wave, Duration: 10 * time.Hour, MaxCount: hosts / 5}}, nil, now)
	for _, pool := range pools[:4] {
		f.SetReport(pool, PoolReport{Load: Load{Used: hosts / 5 * 32000, Idle: idle[pool]}}, now)
	}
	return f, now
}

// BenchmarkDecide measures a decision while a wave of half of the hosts is in progress.
func BenchmarkDecide(b *testing.B) {
	for _, hosts := range []int{50, 350, 13000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			f, now := largeFleet(hosts)
			for b.Loop() {
				f.Decide(now)
				now = now.Add(50 * time.Millisecond)
			}
		})
	}
}

// TestDecideTimeIsLinearInHosts checks that the time of a decision during a wave grows linearly with the hosts, not
// quadratically.
func TestDecideTimeIsLinearInHosts(t *testing.T) {
	cost := func(hosts int) time.Duration {
		f, now := largeFleet(hosts)
		least := time.Hour
		for range 20 {
			began := time.Now()
			f.Decide(now)
			least = min(least, time.Since(began))
			now = now.Add(50 * time.Millisecond)
		}
		return least
	}
	small, large := cost(300), cost(2400)
	must.Less(t, 8*3, int(large/small), must.Sprintf("%v for 300 hosts, %v for 2400", small, large))
}

// BenchmarkDecideForManyPools measures a decision over 300 hosts in 30 pools, each of which needs four times its hosts and lacks some for certain
// tasks.
func BenchmarkDecideForManyPools(b *testing.B) {
	const hosts, pools = 300, 30
	now := time.Unix(1000, 0)
	f := New(Options{MaintenanceDuration: 2 * time.Second, MoveDuration: 1500 * time.Millisecond})
	services := []basilwork.Service{{Name: "spare", Standby: true}}
	var list []basilwork.Machine
	for n := range pools {
		services = append(services, basilwork.Service{Name: fmt.Sprintf("p%02d", n)})
	}
	f.SetConfiguration(&basilwork.Configuration{Services: services})
	for n := range hosts {
		m := basilwork.Machine{ID: fmt.Sprintf("m%05d", n), Pool: fmt.Sprintf("p%02d", n%pools), Up: true, Resources: basilwork.Resources{CPU: 64000}}
		m.Backend = "i-" + m.ID
		list = append(list, m)
	}
	f.SetMachines(list, now)
	for n := range pools {
		load := Load{Used: 10 * 64000, WaitingDemand: 30 * 64000, Listed: 10, Kept: 10, MinHosts: 10, Lacking: []HostNeed{wholeHost(3)}}
		for i := n; i < hosts; i += pools {
			load.ShortOnly = append(load.ShortOnly, list[i].Backend)
		}
		f.SetReport(fmt.Sprintf("p%02d", n), PoolReport{Load: load}, now)
	}
	for b.Loop() {
		f.Decide(now)
		now = now.Add(50 * time.Millisecond)
	}
}
