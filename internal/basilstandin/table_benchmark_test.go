package basilstandin_test

import (
	"fmt"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
)

const benchmarkHosts = 13_000

// BenchmarkTable measures the in-memory table with a partition of all hosts
// and as many partitions of one item each.
func BenchmarkTable(b *testing.B) {
	var table basilstandin.Table
	put := func(partition, sort string) {
		must.NoError(b, table.Transact(b.Context(), basilplatform.Transaction{
			Token: ulid.Make().String(),
			Writes: []basilplatform.Write{{
				Key:          basilplatform.Key{Partition: partition, Sort: sort},
				Precondition: basilplatform.PreconditionNone, Body: make([]byte, 300),
			}},
		}))
	}
	for n := range benchmarkHosts {
		put("hosts", fmt.Sprintf("%05d", n))
		put(fmt.Sprint("partition-", n), "only")
	}
	b.Run("query of 100 among 13000", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			items, err := table.Query(b.Context(), "hosts", "06500", 100)
			must.NoError(b, err)
			must.Len(b, 100, items)
		}
	})
	b.Run("query of a small partition", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			items, err := table.Query(b.Context(), "partition-77", "", 0)
			must.NoError(b, err)
			must.Len(b, 1, items)
		}
	})
	b.Run("overwrite", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			put("hosts", "06500")
		}
	})
}
