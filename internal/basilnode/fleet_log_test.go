package basilnode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLastingBlockOfFleetIsTold checks that one line tells of a lasting block and one of its end, and none of a short one.
func TestLastingBlockOfFleetIsTold(t *testing.T) {
	var b fleetBlock
	now := time.Now()
	lasting, ended := 0, 0
	for n, reason := range []string{"list", "", "list", "list", "list", "list", "lease", "", ""} {
		l, e := b.next(reason, now.Add(time.Duration(n)*minBlockedTime/2))
		if l {
			lasting++
			must.Eq(t, "list", reason)
		}
		if e.logged {
			ended++
			must.Eq(t, "list", e.reason)
		}
	}
	must.Eq(t, 1, lasting)
	must.Eq(t, 1, ended)
}
