package cmd

import (
	"context"
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestClientTrustsTheAuthorityOfTheFlag(t *testing.T) {
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"columns": ["host"], "rows": [["h1"]]}`)
	}))
	defer s.Close()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	must.NoError(t, os.WriteFile(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw}), 0o600))
	empty := filepath.Join(t.TempDir(), "empty.pem")
	must.NoError(t, os.WriteFile(empty, nil, 0o600))
	for _, tt := range []struct {
		args   []string
		status int
	}{
		{[]string{"--ca", ca}, exitOK},
		{nil, exitUnknown},
		{[]string{"--ca", empty}, exitFailure},
		{[]string{"--ca", ca + "x"}, exitFailure},
	} {
		args := append(append([]string{"query", "--address", s.URL}, tt.args...), "hosts")
		must.EqOp(t, tt.status, Main(context.Background(), args, io.Discard, io.Discard), must.Sprint(tt.args))
	}
}
