package basilpool_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilstandin"
)

// Target size of a fleet.
const (
	scaleHosts = 13_000
	scalePools = 23
)

// newScaledFleet returns a fleet of the target size.
func newScaledFleet(b *testing.B) *fleet {
	f := newFleet()
	var pools []basilmodel.Pool
	var services []basilmodel.Service
	for n := range scalePools {
		name := fmt.Sprintf("pool-%02d", n)
		pools = append(pools, basilmodel.Pool{Name: name})
		services = append(services, basilmodel.Service{Name: name, Pool: name, MinAvailable: scaleHosts / scalePools * 9 / 10})
	}
	must.NoError(b, f.apply(b.Context(), pools, services...))
	for n := range scaleHosts {
		_, err := f.pools.Register(b.Context(), basilplatform.ListedHost{
			ID: hostID(n), DataCentre: fmt.Sprintf("centre-%02d", n/650), Rack: fmt.Sprintf("rack-%04d", n/4),
			Pool: fmt.Sprintf("pool-%02d", n%scalePools), Address: "10.1.2.3:8080",
		}, ann)
		must.NoError(b, err)
	}
	return f
}

func hostID(n int) string { return fmt.Sprintf("host-%05d", n) }

// BenchmarkHostChangeAtScale measures the drain and return of a host, which are two changes.
func BenchmarkHostChangeAtScale(b *testing.B) {
	f := newScaledFleet(b)
	bytes, writes := 0, 0
	f.table.SetHook(func(x basilplatform.Transaction) basilstandin.TableFaults {
		writes += len(x.Writes)
		for _, w := range x.Writes {
			bytes += len(w.Body)
		}
		return basilstandin.TableFaults{}
	})
	readsBefore, _ := f.table.Counts()
	n := 0
	b.ResetTimer()
	for ; n < b.N; n++ {
		id := hostID(n * 37 % scaleHosts)
		_, err := f.pools.Drain(b.Context(), id, ann)
		must.NoError(b, err)
		_, err = f.pools.Return(b.Context(), id, ann)
		must.NoError(b, err)
	}
	reads, _ := f.table.Counts()
	changes := float64(2 * n)
	b.ReportMetric(float64(bytes)/changes, "written-B/change")
	b.ReportMetric(float64(writes)/changes, "writes/change")
	b.ReportMetric(float64(reads-readsBefore)/changes, "reads/change")
}

// BenchmarkReplicaAtScale measures a cold start and the memory of a replica of all hosts.
func BenchmarkReplicaAtScale(b *testing.B) {
	f := newScaledFleet(b)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := basilpool.NewReplica(f.trail)
		must.NoError(b, r.Refresh(b.Context()))
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(r)
	}
}
