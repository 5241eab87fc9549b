package basilentry

import (
	"context"
	"strings"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilquery"
)

// auditPage is how many entries or revisions one read returns.
const auditPage = 200

// auditRows lists entries of the trail, newest first, and reads no more of it than the filter asks for.
func (e *Entry) auditRows(ctx context.Context, f basilquery.Filter) ([][]string, error) {
	head, err := e.trail.Head(ctx)
	if err != nil {
		return nil, err
	}
	low, high := f.Bounds("sequence")
	before := min(head, high) + 1
	var rows [][]string
	for matching := 0; before > max(low, 1) && !f.Enough(matching); {
		entries, err := e.trail.Before(ctx, before, int(min(auditPage, before-max(low, 1))))
		if err != nil || len(entries) == 0 {
			return rows, err
		}
		for _, x := range entries {
			rows = append(rows, auditRow(x.Record()))
			if f.Matches(rows[len(rows)-1]) {
				matching++
			}
		}
		before = entries[len(entries)-1].Sequence()
	}
	return rows, nil
}

func auditRow(r basilaudit.EntryRecord) []string {
	return []string{
		number(r.Sequence), stamp(r.At), r.Operator, r.Action, r.Subject, r.Reason, r.Command, hostChanges(r),
	}
}

// hostChanges tells the host as it was and as it is after the change.
func hostChanges(r basilaudit.EntryRecord) string {
	var all []string
	for _, hosts := range [][]basilmodel.Host{r.Before, r.Hosts} {
		for _, h := range hosts {
			all = append(all, h.ID()+":"+h.State().String()+"@"+h.Pool())
		}
	}
	return strings.Join(all, " ")
}

// revisionRows lists revisions of the configuration, newest first.
func (e *Entry) revisionRows(ctx context.Context, f basilquery.Filter) ([][]string, error) {
	current, _, err := basilconfig.Current(ctx, e.ports.Table)
	if err != nil {
		return nil, err
	}
	low, high := f.Bounds("revision")
	before := min(current.Revision(), high) + 1
	var rows [][]string
	for matching := 0; before > max(low, 1) && !f.Enough(matching); {
		deltas, err := basilconfig.RevisionsBefore(ctx, e.ports.Table, before, int(min(auditPage, before-max(low, 1))))
		if err != nil || len(deltas) == 0 {
			return rows, err
		}
		for _, d := range deltas {
			rows = append(rows, []string{number(d.Revision), d.Author, d.Reason, deltaWords(d)})
			if f.Matches(rows[len(rows)-1]) {
				matching++
			}
		}
		before = deltas[len(deltas)-1].Revision
	}
	return rows, nil
}

// deltaWords names the parts that a revision changed.
func deltaWords(d basilmodel.ConfigurationDelta) string {
	var all []string
	for _, p := range d.Pools {
		all = append(all, "put pool "+p.Name)
	}
	for _, s := range d.Services {
		all = append(all, "put service "+s.Name)
	}
	for _, t := range d.Teams {
		all = append(all, "put team "+t.Name)
	}
	for _, r := range []struct {
		kind  string
		names []string
	}{{"pool", d.RemovedPools}, {"service", d.RemovedServices}, {"team", d.RemovedTeams}} {
		for _, n := range r.names {
			all = append(all, "removed "+r.kind+" "+n)
		}
	}
	return strings.Join(all, ", ")
}
