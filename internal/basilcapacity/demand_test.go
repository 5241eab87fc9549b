package basilcapacity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestNeedFollowsScarcestResource checks that a pool needs as many hosts as its scarcest resource takes, and that a
// resource which some hosts lack doesn't take hosts that may lack it too.
func TestNeedFollowsScarcestResource(t *testing.T) {
	cases := map[string]struct {
		load     Load
		resource string
		need     int
	}{
		"processors":             {Load{Used: 600000, Memory: Amounts{Used: 1000000}}, "cpu", 11},
		"memory":                 {Load{Used: 60000, Memory: Amounts{Used: 1000000, WaitingDemand: 1000000}}, "memory", 9},
		"GPUs of one host alone": {Load{Used: 600000, GPU: Amounts{WaitingDemand: 100}}, "cpu", 11},
		"no memory reported":     {Load{Used: 600000}, "cpu", 11},
	}
	for name, x := range cases {
		w := newWorld(t)
		w.addHosts("a", 12)
		for n := range w.list {
			w.list[n].Resources = basilwork.Resources{CPU: 64000, Memory: 262144, GPU: n / 11}
		}
		w.SetMachines(w.list, w.now)
		w.report("a", x.load)
		w.decide(time.Second)
		s := w.PoolStatuses(w.now)[0]
		must.Eq(t, x.resource, s.Resource, must.Sprint(name))
		must.Eq(t, x.need, s.Need, must.Sprint(name))
	}
}
