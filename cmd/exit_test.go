package cmd_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/cmd"
	"basilstage.example/basilstage/pkg/basilapi"
)

func TestExitStatuses(t *testing.T) {
	refused := basilapi.Problem{Code: basilapi.CodeBudget, Outcome: basilapi.OutcomeNotRun, Message: "too few"}
	away := basilapi.Problem{Code: basilapi.CodeStoreUnavailable, Outcome: basilapi.OutcomeNotRun, Message: "away"}
	unknown := basilapi.Problem{Code: basilapi.CodeOutcomeUnknown, Outcome: basilapi.OutcomeUnknown, Message: "no answer"}
	failed := basilapi.Problem{Code: basilapi.CodeJobFailed, Outcome: basilapi.OutcomeRan, Message: "exit 1"}
	tests := []struct {
		name   string
		answer any // nil hangs up
		args   []string
		status int
		says   string
	}{
		{"accepted", basilapi.CommandAnswer{ID: "c1", Sequence: 7, Summary: "h1 is leaving"}, []string{"command", "--id", "c1", "drain host h1"}, 0, "accepted c1 (audit entry 7): h1 is leaving\n"},
		{"accepted as JSON", basilapi.CommandAnswer{ID: "c1", Summary: "x"}, []string{"command", "--id", "c1", "--format", "json", "drain host h1"}, 0, `{"id":"c1","summary":"x"}` + "\n"},
		{"refused", refused, []string{"command", "--id", "c1", "drain host h1"}, 3, "basilstage: command c1 refused because too few\n"},
		{"refused repeat that saw nothing", away, []string{"command", "--id", "c1", "drain host h1"}, 4, "--id c1 'drain host h1'\n  not-run (store-unavailable): away\n"},
		{"refused first that saw nothing", away, []string{"command", "drain host h1"}, 3, " refused because away\n"},
		{"unknown", unknown, []string{"command", "--id", "c1", "--reason", "it's time", "drain host h1"}, 4, `--id c1 --reason 'it'\''s time' 'drain host h1'` + "\n  unknown (outcome-unknown): no answer\n"},
		{"no answer", nil, []string{"command", "--id", "c1", "drain host h1"}, 4, "unknown, ask with: basilstage command --address "},
		{"mistake in a command", basilapi.Problem{Code: basilapi.CodeMalformed, Outcome: basilapi.OutcomeNotRun, Message: "column 7: unknown x"}, []string{"command", "drain hsot h1"}, 3, "unknown x\n  drain hsot h1\n        ^\n"},
		{"mistake in a query", basilapi.Problem{Code: basilapi.CodeMalformed, Outcome: basilapi.OutcomeNotRun, Message: "column 1: unknown x"}, []string{"query", "hots", "limit", "1"}, 3, "not-run (malformed): column 1: unknown x\n  hots limit 1\n  ^\n"},
		{"frozen entry host", frozen{}, []string{"command", "--timeout", "50ms", "--id", "c1", "drain host h1"}, 4, "unknown, ask with: basilstage command --address "},
		{"query", basilapi.QueryAnswer{Columns: []string{"host"}, Rows: [][]string{{"h1"}}}, []string{"query", "hosts"}, 0, "HOST\nh1\n"},
		{"query as JSON", basilapi.QueryAnswer{Columns: []string{"host"}}, []string{"query", "--format", "json", "hosts"}, 0, `{"columns":["host"],"rows":null}` + "\n"},
		{"query refused", refused, []string{"query", "hosts"}, 3, "basilstage: not-run (budget): too few\n"},
		{"job failed", failed, []string{"submit", "--service", "s", "x"}, 1, "basilstage: ran (job-failed): exit 1\n"},
		{"job unknown", unknown, []string{"submit", "--service", "s", "x"}, 4, "basilstage: unknown (outcome-unknown): no answer\n"},
		{"no sentence", nil, []string{"query"}, 2, "USAGE"},
		{"no such flag", nil, []string{"query", "--nope", "hosts"}, 2, "flag provided but not defined: -nope"},
		{"no such format", nil, []string{"query", "--format", "xml", "hosts"}, 2, `format "xml" is neither table nor json`},
		{"no such subcommand", nil, []string{"qurey"}, 2, "USAGE"},
		{"no job id", nil, []string{"job", "x"}, 2, `job id is malformed [text: "x"]`},
		{"no such file", nil, []string{"command", "--file", "missing.yaml", "apply configuration"}, 1, "file can't be read"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(answering(tt.answer))
			defer s.Close()
			var out bytes.Buffer
			args := append([]string{tt.args[0], "--address", s.URL}, tt.args[1:]...)
			if tt.args[0] == "qurey" {
				args = tt.args
			}
			must.EqOp(t, tt.status, cmd.Main(t.Context(), args, &out, &out), must.Sprint(out.String()))
			must.StrContains(t, out.String(), tt.says)
		})
	}
}

// frozen never answers.
type frozen struct{}

// answering serves the answer to everything; nil hangs up, and ids are minted for submits.
func answering(answer any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch answer.(type) {
		case nil:
			panic(http.ErrAbortHandler)
		case frozen:
			_, _ = io.Copy(io.Discard, r.Body) // or the server sees no hang-up
			<-r.Context().Done()
			return
		}
		status := http.StatusOK
		value := answer
		if r.URL.Path == "/v1/job-ids" {
			value = basilapi.MintAnswer{IDs: []basilapi.JobID{{}}}
		} else if _, ok := answer.(basilapi.Problem); ok {
			status = http.StatusConflict
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(value)
	}
}
