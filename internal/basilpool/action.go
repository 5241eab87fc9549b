package basilpool

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Action -trimprefix=Action -transform=kebab -json -text -output=action_enumer.go

// Action is a kind of change to a host.
type Action int

// The actions.
const (
	ActionRegister Action = iota // adds a listed host to its pool
	ActionMove                   // starts a move to another pool
	ActionDrain                  // starts to take the host out of service for maintenance
	ActionDrained                // records that the host has no more work
	ActionMaintain               // hands the drained host over to the platform
	ActionFinish                 // completes a move or maintenance
	ActionReturn                 // puts the host back into service in its pool
	ActionFail                   // records an unplanned failure
	ActionRemove                 // removes a failed host from the fleet
)
