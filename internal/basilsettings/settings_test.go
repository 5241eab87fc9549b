package basilsettings

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilkeys"
)

const exampleFile = "../../settings.example.yaml"

func example(t testing.TB) string {
	b, err := os.ReadFile(exampleFile)
	must.NoError(t, err)
	return string(b)
}

func TestExample(t *testing.T) {
	s, err := Parse(exampleFile, []byte(example(t)))
	must.NoError(t, err)
	must.Eq(t, "entry-fukuoka-1", s.Member())
	must.Eq(t, "fukuoka", s.DataCentre())
	must.Eq(t, "10.1.0.11:8443", s.HTTPAddress())
	must.Eq(t, "10.1.0.11:8444", s.OperatorAddress())
	must.Eq(t, "10.1.0.11:9443", s.MetricsAddress())
	must.Eq(t, "10.1.0.11:7443", s.PeerAddress())
	must.Len(t, 3, s.Peers(), must.Sprint("without itself"))
	must.Eq(t, "basilstage", s.Table().Name)
	must.Eq(t, 2*time.Second, s.TableTimeout())
	must.Eq(t, 3*time.Second, s.HostsTimeout())
	must.Eq(t, "https://10.0.0.6:8080", s.HostsEndpoint())
	must.Eq(t, 20*time.Second, s.StopGrace())
	must.Eq(t, 4096, s.JobsInProgress())
	must.False(t, s.PlainText())
	must.Eq(t, "/etc/basilstage/http.pem", s.HTTPTLS().Certificate)
}

func TestDefaults(t *testing.T) {
	var s Settings
	must.Eq(t, DefaultLogLevel, s.LogLevel())
	must.Eq(t, DefaultStopGrace, s.StopGrace())
	must.Eq(t, DefaultJobsInProgress, s.JobsInProgress())
	must.Eq(t, DefaultPlatformTimeout, s.TableTimeout())
	must.Eq(t, HTTPTLSRecord{}, s.HTTPTLS())
}

// TestParseFaults turns the example into files with one fault each and compares the reports.
func TestParseFaults(t *testing.T) {
	var report strings.Builder
	for _, c := range []struct{ name, old, fresh string }{
		{"no YAML", "member: entry-fukuoka-1", "member: [entry-fukuoka-1"},
		{"unknown key", "  level: info", "  levle: info"},
		{"key written twice", "data_centre: fukuoka\n", "data_centre: fukuoka\ndata_centre: kumamoto\n"},
		{"list in place of text", "member: entry-fukuoka-1", "member: [entry-fukuoka-1]"},
		{"member missing", "member: entry-fukuoka-1", ""},
		{"member is no identifier", "member: entry-fukuoka-1", "member: Entry/1"},
		{"duration without unit", "stop_grace: 20s", "stop_grace: 20"},
		{"duration in an unknown unit", "timeout: 2s", "timeout: 2 weeks"},
		{"duration below zero", "timeout: 3s", "timeout: -3s"},
		{"number below zero", "jobs_in_progress: 4096", "jobs_in_progress: -1"},
		{"text in place of a number", "jobs_in_progress: 4096", "jobs_in_progress: many"},
		{"listener by host name", "http: 10.1.0.11:8443", "http: entry.example:8443"},
		{"listener without port", "http: 10.1.0.11:8443", "http: 10.1.0.11"},
		{"listener on every address", "http: 10.1.0.11:8443", "http: 0.0.0.0:8443"},
		{"peer by host name", "address: 10.2.0.11:7443", "address: kumamoto-1:7443"},
		{"listeners share an address", "operator: 10.1.0.11:8444", "operator: 10.1.0.11:8443"},
		{"peers share an address", "address: 10.2.0.11:7443", "address: 10.1.0.12:7443"},
		{"peer has the own address", "address: 10.2.0.11:7443", "address: 10.1.0.11:7443"},
		{"peer listed twice", "id: entry-kumamoto-1", "id: entry-fukuoka-2"},
		{"own entry with another address", "address: 10.1.0.11:7443", "address: 10.1.0.99:7443"},
		{"endpoint without scheme", "endpoint: https://10.0.0.5:8000", "endpoint: 10.0.0.5:8000"},
		{"plain endpoint off loopback", "endpoint: https://10.0.0.6", "endpoint: http://10.0.0.6"},
		{"key written off loopback", "access_key_file: /etc/basilstage/access-key", "access_key: AKIA"},
		{"key missing", "    secret_key_file: /etc/basilstage/secret-key", "    #"},
		{"key written twice over", "    secret_key_file:", "    secret_key: s\n    secret_key_file:"},
		{"plain text and files", "plain_text: false", "plain_text: true"},
		{"neither plain text nor files", "  http:\n    certificate: /etc/basilstage/http.pem\n    key: /etc/basilstage/http-key.pem\n", ""},
		{"plain text off loopback", "  plain_text: false\n  http:\n    certificate: /etc/basilstage/http.pem\n    key: /etc/basilstage/http-key.pem\n", "  plain_text: true\n"},
		{"unknown log level", "level: info", "level: loud"},
	} {
		text := example(t)
		must.StrContains(t, text, c.old)
		_, err := Parse("settings.yaml", []byte(strings.Replace(text, c.old, c.fresh, 1)))
		must.True(t, IsErrSettingsInvalid(err), must.Sprintf("%s: %v", c.name, err))
		fmt.Fprintf(&report, "%s:\n  %v\n", c.name, err)
	}
	goldie.New(t).Assert(t, "parse_faults", []byte(report.String()))
}

// TestLoadFaults checks the files that settings name.
func TestLoadFaults(t *testing.T) {
	for _, c := range []struct {
		name, remove, member, detail string
	}{
		{"fine", "", "entry-1", ""},
		{"settings missing", "settings.yaml", "entry-1", "no such file"},
		{"key missing", "entry-1-key.pem", "entry-1", "tls.peer.key"},
		{"authority missing", "ca.pem", "entry-1", "tls.peer.ca"},
		{"certificate of another member", "", "entry-2", "names entry-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			directory := t.TempDir()
			must.NoError(t, basilkeys.Make(directory, []basilkeys.Member{{ID: "entry-1", Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}}}))
			file := filepath.Join(directory, "settings.yaml")
			must.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf(loopbackSettings, c.member, directory)), 0o600))
			if c.remove != "" {
				must.NoError(t, os.Remove(filepath.Join(directory, c.remove)))
			}
			s, err := Load(file)
			if c.detail == "" {
				must.NoError(t, err)
				must.True(t, s.PlainText())
				must.Eq(t, s.HTTPAddress(), s.OperatorAddress())
				return
			}
			must.True(t, IsErrSettingsInvalid(err))
			must.ErrorContains(t, err, c.detail)
		})
	}
}

const loopbackSettings = `
member: %[1]s
data_centre: fukuoka
listen: {http: "127.0.0.1:8443", peer: "127.0.0.1:7443"}
platform:
  table: {endpoint: "http://127.0.0.1:8000", region: local, table_name: basilstage, access_key: a, secret_key: s}
  hosts: {endpoint: "http://[::1]:8001"}
tls:
  plain_text: true
  peer: {ca: %[2]s/ca.pem, certificate: %[2]s/entry-1.pem, key: %[2]s/entry-1-key.pem}
`

func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Add([]byte(fmt.Sprintf(loopbackSettings, "entry-1", "/keys")))
	f.Add([]byte("peers: [{id: a}, {id: *a}]"))
	f.Add([]byte("&a [*a]"))
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse("fuzz.yaml", b)
		if err != nil {
			must.True(t, IsErrSettingsInvalid(err), must.Sprintf("%T %v", err, err))
			return
		}
		must.NotEq(t, "", s.Member())
		must.Positive(t, s.StopGrace())
	})
}
