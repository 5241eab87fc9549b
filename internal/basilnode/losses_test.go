package basilnode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilscheduler"
)

// TestSuspectIsLoggedAmongManyLostRuns guards against a log line that names only starts that a silent server never began.
func TestSuspectIsLoggedAmongManyLostRuns(t *testing.T) {
	now := time.Now()
	lost := []basilscheduler.RunState{
		{Ref: basilscheduler.Ref{Attempt: 1}, StartedAt: now.Add(-5 * time.Second), Answered: true},
		{Ref: basilscheduler.Ref{Attempt: 7}, StartedAt: now.Add(-3 * time.Second), Answered: true},
	}
	for range 2 * maxLoggedLosses {
		lost = append(lost, basilscheduler.RunState{StartedAt: now.Add(-time.Second)})
	}
	list := describeLosses(lost, now)
	must.Len(t, maxLoggedLosses, list)
	must.Eq(t, 7, list[0].Attempt)
	must.Eq(t, 3000, list[0].Age)
	must.True(t, list[1].Answered)
	must.False(t, list[2].Answered)
}
