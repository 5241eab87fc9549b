package cmd

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilkeys"
)

func TestKeysAndSettingsCommands(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "keys")
	for _, c := range []struct {
		name   string
		args   []string
		status int
		stdout string
		stderr string
	}{
		{"make", []string{"keys", "make", "--dir", directory, "--member", "a=127.0.0.1,b=127.0.0.2", "--member", "a=::1"}, exitOK, "a a.pem a-key.pem\nb b.pem b-key.pem\n", ""},
		{"make again", []string{"keys", "make", "--dir", directory, "--member", "a=127.0.0.1"}, exitFailure, "", "keys already exist"},
		{"no directory", []string{"keys", "make", "--member", "a=127.0.0.1"}, exitUsage, "", ""},
		{"host name", []string{"keys", "make", "--dir", directory, "--member", "a=localhost"}, exitUsage, "", "member invalid"},
		{"path for an id", []string{"keys", "make", "--dir", directory, "--member", "../a=127.0.0.1"}, exitUsage, "", "member invalid"},
		{"keys alone", []string{"keys"}, exitUsage, "", ""},
		{"settings alone", []string{"settings"}, exitUsage, "", ""},
		{"check nothing", []string{"settings", "check"}, exitUsage, "", ""},
		{"check a missing file", []string{"settings", "check", filepath.Join(directory, "none.yaml")}, exitFailure, "", "settings invalid"},
		{"check the example without its keys", []string{"settings", "check", "../settings.example.yaml"}, exitFailure, "", "access_key_file"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			must.Eq(t, c.status, Main(context.Background(), c.args, &stdout, &stderr))
			must.Eq(t, c.stdout, stdout.String())
			must.StrContains(t, stderr.String(), c.stderr)
		})
	}
	member, err := basilkeys.CertificateMember(filepath.Join(directory, "ca.pem"), filepath.Join(directory, "a.pem"), filepath.Join(directory, "a-key.pem"))
	must.NoError(t, err)
	must.Eq(t, "a", member)
}
