package basilnode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestHoldPacerFollowsUsage checks that the interval between hold requests grows while the process is short of CPU time,
// and shrinks again soon after.
func TestHoldPacerFollowsUsage(t *testing.T) {
	const share = 0.8
	now, used := time.Now(), time.Duration(0)
	var p holdPacer
	advance := func(d time.Duration, busy float64) {
		for range d / (10 * time.Millisecond) {
			now = now.Add(10 * time.Millisecond)
			used += time.Duration(busy * share * float64(10*time.Millisecond))
			p.update(now, used, share)
		}
	}
	advance(2*time.Second, 0.3)
	must.Eq(t, minHoldInterval, p.interval())
	advance(2*time.Second, 0.9)
	must.Eq(t, maxHoldInterval, p.interval())
	advance(2*time.Second, 0.6)
	must.Eq(t, maxHoldInterval, p.interval(), must.Sprint("between the thresholds the interval stays"))
	advance(2*time.Second, 0.3)
	must.Eq(t, minHoldInterval, p.interval())
}
