package basilnode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestWorkloadTellsOverloadFromBurst checks that lasting overload of an owner is told apart from a burst of events.
func TestWorkloadTellsOverloadFromBurst(t *testing.T) {
	cases := []struct {
		name  string
		waits []time.Duration // wait of the events in each second
		want  bool
	}{
		{"burst", []time.Duration{10 * time.Millisecond, time.Second, time.Second, 10 * time.Millisecond, 10 * time.Millisecond, time.Second, 0, 0}, false},
		{"busy and on time", []time.Duration{90 * time.Millisecond, 90 * time.Millisecond, 90 * time.Millisecond, 90 * time.Millisecond, 90 * time.Millisecond}, false},
		{"behind", []time.Duration{400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			var w workload
			now := time.Now()
			behind := w.lastingOverload(now)
			for _, wait := range x.waits {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					w.waited(wait)
					behind = w.lastingOverload(now) || behind
				}
			}
			must.Eq(t, x.want, behind)
		})
	}
}

// TestOwnerThatLeavesRoomFreeIsOverloaded checks that an owner whose starts don't fill its pool for long counts as overloaded, though it
// handles events in time.
func TestOwnerThatLeavesRoomFreeIsOverloaded(t *testing.T) {
	limited := true
	w := workload{limited: func() bool { return limited }}
	now := time.Now()
	must.False(t, w.lastingOverload(now))
	for range overloadWindows - 1 {
		now = now.Add(overloadWindow)
		must.False(t, w.lastingOverload(now))
	}
	now = now.Add(overloadWindow)
	must.True(t, w.lastingOverload(now))
	limited = false
	now = now.Add(overloadWindow)
	must.False(t, w.lastingOverload(now))
}
