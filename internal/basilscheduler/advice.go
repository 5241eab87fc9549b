package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	ticketExpiryMargin  = 300 * time.Millisecond // time before their expiry from which tickets are not used
	maxAdviceBackends   = 100                    // maximum number of backend servers in one request, by the contract of the service
	ticketLookahead     = 32                     // steps that may get tickets before there is room for them
	maxTicketSteps      = 2 * ticketLookahead    // steps that a decision may request advice for: as many with room as without
	adviceCheckInterval = 250 * time.Millisecond // until a step with nothing to ask looks again; a tenth of the 3 s that a task with room may wait
	ticketRefusalPause  = time.Second            // until a ticket that a backend server refused is asked for again, as each refused start is billed
)

// stepTickets holds what the recommendation service has said about one step, in any number of answers.
type stepTickets struct {
	answers    map[*backend]advice
	validUntil time.Time // when the last ticket expires
	call       int       // number of the newest request
	askedAt    time.Time // time of that request
	askAt      time.Time // no request is made before this time
}

// advice is the answer about one step and one backend server. A refusal holds for the life of the server.
type advice struct {
	ticket string    // empty if refused
	until  time.Time // the server is not asked about again before; zero for a refusal
}

// holds reports whether the answer is not to be asked for again yet.
func (a advice) holds(now time.Time) bool { return a.until.IsZero() || now.Before(a.until) }

// ticketFor returns the valid ticket for the backend server, or the empty string.
func (t *stepTickets) ticketFor(b *backend, now time.Time) string {
	if t == nil {
		return ""
	}
	if a := t.answers[b]; now.Before(a.until) {
		return a.ticket
	}
	return ""
}

// allow reports whether the step may run on the backend server; without tickets, which its queue doesn't need then, it may run on any.
func (t *stepTickets) allow(b *backend, now time.Time) bool {
	return t == nil || t.ticketFor(b, now) != ""
}

// ticketsFor returns the tickets of a step, or nil if its queue needs none. It returns false if the step has to wait for tickets.
func (p *Pool) ticketsFor(s *step, now time.Time) (*stepTickets, bool) {
	if !s.needsTickets() {
		return nil, true
	}
	t := p.tickets[s.name()]
	if t == nil || !now.Before(t.validUntil) {
		p.wantAdvice(s, t, now)
		return nil, false
	}
	return t, true
}

func (s *step) name() string { return s.tasks[0].id.StepName() }

// needsTickets reports whether the recommendation service decides where the step may run.
func (s *step) needsTickets() bool {
	return s.occurrence.job.queue != nil && s.occurrence.job.queue.Advice != nil
}

// wantAdvice notes that tasks of the step wait for tickets for other backend servers than it has valid ones for.
func (p *Pool) wantAdvice(s *step, t *stepTickets, now time.Time) {
	since := s.tasks[0].readyAt
	if t != nil {
		if now.Before(t.askAt) {
			p.wakeAt(t.askAt)
			return
		}
		if t.askedAt.After(since) {
			since = t.askedAt
		}
	}
	w := &p.placement
	if len(w.adviceSteps) < maxTicketSteps {
		w.adviceSteps = append(w.adviceSteps, s)
	}
	if w.leastAsked == nil || since.Before(w.leastAskedSince) {
		w.leastAsked, w.leastAskedSince = s, since
	}
}

// requestAdvice requests advice for steps that wait for it, in the order of placement, and now and then for the one that has waited
// the longest for a request.
//
// What starts nothing now is requested only while the service has nothing else to do.
func (p *Pool) requestAdvice(now time.Time) {
	w := &p.placement
	if len(w.adviceSteps) == 0 || !p.adviceCalls.mayCall(now) {
		return
	}
	if p.adviceCalls.fairTurn() {
		p.requestStepAdvice(w.leastAsked, now)
	}
	for _, s := range w.adviceSteps {
		if !p.adviceCalls.mayCall(now) {
			return
		}
		p.requestStepAdvice(s, now)
	}
}

// requestStepAdvice requests advice for a step, on the backend servers that it has no answer for that still holds.
func (p *Pool) requestStepAdvice(s *step, now time.Time) {
	name := s.name()
	t := p.tickets[name]
	if t == nil {
		t = &stepTickets{answers: make(map[*backend]advice)}
		p.tickets[name] = t
	}
	if now.Before(t.askAt) {
		return
	}
	list := p.adviceBackends(s, t, now)
	if len(list) == 0 {
		t.askAt = now.Add(adviceCheckInterval)
		p.wakeAt(t.askAt)
		return
	}
	urgent := len(t.answers) == 0 || list[0].free().Covers(s.demand)
	if !urgent && !p.adviceCalls.idle() {
		t.askAt = now.Add(adviceDeferral)
		p.wakeAt(t.askAt)
		return
	}
	ids := make([]string, len(list))
	for n, b := range list {
		ids[n] = b.ID
	}
	t.askedAt = now
	t.call, t.askAt = p.adviceCalls.begin(s.occurrence.job.queue.Advice.Cost(len(ids)), now)
	p.actions.Advice = append(p.actions.Advice, AdviceRequest{Step: name, Backends: ids, call: t.call})
}

// adviceBackends returns the backend servers to request advice on: those with room first, of these the ones known to be allowed, and then
// those with the most free CPU.
func (p *Pool) adviceBackends(s *step, t *stepTickets, now time.Time) []*backend {
	var list []*backend
	for _, b := range p.list {
		if !b.available(now) || !b.hasLabel(s.spec.Label) || !b.Resources.Covers(s.demand) || !s.antiAffinityAllows(b) {
			continue
		}
		if a, ok := t.answers[b]; !ok || !a.holds(now) {
			list = append(list, b)
		}
	}
	order := func(b *backend) (first int) {
		if !b.free().Covers(s.demand) {
			first += 2
		}
		if t.answers[b].ticket == "" {
			first++
		}
		return first
	}
	slices.SortStableFunc(list, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(order(a), order(b)), cmp.Compare(b.free().CPU, a.free().CPU))
	})
	return list[:min(len(list), maxAdviceBackends)]
}

// Advised stores the answer to a request for advice: tickets for the backend servers that the step may run on.
func (p *Pool) Advised(r AdviceRequest, tickets []basilwork.Ticket, valid time.Duration, now time.Time) {
	p.adviceCalls.answered(r.call)
	t := p.tickets[r.Step]
	if t == nil {
		return
	}
	for _, id := range r.Backends {
		if b := p.backends[id]; b != nil {
			t.answers[b] = advice{}
		}
	}
	until := now.Add(max(valid-ticketExpiryMargin, valid/2))
	for _, v := range tickets {
		if b := p.backends[v.Backend]; b != nil {
			t.answers[b] = advice{v.Value, until}
		}
	}
	if len(tickets) > 0 && until.After(t.validUntil) {
		t.validUntil = until
	}
	if t.call == r.call {
		t.askAt = now
	}
}

// AdviceFailed records that a request for advice got no answer. It is repeated after a pause.
func (p *Pool) AdviceFailed(r AdviceRequest, now time.Time) {
	again := p.adviceCalls.failed(r.call, now)
	if t := p.tickets[r.Step]; t != nil && t.call == r.call {
		t.askAt = again
	}
}

// forgetTickets removes the tickets of all steps of an occurrence.
func (p *Pool) forgetTickets(o *occurrence) {
	if len(p.tickets) == 0 {
		return
	}
	for _, s := range o.steps {
		delete(p.tickets, s.name())
	}
}

// forgetTicket removes a rejected ticket and has it requested again after a pause.
func (p *Pool) forgetTicket(step string, b *backend, now time.Time) {
	if t := p.tickets[step]; t != nil {
		t.answers[b] = advice{until: now.Add(ticketRefusalPause)}
	}
}

// forgetRefusals removes what a step without waiting tasks needs no more, as it may last for long: where it may not run.
func (p *Pool) forgetRefusals(s *step) {
	if len(p.tickets) == 0 {
		return
	}
	t := p.tickets[s.name()]
	if t == nil {
		return
	}
	allowed := make(map[*backend]advice)
	for b, a := range t.answers {
		if a.ticket != "" {
			allowed[b] = a
		}
	}
	t.answers = allowed
}

// forgetAdvice removes all answers about a backend server whose life has ended.
func (p *Pool) forgetAdvice(b *backend) {
	for _, t := range p.tickets {
		delete(t.answers, b)
	}
}
