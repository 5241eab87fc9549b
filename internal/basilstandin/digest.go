package basilstandin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"basilstage.example/basilstage/internal/basilplatform"
)

// digestOf tells two transactions with the same token apart, by what the service sees of them.
func digestOf(x basilplatform.Transaction) uint64 {
	d := xxhash.New()
	for _, w := range x.Writes {
		fmt.Fprintf(d, "%d %q %q %d ", w.Kind, w.Key.Partition, w.Key.Sort, w.Precondition)
		if w.Precondition == basilplatform.PreconditionVersion {
			fmt.Fprintf(d, "%d ", w.Version)
		}
		if w.Kind == basilplatform.WriteKindPut {
			fmt.Fprintf(d, "%d ", len(w.Body))
			_, _ = d.Write(w.Body)
		}
	}
	return d.Sum64()
}
