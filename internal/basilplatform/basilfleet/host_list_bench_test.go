package basilfleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
)

// BenchmarkHostList measures one read of the whole host list, at today's size and the target's.
func BenchmarkHostList(b *testing.B) {
	for _, size := range []int{50, 13_000} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			var hosts []basilplatform.ListedHost
			for n := range size {
				hosts = append(hosts, basilplatform.ListedHost{
					ID: fmt.Sprintf("host-%05d", n), DataCentre: fmt.Sprintf("dc-%02d", n%20), Rack: fmt.Sprintf("rack-%04d", n/4),
					Pool: fmt.Sprintf("pool-%02d", n%23), Address: fmt.Sprintf("10.%d.%d.%d:8443", n>>16, n>>8&255, n&255), Cores: 64, MemoryMB: 262_144,
				})
			}
			body, err := json.Marshal(basilfleet.HostsAnswer{Hosts: hosts})
			must.NoError(b, err)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer s.Close()
			list := basilfleet.NewHostList(s.URL, s.Client())
			began := processorTime()
			for b.Loop() {
				listed, err := list.List(b.Context())
				must.NoError(b, err)
				must.EqOp(b, size, len(listed))
			}
			b.ReportMetric(float64(len(body)), "B/read")
			b.ReportMetric(float64((processorTime()-began).Microseconds())/float64(b.N), "cpu-us/read")
		})
	}
}

func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
