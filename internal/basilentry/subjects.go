package basilentry

import (
	"context"
	"strconv"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilquery"
	"basilstage.example/basilstage/pkg/basilapi"
)

// subject lists one kind of thing.
type subject struct {
	columns []string
	rows    func(ctx context.Context, f basilquery.Filter) ([][]string, error)
}

// Columns names the cells of a row.
func (s subject) Columns() []string { return s.columns }

// Rows returns at least the rows that the filter asks for.
func (s subject) Rows(ctx context.Context, f basilquery.Filter) ([][]string, error) {
	return s.rows(ctx, f)
}

// explainer tells why one thing is as it is.
type explainer func(ctx context.Context, name string) (basilapi.QueryAnswer, error)

// Why tells why the named thing is as it is.
func (x explainer) Why(ctx context.Context, name string) (basilapi.QueryAnswer, error) {
	return x(ctx, name)
}

func newQueries(e *Entry) *basilquery.Queries {
	q := &basilquery.Queries{Diff: e.diffRevisions}
	for name, s := range e.subjects() {
		q.AddSubject(name, s)
	}
	for kind, x := range map[string]explainer{
		"host": e.whyHost, "job": e.whyJob, "wave": e.whyWave, "service": e.whyService, "member": e.whyMember,
		"refused service": e.whyRefused,
	} {
		q.AddExplainer(kind, x)
	}
	return q
}

func (e *Entry) subjects() map[string]subject {
	return map[string]subject{
		"hosts": {
			[]string{"host", "data_centre", "rack", "pool", "target", "state", "epoch", "cause", "wave", "address"}, e.hostRows,
		},
		"moves":    {[]string{"host", "pool", "target", "state", "wave", "operator", "since", "waits_for"}, e.moveRows},
		"pools":    {[]string{"pool", "spare", "hosts", "active", "out", "min_hosts"}, e.poolRows},
		"services": {[]string{"service", "pool", "class", "min_available", "hosts", "available", "spare"}, e.serviceRows},
		"members":  {[]string{"member", "data_centre", "incarnation", "http", "applied", "revision", "gone"}, e.memberRows},
		"peers":    {[]string{"peer", "data_centre", "connected", "bytes_in", "bytes_out"}, e.peerRows},
		"waves":    {[]string{"wave", "state", "done", "busy", "pending", "failed", "reason"}, e.waveRows},
		"jobs": {
			[]string{"job", "service", "state", "outcome", "attempt", "host", "data_centre", "minted", "ended", "reason"}, e.jobRows,
		},
		"configuration": {[]string{"kind", "name", "settings"}, e.configurationRows},
		"revisions":     {[]string{"revision", "author", "reason", "changes"}, e.revisionRows},
		"audit": {
			[]string{"sequence", "at", "operator", "action", "subject", "reason", "command", "hosts"}, e.auditRows,
		},
	}
}

func number[T int | int64](n T) string { return strconv.FormatInt(int64(n), 10) }

func stamp(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}

func (e *Entry) hostRows(context.Context, basilquery.Filter) ([][]string, error) {
	var rows [][]string
	for _, h := range e.control.View().Hosts() {
		rows = append(rows, []string{
			h.ID(), h.DataCentre(), h.Rack(), h.Pool(), h.Target(), h.State().String(), number(h.Epoch()),
			h.Cause().String(), h.Wave(), h.Address(),
		})
	}
	return rows, nil
}

// moveRows lists the hosts that are out on purpose.
func (e *Entry) moveRows(context.Context, basilquery.Filter) ([][]string, error) {
	v := e.control.View()
	var rows [][]string
	for _, h := range v.Hosts() {
		if h.InService() || h.State() == basilmodel.HostStateFailed {
			continue
		}
		rows = append(rows, []string{
			h.ID(), h.Pool(), h.Target(), h.State().String(), h.Wave(), h.Operator(), stamp(h.Since()), waitsFor(v, h),
		})
	}
	return rows, nil
}

func (e *Entry) poolRows(context.Context, basilquery.Filter) ([][]string, error) {
	v := e.control.View()
	var rows [][]string
	for _, p := range v.Configuration().Pools() {
		hosts := v.HostsIn(p.Name)
		active := 0
		for _, h := range hosts {
			if h.InService() {
				active++
			}
		}
		rows = append(rows, []string{
			p.Name, strconv.FormatBool(p.Spare), number(len(hosts)), number(active), number(len(hosts) - active), number(p.MinHosts),
		})
	}
	return rows, nil
}

func (e *Entry) serviceRows(ctx context.Context, _ basilquery.Filter) ([][]string, error) {
	budgets, err := e.pools.Budgets(ctx)
	if err != nil {
		return nil, err
	}
	c := e.control.View().Configuration()
	var rows [][]string
	for _, b := range budgets {
		s, _ := c.Service(b.Service())
		rows = append(rows, []string{
			b.Service(), b.Pool(), s.Class.String(), number(b.MinAvailable()), number(b.Hosts()), number(b.Available()), number(b.Spare()),
		})
	}
	return rows, nil
}

func (e *Entry) memberRows(context.Context, basilquery.Filter) ([][]string, error) {
	v := e.control.View()
	var rows [][]string
	for _, m := range v.Members() {
		r := m.Record()
		rows = append(rows, []string{
			r.ID, r.DataCentre, r.Incarnation.String(), r.HTTP, number(r.Applied), number(r.Revision),
			strconv.FormatBool(v.Gone(r.Incarnation)),
		})
	}
	return rows, nil
}

func (e *Entry) peerRows(context.Context, basilquery.Filter) ([][]string, error) {
	var rows [][]string
	for _, s := range e.mesh.Status() {
		rows = append(rows, []string{
			s.Peer.ID, s.Peer.DataCentre, strconv.FormatBool(s.Connected),
			strconv.FormatUint(s.BytesIn, 10), strconv.FormatUint(s.BytesOut, 10),
		})
	}
	return rows, nil
}

func (e *Entry) waveRows(ctx context.Context, _ basilquery.Filter) ([][]string, error) {
	waves, err := e.waves.List(ctx)
	if err != nil {
		return nil, err
	}
	var rows [][]string
	for _, w := range waves {
		g := e.progress(waves, w)
		rows = append(rows, []string{
			w.Name(), w.State().String(), number(g.Done), number(g.Busy), number(g.Pending), number(g.Failed), w.Reason(),
		})
	}
	return rows, nil
}
