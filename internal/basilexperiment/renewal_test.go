package basilexperiment

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRenewalsOfServerThatAnswers checks the model where the outcome is known: without lost answers no lease lapses in any way to renew
// them, a server that is gone always lapses, and the same seed gives the same figures.
func TestRenewalsOfServerThatAnswers(t *testing.T) {
	const plays = 50
	for _, w := range RenewalWays() {
		c := RenewalCase{Trouble: TroubleLost, Duration: 9 * time.Second, Lease: 5 * time.Second}
		quiet := PlayRenewals(w, c, 1, plays)
		must.Eq(t, 0, quiet.Lapsed, must.Sprint(w.Name))
		c.Share = 1
		gone := PlayRenewals(w, c, 1, plays)
		must.Eq(t, plays, gone.Lapsed, must.Sprint(w.Name))
		must.Greater(t, c.Lease, gone.GivenUp, must.Sprint(w.Name))
		must.LessEq(t, 4, gone.Busiest, must.Sprint(w.Name))
		must.Eq(t, gone, PlayRenewals(w, c, 1, plays), must.Sprint(w.Name))
	}
}
