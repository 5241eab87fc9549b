package basilclient_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/pkg/basilapi"
	"basilstage.example/basilstage/pkg/basilclient"
)

// entryHost answers submits with the problem, or cuts them off.
func entryHost(t *testing.T, p *basilapi.Problem, seen chan<- basilapi.SubmitRequest) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q basilapi.SubmitRequest
		_ = json.NewDecoder(r.Body).Decode(&q)
		seen <- q
		if p == nil {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(p)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func TestSubmitTellsTheTruthOfARepeat(t *testing.T) {
	id := basilapi.NewJobID("fukuoka", ulid.Make())
	refusal := basilapi.Problem{Code: basilapi.CodeUnauthenticated, Outcome: basilapi.OutcomeNotRun}
	ofTheJob := basilapi.Problem{Code: basilapi.CodeCancelled, Outcome: basilapi.OutcomeNotRun, Job: id}
	tests := []struct {
		name    string
		answers []*basilapi.Problem // nil cuts the connection
		outcome basilapi.Outcome
	}{
		{"refused at once", []*basilapi.Problem{&refusal}, basilapi.OutcomeNotRun},
		{"cut off, then refused elsewhere", []*basilapi.Problem{nil, &refusal}, basilapi.OutcomeUnknown},
		{"cut off, then not run by the one that decides", []*basilapi.Problem{nil, &ofTheJob}, basilapi.OutcomeNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seen := make(chan basilapi.SubmitRequest, len(tt.answers))
			var addresses []string
			for _, p := range tt.answers {
				addresses = append(addresses, entryHost(t, p, seen))
			}
			c := basilclient.NewClient(basilclient.Options{Addresses: addresses})
			_, err := c.Submit(t.Context(), basilapi.SubmitRequest{ID: id, Service: "receipt"})
			p, ok := basilapi.AsProblem(err)
			must.True(t, ok, must.Sprint(err))
			must.EqOp(t, tt.outcome, p.Outcome)
			for n := range tt.answers {
				q := <-seen
				must.EqOp(t, n > 0, q.Retry)
				must.EqOp(t, id, q.ID)
			}
		})
	}
}

func TestCommandTellsTheTruthOfARepeat(t *testing.T) {
	refusal := basilapi.Problem{Code: basilapi.CodeStoreUnavailable, Outcome: basilapi.OutcomeNotRun}
	tests := []struct {
		name    string
		answers []*basilapi.Problem // nil cuts the connection
		outcome basilapi.Outcome
	}{
		{"refused at once", []*basilapi.Problem{&refusal}, basilapi.OutcomeNotRun},
		{"cut off, then refused elsewhere", []*basilapi.Problem{nil, &refusal}, basilapi.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seen := make(chan basilapi.SubmitRequest, len(tt.answers))
			var addresses []string
			for _, p := range tt.answers {
				addresses = append(addresses, entryHost(t, p, seen))
			}
			c := basilclient.NewClient(basilclient.Options{Addresses: addresses})
			_, err := c.Command(t.Context(), basilapi.OperatorRequest{Text: "drain host h1"})
			p, ok := basilapi.AsProblem(err)
			must.True(t, ok, must.Sprint(err))
			must.EqOp(t, tt.outcome, p.Outcome)
		})
	}
}
