package basilscheduler

import "time"

// RunState describes a run that may exist on a backend server.
type RunState struct {
	Ref
	StartedAt time.Time // when the start was requested, or the run was adopted
	Answered  bool      // the start was answered, or a report listed the run
}

// RunStates returns the runs that may exist on the backend server, by task and attempt.
func (p *Pool) RunStates(id string) []RunState {
	b := p.backends[id]
	if b == nil {
		return nil
	}
	states := make([]RunState, 0, len(b.runs))
	for _, r := range b.runs {
		states = append(states, RunState{Ref: r.ref(), StartedAt: r.orderedAt, Answered: !r.answeredAt.IsZero()})
	}
	return states
}
