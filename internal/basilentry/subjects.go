package basilentry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilquery"
	"basilstage.example/basilstage/pkg/basilapi"
)

// subject lists one kind of thing.
type subject struct {
	columns []string
	rows    func(ctx context.Context) ([][]string, error)
}

// Columns names the cells of a row.
func (s subject) Columns() []string { return s.columns }

// Rows returns all rows.
func (s subject) Rows(ctx context.Context) ([][]string, error) { return s.rows(ctx) }

// explainer tells why one thing is as it is.
type explainer func(ctx context.Context, name string) (basilapi.QueryAnswer, error)

// Why tells why the named thing is as it is.
func (x explainer) Why(ctx context.Context, name string) (basilapi.QueryAnswer, error) {
	return x(ctx, name)
}

func newQueries(e *Entry) *basilquery.Queries {
	q := &basilquery.Queries{}
	q.AddSubject("hosts", subject{
		columns: []string{"host", "data_centre", "rack", "pool", "target", "state", "epoch", "cause", "wave", "address"},
		rows:    e.hostRows,
	})
	q.AddSubject("pools", subject{columns: []string{"pool", "spare", "hosts", "active", "out"}, rows: e.poolRows})
	q.AddSubject("services", subject{
		columns: []string{"service", "pool", "class", "min_available", "hosts", "available", "spare"},
		rows:    e.serviceRows,
	})
	q.AddSubject("members", subject{
		columns: []string{"member", "data_centre", "incarnation", "http", "applied", "revision", "gone"},
		rows:    e.memberRows,
	})
	q.AddSubject("peers", subject{columns: []string{"peer", "data_centre", "connected", "bytes_in", "bytes_out"}, rows: e.peerRows})
	q.AddSubject("waves", subject{columns: []string{"wave", "state", "reason"}, rows: e.waveRows})
	q.AddSubject("audit", subject{
		columns: []string{"sequence", "at", "operator", "action", "subject", "reason", "command", "hosts"},
		rows:    e.auditRows,
	})
	q.AddExplainer("host", explainer(e.whyHost))
	return q
}

func number[T int | int64](n T) string { return strconv.FormatInt(int64(n), 10) }

func (e *Entry) hostRows(context.Context) ([][]string, error) {
	var rows [][]string
	for _, h := range e.control.View().Hosts() {
		rows = append(rows, []string{
			h.ID(), h.DataCentre(), h.Rack(), h.Pool(), h.Target(), h.State().String(), number(h.Epoch()),
			h.Cause().String(), h.Wave(), h.Address(),
		})
	}
	return rows, nil
}

func (e *Entry) poolRows(context.Context) ([][]string, error) {
	v := e.control.View()
	var rows [][]string
	for _, p := range v.Configuration().Pools() {
		hosts := v.HostsIn(p.Name)
		active := 0
		for _, h := range hosts {
			if h.State() == basilmodel.HostStateActive {
				active++
			}
		}
		rows = append(rows, []string{p.Name, strconv.FormatBool(p.Spare), number(len(hosts)), number(active), number(len(hosts) - active)})
	}
	return rows, nil
}

func (e *Entry) serviceRows(ctx context.Context) ([][]string, error) {
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

func (e *Entry) memberRows(context.Context) ([][]string, error) {
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

func (e *Entry) peerRows(context.Context) ([][]string, error) {
	var rows [][]string
	for _, s := range e.mesh.Status() {
		rows = append(rows, []string{
			s.Peer.ID, s.Peer.DataCentre, strconv.FormatBool(s.Connected),
			strconv.FormatUint(s.BytesIn, 10), strconv.FormatUint(s.BytesOut, 10),
		})
	}
	return rows, nil
}

func (e *Entry) waveRows(ctx context.Context) ([][]string, error) {
	waves, err := e.waves.List(ctx)
	if err != nil {
		return nil, err
	}
	var rows [][]string
	for _, w := range waves {
		rows = append(rows, []string{w.Name(), w.State().String(), w.Record().Reason})
	}
	return rows, nil
}

// auditPage is how many entries one read of the trail returns.
const auditPage = 500

func (e *Entry) auditRows(ctx context.Context) ([][]string, error) {
	var rows [][]string
	var after int64
	for {
		entries, err := e.trail.After(ctx, after, auditPage)
		if err != nil {
			return nil, err
		}
		for _, x := range entries {
			r := x.Record()
			var hosts []string
			for _, h := range append(r.Before, r.Hosts...) {
				hosts = append(hosts, h.ID()+":"+h.State().String())
			}
			rows = append(rows, []string{
				number(r.Sequence), r.At.Format(time.RFC3339), r.Operator, r.Action, r.Subject, r.Reason, r.Command, strings.Join(hosts, " "),
			})
			after = r.Sequence
		}
		if len(entries) < auditPage {
			return rows, nil
		}
	}
}
