//go:build race

package basilnode_test

// Smaller sizes for the race detector: with the sizes of norace_test.go its internal checks fail (tsan_rtl), or a test takes
// half a minute.
const (
	partWrites        = 50  // transactions per second that a partition of the store carries
	simulatedBackends = 150 // backend servers of a large service, with rows of that size
)

// poolRows are numbers of rows of jobs that a pool has.
var poolRows = []int{100, 1000}
