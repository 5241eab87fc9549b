package basilentry

import (
	"context"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/pkg/basilapi"
)

// whyService tells what counts against the service's budget, and since when.
func (e *Entry) whyService(ctx context.Context, name string) (basilapi.QueryAnswer, error) {
	b, err := e.pools.Budget(ctx, name)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	r := &reasons{}
	r.add("service %s in pool %s keeps %d of %d hosts in service, %d are, %d may be taken out",
		name, b.Pool(), b.MinAvailable(), b.Hosts(), b.Available(), max(b.Spare(), 0))
	if !b.Whole() {
		r.add("the budget is broken: %d hosts are missing", -b.Spare())
	}
	v := e.control.View()
	for _, o := range b.Out() {
		h, ok := v.Host(o.Host)
		if !ok {
			r.add("%s counts against it as %s", o.Host, o.Cause)
			continue
		}
		r.add("%s counts against it as %s: %s by %s since %s, audit entry %d", o.Host, o.Cause, h.State(), h.Operator(), stamp(h.Since()), h.Sequence())
	}
	return r.answer()
}

// whyRefused tells why work for the service, or a planned change of its hosts, is refused now.
func (e *Entry) whyRefused(ctx context.Context, name string) (basilapi.QueryAnswer, error) {
	now := time.Now()
	v := e.control.View()
	r := &reasons{}
	if err := e.control.Check(now); err != nil {
		r.add("this entry host refuses all work: %s", err)
	}
	s, ok := v.Configuration().Service(name)
	if !ok {
		r.add("work is refused here: revision %d, the newest known here, declares no service %s", v.Configuration().Revision(), name)
		return r.answer()
	}
	e.refusedWork(r, v, s, now)
	e.refusedChanges(ctx, r, v, s)
	if len(r.rows) == 0 {
		r.add("nothing known here refuses work for %s, or to take a host out of pool %s; a backend server's own refusal is in the answer", name, s.Pool)
	}
	return r.answer()
}

func (e *Entry) refusedWork(r *reasons, v *basilview.View, s basilmodel.Service, now time.Time) {
	hosts := v.HostsIn(s.Pool)
	usable := v.Usable(s.Pool, e.settings.DataCentre(), now)
	switch {
	case len(hosts) == 0:
		r.add("work is refused: pool %s has no hosts", s.Pool)
	case len(usable) == 0:
		r.add("work is refused: of the %d hosts of pool %s none is usable from %s", len(hosts), s.Pool, e.settings.DataCentre())
		r.tellUnusable(v, hosts)
	case s.Class == basilmodel.ServiceClassShort && e.router.FreeCredits(s.Name, now) == 0:
		r.add("work waits or is refused: the %d usable hosts of pool %s have no free place, or don't answer", len(usable), s.Pool)
	}
	if !v.Fresh(now) {
		r.add("hosts of other data centres are not used: the table was last read %s ago", v.StoreAge(now).Round(time.Second))
	}
}

func (r *reasons) tellUnusable(v *basilview.View, hosts []basilmodel.Host) {
	for _, h := range hosts {
		switch {
		case !h.InService():
			r.add("%s is %s since %s", h.ID(), h.State(), stamp(h.Since()))
		case v.Leaving(h):
			r.add("%s was seen leaving", h.ID())
		}
	}
}

func (e *Entry) refusedChanges(ctx context.Context, r *reasons, v *basilview.View, s basilmodel.Service) {
	budgets, err := e.pools.Budgets(ctx)
	if err != nil {
		r.add("planned changes are refused: %s", problemOf(err).Message)
		return
	}
	for _, b := range budgets {
		if b.Pool() == s.Pool && b.Hosts() > 0 && b.Spare() <= 0 {
			r.add("planned changes that take a host out of pool %s are refused: service %s keeps %d, %d are in service; ask why service %s",
				s.Pool, b.Service(), b.MinAvailable(), b.Available(), b.Service())
		}
	}
	staying := 0
	for _, h := range v.HostsIn(s.Pool) {
		if h.Target() == "" {
			staying++
		}
	}
	if p, _ := v.Configuration().Pool(s.Pool); p.MinHosts > 0 && staying <= p.MinHosts {
		r.add("moves out of pool %s are refused: it keeps %d hosts, %d stay", s.Pool, p.MinHosts, staying)
	}
}
