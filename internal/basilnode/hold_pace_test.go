package basilnode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestHoldPace asks backend servers less often while the process is short of time, and as often as before soon after.
func TestHoldPace(t *testing.T) {
	const share = 0.8
	now, used := time.Now(), time.Duration(0)
	var p holdPace
	spend := func(d time.Duration, busy float64) {
		for range d / (10 * time.Millisecond) {
			now = now.Add(10 * time.Millisecond)
			used += time.Duration(busy * share * float64(10*time.Millisecond))
			p.look(now, used, share)
		}
	}
	spend(2*time.Second, 0.3)
	must.Eq(t, gatherLeast, p.between())
	spend(2*time.Second, 0.9)
	must.Eq(t, gatherMost, p.between())
	spend(2*time.Second, 0.6)
	must.Eq(t, gatherMost, p.between(), must.Sprint("it helps, and is still needed"))
	spend(2*time.Second, 0.3)
	must.Eq(t, gatherLeast, p.between())
}
