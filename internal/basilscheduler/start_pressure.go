package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// startPressureTime is how long all decisions must end at the limit of starts until the owner counts as too slow. A host that comes to a
// pool is filled within it.
const startPressureTime = 500 * time.Millisecond

// startPressure tracks whether the starts that the owner can send are what limits the pool, rather than room.
type startPressure struct {
	since       time.Time // since when each decision has ended at the limit; zero if the last one didn't
	confirmedAt time.Time // when the last one did
}

// record records whether a decision with the limit of starts ended there. Decisions without any start tell nothing.
func (s *startPressure) record(limited bool, limit int, now time.Time) {
	switch {
	case limit == 0:
	case !limited:
		s.since = time.Time{}
	default:
		if s.since.IsZero() || now.Sub(s.confirmedAt) > startPressureTime {
			s.since = now
		}
		s.confirmedAt = now
	}
}

// lasts reports whether the limit has lasted for startPressureTime.
func (s *startPressure) lasts(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= startPressureTime && now.Sub(s.confirmedAt) <= startPressureTime
}

// StartsLimited reports whether tasks wait for lack of starts while a third of the pool's room or more is free.
func (p *Pool) StartsLimited(now time.Time) bool {
	if !p.startPressure.lasts(now) {
		return false
	}
	var used, room basilwork.Resources
	for _, b := range p.list {
		if b.present && b.attached && !b.Draining {
			used, room = used.Add(b.used), room.Add(b.Resources)
		}
	}
	return isThirdFree(used, room)
}

// isThirdFree reports whether a third of the room is free, of each kind that there is any of.
func isThirdFree(used, room basilwork.Resources) bool {
	spare := func(used, room int) bool { return room == 0 || 3*used < 2*room }
	return spare(used.CPU, room.CPU) && spare(used.Memory, room.Memory) && spare(used.GPU, room.GPU)
}
