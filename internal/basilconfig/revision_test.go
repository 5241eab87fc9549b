package basilconfig_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilstandin"
)

func drawRecord(t *rapid.T) basilmodel.ConfigurationRecord {
	var r basilmodel.ConfigurationRecord
	for n := range rapid.IntRange(1, 4).Draw(t, "pools") {
		r.Pools = append(r.Pools, basilmodel.Pool{Name: fmt.Sprintf("p%d", n), MinHosts: rapid.IntRange(0, 2).Draw(t, "min")})
	}
	for n := range rapid.IntRange(1, 4).Draw(t, "services") {
		r.Services = append(r.Services, basilmodel.Service{
			Name: fmt.Sprintf("s%d", n), Pool: r.Pools[n%len(r.Pools)].Name, MinAvailable: rapid.IntRange(0, 2).Draw(t, "available"),
		})
	}
	return r
}

// TestPropertyRevisionsRebuildFromDeltas compares revisions rebuilt from stored deltas with the configurations that were accepted.
func TestPropertyRevisionsRebuildFromDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table basilstandin.Table
		trail := basilaudit.NewTrail(&table)
		var accepted []basilmodel.Configuration
		replayed := basilmodel.Configuration{}
		for n := range rapid.SampledFrom([]int{1, 3, 20, 64, 66, 130}).Draw(t, "revisions") {
			c, err := basilconfig.Apply(t.Context(), trail, int64(n), drawRecord(t), basilaudit.Actor{Operator: "ann"})
			must.NoError(t, err)
			accepted = append(accepted, c)
		}
		entries, err := trail.After(t.Context(), 0, 0)
		must.NoError(t, err)
		for n, e := range entries {
			replayed, _ = replayed.Apply(*e.Configuration())
			must.Eq(t, accepted[n].Record(), replayed.Record())
		}
		n := rapid.IntRange(1, len(accepted)).Draw(t, "revision")
		kept, err := basilconfig.Revision(t.Context(), &table, int64(n))
		must.NoError(t, err)
		must.Eq(t, accepted[n-1].Record(), kept.Record())
		_, err = basilconfig.Revision(t.Context(), &table, int64(len(accepted)+1))
		must.True(t, basilconfig.IsErrRevisionNotExist(err))
	})
}

func TestSecondRevisionOnSameBaseConflicts(t *testing.T) {
	var table basilstandin.Table
	trail := basilaudit.NewTrail(&table)
	r := basilmodel.ConfigurationRecord{Pools: []basilmodel.Pool{{Name: "p"}}, Services: []basilmodel.Service{{Name: "s", Pool: "p"}}}
	won := 0
	for _, operator := range []string{"ann", "ben"} {
		_, err := basilconfig.Apply(t.Context(), trail, 0, r, basilaudit.Actor{Operator: operator})
		if err == nil {
			won++
			continue
		}
		must.True(t, basilconfig.IsErrRevisionConflict(err))
		must.StrContains(t, err.Error(), "author: ann")
	}
	must.EqOp(t, 1, won)
}

func TestRepeatedCommandReturnsItsRevision(t *testing.T) {
	var table basilstandin.Table
	trail := basilaudit.NewTrail(&table)
	r := basilmodel.ConfigurationRecord{Pools: []basilmodel.Pool{{Name: "p"}}, Services: []basilmodel.Service{{Name: "s", Pool: "p"}}}
	first, err := basilconfig.Apply(t.Context(), trail, 0, r, basilaudit.Actor{Operator: "ann", Command: "c1"})
	must.NoError(t, err)
	_, err = basilconfig.Apply(t.Context(), trail, 1, r, basilaudit.Actor{Operator: "ben", Command: "c2"})
	must.NoError(t, err)
	again, err := basilconfig.Apply(t.Context(), trail, 0, r, basilaudit.Actor{Operator: "ann", Command: "c1"})
	must.NoError(t, err)
	must.Eq(t, first.Record(), again.Record())
}

// TestTeamsRequireOperatorToken guards against operators locking themselves out: once a team is declared, only tokens of operator teams may run commands.
func TestTeamsRequireOperatorToken(t *testing.T) {
	r := basilmodel.ConfigurationRecord{Pools: []basilmodel.Pool{{Name: "p"}}, Services: []basilmodel.Service{{Name: "s", Pool: "p"}}}
	must.NoError(t, basilconfig.Check(r))
	r.Teams = []basilmodel.Team{{Name: "clerks", TokenHash: "ab"}, {Name: "keepers", Operator: true}}
	must.True(t, basilconfig.IsErrConfigurationInvalid(basilconfig.Check(r)), must.Sprint("the operator team has no token"))
	r.Teams[1].TokenHash = "cd"
	must.NoError(t, basilconfig.Check(r))
}
