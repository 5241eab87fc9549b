//go:build !race

package basilnode_test

const (
	partWrites        = 200               // transactions per second that a partition of the store carries on the grown platform
	simulatedBackends = largeServiceHosts // backend servers of a large service, with rows of that size
)

// poolRows are numbers of rows of jobs that a pool has.
var poolRows = []int{100, 1000, 5000, 20_000}
