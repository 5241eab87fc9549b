package basilmodel

//go:generate go tool -modfile=../../tools/go.mod enumer -type=HostState -trimprefix=HostState -transform=kebab -json -text -output=host_state_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=OutCause -trimprefix=OutCause -transform=kebab -json -text -output=out_cause_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=ServiceClass -trimprefix=ServiceClass -transform=kebab -json -text -output=service_class_enumer.go

// HostState is the step of its life that a host is in.
type HostState int

// The host states.
const (
	HostStateUnknown     HostState = iota // never stored
	HostStateActive                       // takes work for its pool
	HostStateLeaving                      // takes no new work, finishes what it has
	HostStateDrained                      // holds no work
	HostStateMaintenance                  // handed to the platform for a reboot
	HostStateFailed                       // lost without a plan
)

// OutCause tells why a host counts against an availability budget.
type OutCause int

// The causes, in the order of their weight.
const (
	OutCauseNone    OutCause = iota // in service
	OutCauseMove                    // planned: moves to another pool
	OutCauseWave                    // planned: maintenance
	OutCauseFailure                 // unplanned
)

// ServiceClass tells how the jobs of a service are run.
type ServiceClass int

// The service classes.
const (
	ServiceClassShort ServiceClass = iota // answered on the same request by a runner
	ServiceClassLong                      // accepted now, run as a task under a lease
)
