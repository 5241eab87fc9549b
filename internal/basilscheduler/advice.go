package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	adviceRetryInterval = time.Second            // delay before an unanswered request for advice is repeated
	ticketExpiryMargin  = 300 * time.Millisecond // time before their expiry from which tickets are not used
	maxAdviceBackends   = 100                    // maximum number of backend servers in one request
	ticketLookahead     = 32                     // steps that may get tickets before there is room for them
	maxTicketSteps      = 2 * ticketLookahead    // steps that wait for tickets per decision: as many with room as without
)

// stepTickets holds the tickets that the recommendation service issued for one step.
type stepTickets struct {
	values    map[string]string
	expiresAt time.Time
	askedAt   time.Time
}

// ticketsFor returns the tickets of a step by backend server, or nil if its queue needs none. It returns false if the
// step has to wait for its tickets, and requests them if the limit of the decision allows it.
func (p *Pool) ticketsFor(s *step, now time.Time) (map[string]string, bool) {
	q := s.occurrence.job.queue
	if q == nil || q.Advice == nil {
		return nil, true
	}
	name := s.tasks[0].id.StepName()
	t := p.tickets[name]
	if t != nil && now.Before(t.expiresAt) {
		return t.values, true
	}
	if p.placement.ticketStepsLeft == 0 {
		return nil, false
	}
	if t == nil {
		t = &stepTickets{}
		p.tickets[name] = t
	}
	p.placement.ticketStepsLeft--
	if now.Sub(t.askedAt) >= adviceRetryInterval {
		t.askedAt = now
		p.actions.Advice = append(p.actions.Advice, AdviceRequest{Step: name, Backends: p.adviceBackends(s, now)})
	}
	p.wakeAt(now.Add(adviceRetryInterval))
	return nil, false
}

// adviceBackends returns the backend servers to request advice for, those with the most free CPU first.
func (p *Pool) adviceBackends(s *step, now time.Time) []string {
	var list []*backend
	for _, b := range p.list {
		if b.usable(now) && b.hasLabel(s.spec.Label) && b.Resources.Covers(s.demand) {
			list = append(list, b)
		}
	}
	slices.SortStableFunc(list, func(a, b *backend) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	ids := make([]string, 0, maxAdviceBackends)
	for _, b := range list[:min(len(list), maxAdviceBackends)] {
		ids = append(ids, b.ID)
	}
	return ids
}

// Advised stores the tickets received for a step. Without an answer, the request is repeated.
func (p *Pool) Advised(step string, tickets []basilwork.Ticket, valid time.Duration, now time.Time) {
	t := p.tickets[step]
	if t == nil {
		return
	}
	t.values = make(map[string]string, len(tickets))
	for _, v := range tickets {
		t.values[v.Backend] = v.Value
	}
	t.expiresAt = now.Add(max(valid-ticketExpiryMargin, valid/2))
}

// forgetTickets removes the tickets of all steps of an occurrence.
func (p *Pool) forgetTickets(o *occurrence) {
	if len(p.tickets) == 0 {
		return
	}
	for _, s := range o.steps {
		delete(p.tickets, basilwork.TaskID{Job: o.job.id(), Occurrence: o.number, Step: s.number}.StepName())
	}
}

// forgetTicket removes a rejected ticket and has the tickets of the step requested again.
func (p *Pool) forgetTicket(step, backend string) {
	if t := p.tickets[step]; t != nil {
		delete(t.values, backend)
		t.expiresAt = time.Time{}
	}
}
