package basilcapacity

import "time"

// mover keeps what is needed to choose moves between pools.
type mover struct{}

// move orders the moves that are due.
func (f *Fleet) move(time.Time, *Plan) {}
