package basilpool

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Action -trimprefix=Action -transform=kebab -json -text -output=action_enumer.go

// Action is a kind of change of one host.
type Action int

// The actions.
const (
	ActionRegister Action = iota // takes a listed host into its pool
	ActionMove                   // starts a move to another pool
	ActionDrain                  // starts to take the host out for maintenance
	ActionDrained                // notes that the host holds no more work
	ActionMaintain               // hands the drained host to the platform
	ActionFinish                 // ends a move or maintenance
	ActionReturn                 // takes the host back into service in its pool
	ActionFail                   // notes an unplanned loss
	ActionRemove                 // strikes a lost host off the fleet
)
