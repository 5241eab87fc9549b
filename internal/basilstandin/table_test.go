package basilstandin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
)

func TestTableTakesEffectLate(t *testing.T) {
	key := basilplatform.Key{Partition: "p", Sort: "s"}
	x := basilplatform.Transaction{Token: "1", Writes: []basilplatform.Write{{Key: key}}}
	tests := []struct {
		name   string
		faults basilstandin.TableFaults
		stored bool // after a minute
	}{
		{"slow beyond the caller's deadline", basilstandin.TableFaults{Delay: 10 * time.Second}, true},
		{"no answer, late effect", basilstandin.TableFaults{LateBy: 10 * time.Second}, true},
		{"slow and down", basilstandin.TableFaults{Delay: 10 * time.Second, Down: true}, false},
		{"slow and lost", basilstandin.TableFaults{Delay: 10 * time.Second, LoseWrites: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var table basilstandin.Table
				table.SetFaults(tt.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := table.Transact(ctx, x)
				must.True(t, basilplatform.IsErrOutcomeUnknown(err), must.Sprint(err))
				table.SetFaults(basilstandin.TableFaults{})
				_, err = table.Get(t.Context(), key)
				must.True(t, basilplatform.IsErrItemNotExist(err))
				time.Sleep(time.Minute)
				_, err = table.Get(t.Context(), key)
				must.EqOp(t, tt.stored, err == nil)
			})
		})
	}
}
