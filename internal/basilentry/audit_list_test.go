package basilentry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

// countingTable counts the items that queries return.
type countingTable struct {
	basilstandin.Table
	items int
}

func (c *countingTable) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	items, err := c.Table.Query(ctx, partition, after, limit)
	c.items += len(items)
	return items, err
}

// TestAuditReadsOnlyWhatIsAskedFor bounds the reads of a trail of 1000 entries.
func TestAuditReadsOnlyWhatIsAskedFor(t *testing.T) {
	table := &countingTable{}
	trail := basilaudit.NewTrail(table)
	for n := range 1000 {
		_, err := trail.Commit(t.Context(), func(context.Context, basilplatform.Table) (basilaudit.Change, error) {
			return basilaudit.Change{Entry: basilaudit.EntryRecord{Operator: "ann", Action: "test", Subject: strconv.Itoa(n % 500)}}, nil
		})
		must.NoError(t, err)
	}
	h := newEntryWith(t, "", table).Handler()
	tests := []struct {
		text               string
		first, rows, reads int
	}{
		{"audit limit 5", 1000, 5, 200},
		{"audit where sequence <= 300 limit 5", 300, 5, 200},
		{"audit where sequence > 990", 1000, 10, 10},
		{"audit where sequence >= 40 and sequence < 60", 59, 20, 20},
		{"audit where sequence = 700", 700, 1, 1},
		{"audit where subject = 450 limit 1", 951, 1, 200},
		{"audit where subject = 450", 951, 2, 1000},
		{"audit order by sequence limit 3", 1, 3, 1000},
		{"audit where sequence < 1", 0, 0, 0},
		{"audit where sequence > 5000", 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			table.items = 0
			body, err := json.Marshal(basilapi.OperatorRequest{Text: tt.text})
			must.NoError(t, err)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/query", bytes.NewReader(body)))
			var a basilapi.QueryAnswer
			must.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
			must.Len(t, tt.rows, a.Rows)
			if tt.rows > 0 {
				must.EqOp(t, strconv.Itoa(tt.first), a.Rows[0][0])
			}
			must.LessEq(t, tt.reads, table.items)
		})
	}
}
