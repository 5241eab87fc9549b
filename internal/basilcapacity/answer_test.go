package basilcapacity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// TestReportNamesEmptyBackends checks that a report names a requested backend server as empty only if it certainly has no
// runs, and that requested backend servers are not reported as idle.
func TestReportNamesEmptyBackends(t *testing.T) {
	now := time.Unix(1000, 0)
	p := basilscheduler.New(basilscheduler.Options{Epoch: 1}, now)
	var list []basilwork.Backend
	for _, id := range []string{"b1", "b2", "b3"} {
		list = append(list, basilwork.Backend{ID: id, Resources: basilwork.Resources{CPU: 16000, Memory: 1024}})
	}
	p.SetBackends(list)
	for _, id := range []string{"b1", "b2"} {
		p.SetRecorded(id, true)
		p.Attached(id)
	}
	a := EvacuationRequest{Serial: 4, Backends: map[string]int64{"b2": 3, "b3": 4}}
	answer := a.Apply(p, nil, now)
	must.Eq(t, 4, answer.Serial)
	must.Eq(t, []string{"b2"}, answer.Empty, must.Sprint("b3 has not reported its runs yet"))
	must.Eq(t, []string{"b1"}, answer.Load.Idle)
	must.True(t, answer.HasNewAcknowledgement(PoolReport{Serial: 3}))
	must.False(t, answer.HasNewAcknowledgement(answer))
}

// TestLoadDiffers checks which changes of the load are large enough to report.
func TestLoadDiffers(t *testing.T) {
	base := reportedLoad(basilscheduler.Load{Backends: 2, Room: basilwork.Resources{CPU: 128000}, Used: basilwork.Resources{CPU: 30000}, Idle: []string{"b1"}})
	cases := map[string]struct {
		change  func(l *Load)
		differs bool
	}{
		"nothing":                   {func(*Load) {}, false},
		"a little more work":        {func(l *Load) { l.Used += 15000 }, false},
		"much more work":            {func(l *Load) { l.Used += 25000 }, true},
		"much less work":            {func(l *Load) { l.Used -= 25000 }, true},
		"much waiting work":         {func(l *Load) { l.WaitingDemand += 25000 }, true},
		"much new work":             {func(l *Load) { l.ArrivedWork += 25000 }, true},
		"a little more memory":      {func(l *Load) { l.Memory.Used += 70000 }, false},
		"much waiting memory":       {func(l *Load) { l.Memory.WaitingDemand += 90000 }, true},
		"a GPU host's worth":        {func(l *Load) { l.GPU.WaitingDemand += 8 }, true},
		"one more idle backend":     {func(l *Load) { l.Idle = []string{"b1", "b2"} }, true},
		"a slow backend":            {func(l *Load) { l.Slow = []string{"b2"} }, true},
		"a leaving backend":         {func(l *Load) { l.Leaving = 1 }, true},
		"more hosts required":       {func(l *Load) { l.MinHosts = 3 }, true},
		"a backend with short runs": {func(l *Load) { l.ShortOnly = []string{"b2"} }, false},
	}
	for name, x := range cases {
		l := base
		x.change(&l)
		must.Eq(t, x.differs, l.DiffersSignificantly(base), must.Sprint(name))
	}
}
