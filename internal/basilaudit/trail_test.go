package basilaudit_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
)

func change(command string) basilaudit.Decide {
	return func(context.Context, basilplatform.Table) (basilaudit.Change, error) {
		return basilaudit.Change{Entry: basilaudit.EntryRecord{Operator: "ann", Command: command, Action: "test"}}, nil
	}
}

// faultPlan returns a hook that injects the given faults into the first transactions, in order.
func faultPlan(plan ...basilstandin.TableFaults) func(basilplatform.Transaction) basilstandin.TableFaults {
	var n int
	return func(basilplatform.Transaction) basilstandin.TableFaults {
		n++
		if n <= len(plan) {
			return plan[n-1]
		}
		return basilstandin.TableFaults{}
	}
}

func TestCommitUnderFaults(t *testing.T) {
	lost := basilstandin.TableFaults{LoseAnswers: true}
	writeLost := basilstandin.TableFaults{LoseWrites: true}
	conflict := basilstandin.TableFaults{Conflicts: true}
	writeDelayed := basilstandin.TableFaults{LateBy: 50 * time.Millisecond}
	down := basilstandin.TableFaults{Down: true}
	tests := []struct {
		name    string
		plan    []basilstandin.TableFaults
		entries int
		check   func(error) bool
	}{
		{"no fault", nil, 1, nil},
		{"response lost after the write", []basilstandin.TableFaults{lost}, 1, nil},
		{"write lost", []basilstandin.TableFaults{writeLost}, 1, nil},
		{"write lost, then the response to the retry", []basilstandin.TableFaults{writeLost, lost}, 1, nil},
		{"transactions conflict", []basilstandin.TableFaults{conflict, conflict}, 1, nil},
		{"write delayed", []basilstandin.TableFaults{writeDelayed}, 1, nil},
		{"down", []basilstandin.TableFaults{down}, 0, basilplatform.IsErrUnavailable},
		{"all writes lost", []basilstandin.TableFaults{writeLost, writeLost, writeLost, writeLost, writeLost}, 0, basilaudit.IsErrChangeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var table basilstandin.Table
				trail := basilaudit.NewTrail(&table)
				table.SetHook(faultPlan(tt.plan...))
				_, err := trail.Commit(t.Context(), change("c1"))
				if tt.check == nil {
					must.NoError(t, err)
				} else {
					must.True(t, tt.check(err), must.Sprint(err))
				}
				entries, err := trail.After(t.Context(), 0, 10)
				must.NoError(t, err)
				must.Len(t, tt.entries, entries)
			})
		})
	}
}

func TestConcurrentCommitsOfOneCommandMakeOneChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		trail := basilaudit.NewTrail(&table)
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				_, err := trail.Commit(t.Context(), change("same"))
				must.NoError(t, err)
			})
		}
		group.Wait()
		head, err := trail.Head(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 1, head)
	})
}
