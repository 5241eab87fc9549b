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

// faultPlan gives the faults of the first transactions, in order.
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
	vanished := basilstandin.TableFaults{LoseWrites: true}
	conflict := basilstandin.TableFaults{Conflicts: true}
	late := basilstandin.TableFaults{LateBy: 50 * time.Millisecond}
	down := basilstandin.TableFaults{Down: true}
	tests := []struct {
		name    string
		plan    []basilstandin.TableFaults
		entries int
		check   func(error) bool
	}{
		{"no fault", nil, 1, nil},
		{"answer lost after the write", []basilstandin.TableFaults{lost}, 1, nil},
		{"write lost", []basilstandin.TableFaults{vanished}, 1, nil},
		{"write lost, then its answer", []basilstandin.TableFaults{vanished, lost}, 1, nil},
		{"transactions conflict", []basilstandin.TableFaults{conflict, conflict}, 1, nil},
		{"write late", []basilstandin.TableFaults{late}, 1, nil},
		{"down", []basilstandin.TableFaults{down}, 0, basilplatform.IsErrUnavailable},
		{"lost for good", []basilstandin.TableFaults{vanished, vanished, vanished, vanished, vanished}, 0, basilaudit.IsErrChangeUnknown},
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

func TestCommitTwiceWithOneCommandIsOneChange(t *testing.T) {
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
