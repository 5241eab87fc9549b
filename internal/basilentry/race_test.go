package basilentry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

// TestRacingCommandsHaveOneWinner gives one host away at two entry hosts at once; all but one are told whose command came first.
func TestRacingCommandsHaveOneWinner(t *testing.T) {
	table := &basilstandin.Table{}
	trail := basilaudit.NewTrail(table)
	_, err := basilconfig.Apply(t.Context(), trail, 0, counterConfiguration(), basilaudit.Actor{})
	must.NoError(t, err)
	for _, id := range []string{"h1", "h2"} {
		_, err = basilpool.NewPools(trail).Register(t.Context(), basilplatform.ListedHost{ID: id, Pool: "counter"}, basilaudit.Actor{})
		must.NoError(t, err)
	}
	handlers := []http.Handler{newEntryWith(t, "", table).Handler(), newEntryWith(t, "", table).Handler()}
	texts := []string{"drain host h1", "move host h1 to divers"}
	var group sync.WaitGroup
	problems := make([]basilapi.Problem, 6)
	statuses := make([]int, len(problems))
	for n := range problems {
		group.Go(func() {
			r := basilapi.OperatorRequest{ID: fmt.Sprintf("c%d", n), Text: texts[n%2]}
			statuses[n], problems[n] = ask(t, handlers[n/2%2], http.MethodPost, "/v1/command", r)
		})
	}
	group.Wait()
	won := 0
	for n, s := range statuses {
		if s == http.StatusOK {
			won++
			continue
		}
		must.EqOp(t, basilapi.CodeConflict, problems[n].Code)
		must.EqOp(t, basilapi.OutcomeNotRun, problems[n].Outcome)
		must.StrContains(t, problems[n].Message, "by anonymous came first: host h1 is leaving since audit entry 4")
	}
	must.EqOp(t, 1, won)
}
