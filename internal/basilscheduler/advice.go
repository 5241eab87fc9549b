package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	adviceRepeat  = time.Second            // after a request for advice without an answer
	adviceMargin  = 300 * time.Millisecond // before tickets expire
	maxAdviceList = 100                    // backend servers in one request
	adviceAhead   = 32                     // steps that have or get tickets before there is room
	adviceAsks    = 2 * adviceAhead        // steps that get tickets at a time, so that as many for which there is room do
)

// stepTickets are the answers of the recommendation service for one step.
type stepTickets struct {
	values  map[string]string
	expires time.Time
	asked   time.Time
}

// ticketsFor returns the tickets of a step, nil where its queue needs none; false means that it has to wait. It asks
// for those of the steps that come next.
func (p *Pool) ticketsFor(s *step, now time.Time) (map[string]string, bool) {
	q := s.occurrence.job.queue
	if q == nil || q.Advice == nil {
		return nil, true
	}
	name := s.tasks[0].id.StepName()
	t := p.tickets[name]
	if t != nil && now.Before(t.expires) {
		return t.values, true
	}
	if p.room.asks == 0 {
		return nil, false
	}
	if t == nil {
		t = &stepTickets{}
		p.tickets[name] = t
	}
	p.room.asks--
	if now.Sub(t.asked) >= adviceRepeat {
		t.asked = now
		p.actions.Advice = append(p.actions.Advice, AdviceRequest{Step: name, Backends: p.advisable(s, now)})
	}
	p.wakeAt(now.Add(adviceRepeat))
	return nil, false
}

// advisable returns the backend servers worth asking for, those with most room first.
func (p *Pool) advisable(s *step, now time.Time) []string {
	var list []*backend
	for _, b := range p.list {
		if b.usable(now) && b.hasLabel(s.spec.Label) && b.Room.Holds(s.demand) {
			list = append(list, b)
		}
	}
	slices.SortStableFunc(list, func(a, b *backend) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	ids := make([]string, 0, maxAdviceList)
	for _, b := range list[:min(len(list), maxAdviceList)] {
		ids = append(ids, b.ID)
	}
	return ids
}

// Advised takes in the tickets of a step; no answer leaves it to be asked again.
func (p *Pool) Advised(step string, tickets []basilwork.Ticket, valid time.Duration, now time.Time) {
	t := p.tickets[step]
	if t == nil {
		return
	}
	t.values = make(map[string]string, len(tickets))
	for _, v := range tickets {
		t.values[v.Backend] = v.Value
	}
	t.expires = now.Add(max(valid-adviceMargin, valid/2))
}

// forgetTickets forgets the tickets of an occurrence of which nothing is left.
func (p *Pool) forgetTickets(o *occurrence) {
	if len(p.tickets) == 0 {
		return
	}
	for _, s := range o.steps {
		delete(p.tickets, basilwork.TaskID{Job: o.job.id(), Occurrence: o.number, Step: s.number}.StepName())
	}
}

func (p *Pool) forgetTicket(step, backend string) {
	if t := p.tickets[step]; t != nil {
		delete(t.values, backend)
		t.expires = time.Time{}
	}
}
