package basilview

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

// Size of the target deployment.
const (
	targetHosts = 13_000
	targetPools = 23
	targetDCs   = 20
	rackSize    = 4
)

func targetHost(n int, epoch int64) basilmodel.Host {
	return basilmodel.NewHost(basilmodel.HostRecord{
		ID:         fmt.Sprintf("host-%05d", n),
		DataCentre: fmt.Sprintf("dc-%02d", n%targetDCs),
		Rack:       fmt.Sprintf("rack-%04d", n/rackSize),
		Pool:       fmt.Sprintf("pool-%02d", n%targetPools),
		State:      basilmodel.HostStateActive,
		Epoch:      epoch,
		Sequence:   epoch,
		Address:    fmt.Sprintf("10.%d.%d.%d:8443", n>>16, n>>8&255, n&255),
		Operator:   "executor", Action: "finish",
	})
}

func targetState() *state {
	s := newState("dc-00")
	hosts := make([]basilmodel.Host, targetHosts)
	for n := range hosts {
		hosts[n] = targetHost(n, 1)
	}
	var r basilmodel.ConfigurationRecord
	for n := range targetPools {
		pool := fmt.Sprintf("pool-%02d", n)
		r.Pools = append(r.Pools, basilmodel.Pool{Name: pool})
		for m := range 5 {
			r.Services = append(r.Services, basilmodel.Service{Name: fmt.Sprintf("service-%02d-%d", n, m), Pool: pool, MinAvailable: 400})
		}
	}
	r.Revision = 1
	snapshotEvent{Snapshot{Sequence: 1, Hosts: hosts, Configuration: basilmodel.NewConfiguration(r)}}.apply(s, time.Now())
	return s
}

func BenchmarkHostChangeAtTarget(b *testing.B) {
	s := targetState()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		e := basilaudit.NewEntry(basilaudit.EntryRecord{
			Sequence: s.sequence + 1, Hosts: []basilmodel.Host{targetHost(n%targetHosts, s.sequence+1)},
		})
		entriesEvent{[]basilaudit.Entry{e}}.apply(s, time.Time{})
		_ = s.view(time.Time{})
	}
}

func BenchmarkColdStartAtTarget(b *testing.B) {
	for b.Loop() {
		_ = targetState()
	}
}

func BenchmarkUsableAtTarget(b *testing.B) {
	s := targetState()
	now := time.Now()
	s.storeReadAt = now
	v := s.view(now)
	b.ReportAllocs()
	for b.Loop() {
		if len(v.Usable("pool-00", "dc-00", now)) == 0 {
			b.Fatal("no usable host in the pool")
		}
	}
}

func BenchmarkViewMemoryAtTarget(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := targetState()
		v := s.view(time.Now())
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(v)
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
}
