package basilentry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilentry"
	"basilstage.example/basilstage/internal/basilkeys"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilsettings"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

const settingsForm = `member: e1
data_centre: fukuoka
listen: {http: "127.0.0.1:8443", %[2]speer: "127.0.0.1:7443"}
platform:
  table: {endpoint: "http://127.0.0.1:8000", region: test, table_name: test, access_key: a, secret_key: b}
  hosts: {endpoint: "http://127.0.0.1:8001"}
tls:
  plain_text: true
  peer: {ca: "%[1]s/ca.pem", certificate: "%[1]s/e1.pem", key: "%[1]s/e1-key.pem"}
`

type noList struct{}

func (noList) List(context.Context) ([]basilplatform.ListedHost, error) { return nil, nil }

func newEntry(t *testing.T) *basilentry.Entry {
	t.Helper()
	return newEntryWith(t, "", &basilstandin.Table{})
}

// newEntryWith adds settings of addresses to listen on.
func newEntryWith(t *testing.T, listen string, table basilplatform.Table) *basilentry.Entry {
	t.Helper()
	keys := filepath.Join(t.TempDir(), "keys")
	must.NoError(t, basilkeys.Make(keys, []basilkeys.Member{{ID: "e1", Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}}}))
	s, err := basilsettings.Parse("test", fmt.Appendf(nil, settingsForm, keys, listen))
	must.NoError(t, err)
	e, err := basilentry.New(basilentry.Options{
		Settings: s, Log: basillog.Discard(),
		Ports: basilentry.Ports{Table: table, List: noList{}},
	})
	must.NoError(t, err)
	return e
}

// ask sends the value as JSON and returns the status and the problem.
func ask(t *testing.T, h http.Handler, method, path string, value any) (int, basilapi.Problem) {
	t.Helper()
	b, err := json.Marshal(value)
	must.NoError(t, err)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(b)))
	var p basilapi.Problem
	if w.Code >= http.StatusBadRequest {
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &p), must.Sprint(w.Body.String()))
	}
	return w.Code, p
}

// TestRefusalOfARepeatIsNeverNotRun holds for an entry host that knows nothing: the first submit may have run elsewhere.
func TestRefusalOfARepeatIsNeverNotRun(t *testing.T) {
	e := newEntry(t)
	id := basilapi.NewJobID("fukuoka", ulid.Make())
	tests := []struct {
		name    string
		request basilapi.SubmitRequest
		outcome basilapi.Outcome
	}{
		{"first, not ready", basilapi.SubmitRequest{ID: id, Service: "quote"}, basilapi.OutcomeNotRun},
		{"repeat, not ready", basilapi.SubmitRequest{ID: id, Service: "quote", Retry: true}, basilapi.OutcomeUnknown},
		{"repeat, payload too large", basilapi.SubmitRequest{ID: id, Service: "quote", Retry: true, Payload: make([]byte, basilapi.MaxPayloadBytes+1)}, basilapi.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, p := ask(t, e.Handler(), http.MethodPost, "/v1/jobs", tt.request)
			must.EqOp(t, tt.outcome, p.Outcome, must.Sprint(p.Message))
		})
	}
}
