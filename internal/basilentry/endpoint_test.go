package basilentry_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

func TestEndpointsAnswerWithProblems(t *testing.T) {
	shared := newEntry(t)
	apart := newEntryWith(t, `operator: "127.0.0.1:8444", `, &basilstandin.Table{})
	tests := []struct {
		name         string
		handler      http.Handler
		method, path string
		status       int
		message      string
	}{
		{"unknown path", shared.Handler(), "GET", "/v2/jobs", 404, "nothing is served at this path"},
		{"wrong method", shared.Handler(), "GET", "/v1/jobs", 405, "method GET is not served at this path"},
		{"wrong method on an id", shared.Handler(), "PUT", "/v1/jobs/x", 405, "method PUT is not served at this path"},
		{"operators share the callers' address", shared.Handler(), "POST", "/v1/query", 400, `column 1: unexpected token "<EOF>"`},
		{"operators apart, at the callers' address", apart.Handler(), "POST", "/v1/query", 404, "nothing is served at this path"},
		{"commands apart, at the callers' address", apart.Handler(), "POST", "/v1/command", 404, "nothing is served at this path"},
		{"operators apart, at their own", apart.OperatorHandler(), "POST", "/v1/query", 400, `column 1: unexpected token "<EOF>"`},
		{"callers at the operators' address", apart.OperatorHandler(), "POST", "/v1/jobs", 404, "nothing is served at this path"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, p := ask(t, tt.handler, tt.method, tt.path, basilapi.OperatorRequest{})
			must.EqOp(t, tt.status, status)
			must.EqOp(t, tt.message, p.Message)
			must.EqOp(t, basilapi.CodeMalformed, p.Code)
			must.EqOp(t, basilapi.OutcomeNotRun, p.Outcome)
		})
	}
}
