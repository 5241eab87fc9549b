package basilentry

import (
	"context"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/pkg/basilapi"
)

// whyJob tells what became of the job and, of a long one, what it waits for.
func (e *Entry) whyJob(ctx context.Context, name string) (basilapi.QueryAnswer, error) {
	id, err := basilapi.ParseJobID(name)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	r := &reasons{}
	r.add("minted at %s in %s by incarnation %s%s", stamp(ulid.Time(id.Serial().Time())), id.DataCentre(), id.Incarnation(), e.whoIs(id.Incarnation()))
	long, err := e.longJob(ctx, id)
	if err == nil {
		e.tellLong(r, long)
		return r.answer()
	}
	if !basiljob.IsErrJobNotExist(err) {
		r.add("the table does not tell whether it is a long job: %s", problemOf(err).Message)
	}
	a, err := e.jobs.Get(ctx, id, 0)
	if err != nil {
		p := problemOf(err)
		r.add("outcome %s (%s): %s", p.Outcome, p.Code, p.Message)
		if p.Hint != "" {
			r.add("what to do: %s", p.Hint)
		}
		return r.answer()
	}
	r.add("outcome %s", a.Outcome)
	if a.Attempt > 0 {
		r.add("attempt %d", a.Attempt)
	}
	if a.Reason != "" {
		r.add("reason: %s", a.Reason)
	}
	return r.answer()
}

// whoIs names the member that runs as the incarnation.
func (e *Entry) whoIs(incarnation ulid.ULID) string {
	v := e.control.View()
	for _, m := range v.Members() {
		if m.Incarnation() == incarnation && !v.Gone(incarnation) {
			return ", now entry host " + m.ID()
		}
	}
	return ", which is gone"
}

func (e *Entry) tellLong(r *reasons, j basiljob.LongJobRecord) {
	r.add("long job of service %s: %s, outcome %s", j.Service, j.State, j.Outcome)
	if j.Reason != "" {
		r.add("reason: %s", j.Reason)
	}
	if j.Attempt > 0 {
		r.add("attempt %d on host %s%s", j.Attempt, j.Host, e.hostNow(j.Host))
	}
	if len(j.FailedOn) > 0 {
		r.add("attempts failed on %s", strings.Join(j.FailedOn, ", "))
	}
	if j.Refusals > 0 {
		r.add("hosts refused %d attempts", j.Refusals)
	}
	if j.State != basilapi.JobStateAccepted && j.State != basilapi.JobStateStarted {
		return
	}
	r.add("run by incarnation %s%s, for data centre %s", j.Owner, e.whoIs(j.Owner), j.DataCentre)
	if j.State == basilapi.JobStateAccepted {
		e.tellPlaces(r, j)
	}
}

func (e *Entry) hostNow(host string) string {
	h, ok := e.control.View().Host(host)
	if !ok {
		return ", which is no longer in the fleet"
	}
	return ", which is " + h.State().String()
}

// tellPlaces tells whether there is a host that could take the job.
func (e *Entry) tellPlaces(r *reasons, j basiljob.LongJobRecord) {
	v := e.control.View()
	s, ok := v.Configuration().Service(j.Service)
	if !ok {
		r.add("waits for: service %s to be declared again", j.Service)
		return
	}
	usable := v.Usable(s.Pool, e.settings.DataCentre(), time.Now())
	if len(usable) == 0 {
		r.add("waits for: a usable host in pool %s, of %d", s.Pool, len(v.HostsIn(s.Pool)))
		return
	}
	r.add("waits for: room on one of the %d usable hosts of pool %s", len(usable), s.Pool)
}
