package basilcommand_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilcommand"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/pkg/basilapi"
)

func testConfiguration() basilmodel.Configuration {
	return basilmodel.NewConfiguration(basilmodel.ConfigurationRecord{
		Pools:    []basilmodel.Pool{{Name: "counter"}},
		Services: []basilmodel.Service{{Name: "quote", Pool: "counter", MinAvailable: 1}},
		Teams:    []basilmodel.Team{{Name: "clerks", RatePerSecond: 1}},
	})
}

func TestEditConfiguration(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	tests := []struct{ text, want, wantErr string }{
		{"set service quote min-available 3 timeout 2s", `"services":[{"name":"quote","pool":"counter","class":"short","min_available":3,"timeout_ms":2000}]`, ""},
		{"set pool counter min-hosts 4 spare yes", `"pools":[{"name":"counter","spare":true,"min_hosts":4}]`, ""},
		{"set team clerks rate 50 burst 100", `{"name":"clerks","rate_per_second":50,"burst":100}`, ""},
		{"add team divers token-hash " + strings.ToUpper(hash), `{"name":"divers","token_hash":"` + hash + `"}`, ""},
		{"add service dive pool counter class long", `{"name":"dive","pool":"counter","class":"long","min_available":0}`, ""},
		{"ADD POOL attic", `{"name":"attic"}`, ""},
		{"remove service quote", `"services":[]`, ""},
		{"remove team clerks", `"services":[{"name":"quote","pool":"counter","class":"short","min_available":1}]}`, ""},
		{"set service qoute min-available 3", "", `service is not declared [name: qoute]; did you mean "quote"?`},
		{"remove pool countr", "", `pool is not declared [name: countr]; did you mean "counter"?`},
		{"add pool counter", "", "pool is declared already [name: counter]"},
		{"set service quote min-avilable 3", "", `column 19: unknown field of a service "min-avilable"; did you mean "min-available"?`},
		{"set service quote min-available -", "", `column 33: lexer: invalid input text "-"`},
		{"set service quote min-available x", "", `column 33: "x" is not a whole number of at least 0`},
		{"set service quote", "", "column 13: a field and its value must follow the name: class, min-available, pool, timeout"},
		{"set servcie quote min-available 3", "", `column 5: unknown kind "servcie"; did you mean "service"?`},
		{"add service x class shrt", "", `column 21: unknown service class "shrt"; did you mean "short"?`},
		{"add team x token-hash hunter2", "", "column 23: the token hash must be the SHA-256 of the token as 64 hexadecimal digits; never send the token"},
		{"set team clerks rate NaN", "", `column 22: "NaN" is not a rate, in jobs a second`},
		{"set pool counter spare maybe", "", `column 24: "maybe" is neither yes nor no`},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			var got basilmodel.ConfigurationRecord
			before := testConfiguration()
			c := basilcommand.Commands{Change: func(_ context.Context, change basilcommand.Change, _ bool, _ basilaudit.Actor) (basilcommand.Summary, error) {
				var err error
				got, err = change(before)
				return "", err
			}}
			_, err := c.Run(t.Context(), "ann", basilapi.OperatorRequest{Text: tt.text})
			must.Eq(t, testConfiguration().Record(), before.Record())
			if tt.wantErr != "" {
				must.EqError(t, err, tt.wantErr)
				return
			}
			must.NoError(t, err)
			b, err := json.Marshal(got)
			must.NoError(t, err)
			must.StrContains(t, string(b), tt.want)
		})
	}
}

func TestCreateWave(t *testing.T) {
	tests := []struct {
		text    string
		dry     bool
		want    basilmodel.WaveRecord
		wantErr string
	}{
		{"create wave w", false, basilmodel.WaveRecord{Name: "w"}, ""},
		{"create wave w pools a, b in x share 0.25 racks 2 failures 1", false, basilmodel.WaveRecord{
			Name: "w", Pools: []string{"a", "b"}, DataCentres: []string{"x"}, MaxShare: 0.25, RackBatch: 2, FailuresAllowed: 1,
		}, ""},
		{"create wave w share 2", false, basilmodel.WaveRecord{}, `column 21: "2" is not a share above 0 and up to 1`},
		{"create wave w racks 0", false, basilmodel.WaveRecord{}, `column 21: "0" is not a whole number of at least 1`},
		{"create wave w", true, basilmodel.WaveRecord{}, "only changes of the configuration can be run dry [command: create wave w]"},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			var got basilmodel.WaveRecord
			c := basilcommand.Commands{CreateWave: func(_ context.Context, w basilmodel.WaveRecord, _ basilaudit.Actor) (basilcommand.Summary, error) {
				got = w
				return "", nil
			}}
			_, err := c.Run(t.Context(), "ann", basilapi.OperatorRequest{Text: tt.text, DryRun: tt.dry})
			if tt.wantErr != "" {
				must.EqError(t, err, tt.wantErr)
				return
			}
			must.NoError(t, err)
			must.Eq(t, tt.want, got)
		})
	}
}
