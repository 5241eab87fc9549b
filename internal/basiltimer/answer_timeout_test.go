package basiltimer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basiltimer"
)

// TestAnswerTimeoutFollowsLatency checks that losses are noticed soon where answers are quick, and that slow answers aren't
// taken for lost ones.
func TestAnswerTimeoutFollowsLatency(t *testing.T) {
	const shortest, longest = 200 * time.Millisecond, 900 * time.Millisecond
	a := basiltimer.NewAnswerTimeout(shortest, longest)
	must.Eq(t, longest, a.Get())
	for range 20 {
		a.Answered(4 * time.Millisecond)
	}
	must.Eq(t, shortest, a.Get())
	a.Missed()
	must.Eq(t, shortest, a.Get())
	a.Missed()
	must.Eq(t, 2*shortest, a.Get())
	a.Missed()
	a.Missed()
	must.Eq(t, longest, a.Get())
	must.Eq(t, shortest, a.GetInitial())
	a.Responsive()
	must.Eq(t, shortest, a.Get())
	for range 20 {
		a.Answered(400 * time.Millisecond)
		must.Greater(t, 400*time.Millisecond, a.Get())
	}
}
