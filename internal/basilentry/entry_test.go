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
	"strings"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilentry"
	"basilstage.example/basilstage/internal/basilkeys"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilmodel"
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

// TestBootstrapToken lets the first configuration in where the settings allow no anonymous callers, and nothing after it.
func TestBootstrapToken(t *testing.T) {
	const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" // of "test"
	team := basilmodel.Team{Name: "keepers", TokenHash: hash, Operator: true}
	declared := basilmodel.NewConfiguration(basilmodel.ConfigurationRecord{Teams: []basilmodel.Team{{Name: "clerks", TokenHash: strings.Repeat("0", 64)}}})
	tests := []struct {
		name          string
		configuration basilmodel.Configuration
		token         string
		team          string
	}{
		{"no team declared, the bootstrap token", basilmodel.Configuration{}, "test", "bootstrap"},
		{"no team declared, another token", basilmodel.Configuration{}, "guess", ""},
		{"no team declared, no token", basilmodel.Configuration{}, "", ""},
		{"teams declared, the bootstrap token", declared, "test", ""},
		{"the team's own token", basilmodel.NewConfiguration(basilmodel.ConfigurationRecord{Teams: []basilmodel.Team{team}}), "test", "keepers"},
	}
	for _, tt := range tests {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		if tt.token != "" {
			r.Header.Set("Authorization", "Bearer "+tt.token)
		}
		must.EqOp(t, tt.team, basilentry.TeamOf(tt.configuration, false, hash, r), must.Sprint(tt.name))
	}
}
