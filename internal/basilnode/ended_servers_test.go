package basilnode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestBackendThatNoHostRunsHasEnded checks that only backend servers that no host runs any more are taken for ended, and that a list of hosts
// without any backend server is ignored.
func TestBackendThatNoHostRunsHasEnded(t *testing.T) {
	now := time.Now()
	o, hook := newLoggingOwner(now)
	silent := []string{"cut-off", "down", "gone", "moving"}
	for _, id := range silent {
		o.pool.AddPredecessorBackend(basilwork.Backend{ID: id}, time.Time{})
	}
	o.applyEnded(silent, []basilwork.Machine{{ID: "m1", State: "down"}, {ID: "m2", State: "moving"}}, now)
	must.Eq(t, 4, o.pool.PredecessorBackends())
	o.applyEnded(silent, []basilwork.Machine{
		{ID: "m1", Up: true, Backend: "cut-off"}, {ID: "m2", State: "down", Backend: "down"}, {ID: "m3", State: "moving"}, {ID: "m4", Up: true, Backend: "other"},
	}, now)
	must.Eq(t, 1, o.pool.PredecessorBackends())
	must.False(t, o.pool.PredecessorUntil("cut-off").IsZero())
	must.Eq(t, []string{"down", "gone", "moving"}, hook.LastEntry().Data["hosts"].([]string))
	must.Eq(t, 1, hook.LastEntry().Data["down"].(int))
}

// TestHostsAreListedSeldomForSilentBackends checks that the interval between listings doubles.
func TestHostsAreListedSeldomForSilentBackends(t *testing.T) {
	var e endedServers
	now, listings := time.Now(), 0
	for until := now.Add(20 * time.Second); now.Before(until); now = now.Add(100 * time.Millisecond) {
		if e.due(now) {
			listings++
			e.listed(now)
		}
	}
	must.Eq(t, 7, listings)
}

// TestHostsAreListedSoonForNewlySilentBackend checks that a backend server that falls silent beside one that has long been so doesn't wait for the
// next listing of that one, as the waits add up if a task meets several such servers.
func TestHostsAreListedSoonForNewlySilentBackend(t *testing.T) {
	now := time.Now()
	o, _ := newLoggingOwner(now)
	o.ctx, o.events = t.Context(), make(chan event, 1)
	for range 5 {
		o.ended.listed(now)
		now = o.ended.next
	}
	o.ended.listed(now)
	must.False(t, o.ended.due(now.Add(minEndedInterval)))
	o.Reachable("b1", true)
	(<-o.events).handle(now)
	must.False(t, o.ended.due(now.Add(minEndedInterval)))
	o.Reachable("b1", false)
	(<-o.events).handle(now)
	must.False(t, o.ended.due(now))
	must.True(t, o.ended.due(now.Add(minEndedInterval)))
}
