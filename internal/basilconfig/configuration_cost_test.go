package basilconfig_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilstandin"
)

// Size and rate that the users require.
const (
	targetPools           = 23
	targetServices        = 115
	targetTeams           = 430
	targetChangesPerDay   = 42_000
	targetBytesPerSecond  = 17 << 10
	secondsPerDay         = 86_400
	targetHostChangeShare = 0.5 // share of the bandwidth reserved for all other changes
)

func targetRecord() basilmodel.ConfigurationRecord {
	var r basilmodel.ConfigurationRecord
	for n := range targetPools {
		r.Pools = append(r.Pools, basilmodel.Pool{Name: fmt.Sprintf("pool-%02d", n), MinHosts: 100})
	}
	for n := range targetServices {
		r.Services = append(r.Services, basilmodel.Service{
			Name: fmt.Sprintf("service-%03d", n), Pool: fmt.Sprintf("pool-%02d", n%targetPools), MinAvailable: 400, TimeoutMillis: 30_000,
		})
	}
	for n := range targetTeams {
		r.Teams = append(r.Teams, basilmodel.Team{
			Name: fmt.Sprintf("team-%03d", n), TokenHash: strings.Repeat("ab", 32), Operator: n == 0, RatePerSecond: 50, Burst: 100,
		})
	}
	return r
}

func TestTeamChangeFitsNodeBandwidth(t *testing.T) {
	var table basilstandin.Table
	trail := basilaudit.NewTrail(&table)
	r := targetRecord()
	ann := basilaudit.Actor{Operator: "ann", Reason: "quota"}
	_, err := basilconfig.Apply(t.Context(), trail, 0, r, ann)
	must.NoError(t, err)
	r.Teams[7].RatePerSecond = 60
	_, err = basilconfig.Apply(t.Context(), trail, 1, r, ann)
	must.NoError(t, err)
	entries, err := trail.After(t.Context(), 1, 1)
	must.NoError(t, err)
	b, err := json.Marshal(entries[0])
	must.NoError(t, err)
	perSecond := float64(len(b)) * targetChangesPerDay / secondsPerDay
	t.Logf("%d bytes per change, %.0f bytes/s at the target rate", len(b), perSecond)
	must.Less(t, targetBytesPerSecond*(1-targetHostChangeShare), perSecond, must.Sprintf("%d bytes per change", len(b)))
}
