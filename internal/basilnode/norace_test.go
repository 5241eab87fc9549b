//go:build !race

package basilnode_test

const (
	partWrites        = 200               // transactions per second that a partition of the store carries on the grown platform
	simulatedBackends = largeServiceHosts // backend servers of a large service, with rows of that size
)
