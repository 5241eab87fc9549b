package basilcapacity

import "basilstage.example/basilstage/internal/basilwork"

//go:generate go tool -modfile=../../tools/go.mod enumer -type=resource -trimprefix=resource -transform=snake -output=resource_enumer.go

// resource is a kind of room that tasks reserve on a host.
type resource int

const (
	resourceCPU    resource = iota // thousandths of a core
	resourceMemory                 // MB
	resourceGPU
)

// of returns the amount of the resource.
func (r resource) of(room basilwork.Resources) int {
	switch r {
	case resourceMemory:
		return room.Memory
	case resourceGPU:
		return room.GPU
	default:
		return room.CPU
	}
}

// minReportedChange returns the smallest change of the resource that a pool reports by itself.
func (r resource) minReportedChange() int {
	switch r {
	case resourceMemory:
		return minReportedMemoryChange
	case resourceGPU:
		return minReportedGPUChange
	default:
		return minReportedCPUChange
	}
}

// Amounts are the reported amounts of one resource, in its unit.
type Amounts struct {
	Used          int   `json:"used,omitempty"`
	WaitingDemand int   `json:"wanted,omitempty"`  // requested by waiting tasks
	Serving       int   `json:"serving,omitempty"` // of long-running tasks
	ArrivedWork   int64 `json:"arrived,omitempty"` // total estimated work of all jobs so far, times seconds
}

// differsBy reports whether the amounts differ from the last reported ones by more than the given change.
func (a Amounts) differsBy(last Amounts, least int) bool {
	change := a.Used + a.WaitingDemand - last.Used - last.WaitingDemand
	return max(change, -change) > least || a.ArrivedWork-last.ArrivedWork > int64(least)
}

// amounts returns the load by resource.
func (l Load) amounts() [resourceGPU + 1]Amounts {
	return [...]Amounts{
		resourceCPU:    {Used: l.Used, WaitingDemand: l.WaitingDemand, Serving: l.Serving, ArrivedWork: l.ArrivedWork},
		resourceMemory: l.Memory,
		resourceGPU:    l.GPU,
	}
}
