package basilentry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilquery"
	"basilstage.example/basilstage/pkg/basilapi"
)

// configurationRows lists the declared parts of the newest revision known here, without token hashes.
func (e *Entry) configurationRows(context.Context, basilquery.Filter) ([][]string, error) {
	return configurationParts(e.control.View().Configuration()), nil
}

// configurationParts returns kind, name and settings of each part.
func configurationParts(c basilmodel.Configuration) [][]string {
	var rows [][]string
	for _, p := range c.Pools() {
		rows = append(rows, []string{"pool", p.Name, fmt.Sprintf("spare %s min-hosts %d", yes(p.Spare), p.MinHosts)})
	}
	for _, s := range c.Services() {
		rows = append(rows, []string{"service", s.Name, fmt.Sprintf("pool %s class %s min-available %d timeout %s",
			s.Pool, s.Class, s.MinAvailable, time.Duration(s.TimeoutMillis)*time.Millisecond)})
	}
	for _, t := range c.Teams() {
		rows = append(rows, []string{"team", t.Name, fmt.Sprintf("operator %s rate %g burst %d", yes(t.Operator), t.RatePerSecond, t.Burst)})
	}
	return rows
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// differences returns kind, name, the part before and the part after; of a token hash it tells only that it differs.
func differences(from, to basilmodel.Configuration) [][]string {
	before, after := partsByName(from), partsByName(to)
	d := from.Delta(to)
	var rows [][]string
	add := func(kind, name string) {
		row := []string{kind, name, before[kind+" "+name], after[kind+" "+name]}
		if row[2] == row[3] {
			row[3] += " token-hash changed"
		}
		rows = append(rows, row)
	}
	for _, p := range d.Pools {
		add("pool", p.Name)
	}
	addAll(add, "pool", d.RemovedPools)
	for _, s := range d.Services {
		add("service", s.Name)
	}
	addAll(add, "service", d.RemovedServices)
	for _, t := range d.Teams {
		add("team", t.Name)
	}
	addAll(add, "team", d.RemovedTeams)
	return rows
}

func addAll(add func(kind, name string), kind string, names []string) {
	for _, n := range names {
		add(kind, n)
	}
}

func partsByName(c basilmodel.Configuration) map[string]string {
	parts := make(map[string]string)
	for _, r := range configurationParts(c) {
		parts[r[0]+" "+r[1]] = r[2]
	}
	return parts
}

// differenceLines tells the differences for a command's summary.
func differenceLines(from, to basilmodel.Configuration) string {
	var s strings.Builder
	for _, r := range differences(from, to) {
		switch {
		case r[2] == "":
			fmt.Fprintf(&s, "\n  + %s %s: %s", r[0], r[1], r[3])
		case r[3] == "":
			fmt.Fprintf(&s, "\n  - %s %s: %s", r[0], r[1], r[2])
		default:
			fmt.Fprintf(&s, "\n  ~ %s %s: %s -> %s", r[0], r[1], r[2], r[3])
		}
	}
	return s.String()
}

// diffRevisions tells what differs between two revisions; 0 is the empty one.
func (e *Entry) diffRevisions(ctx context.Context, from, to int64) (basilapi.QueryAnswer, error) {
	a, err := basilconfig.Revision(ctx, e.ports.Table, from)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	b, err := basilconfig.Revision(ctx, e.ports.Table, to)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	return basilapi.QueryAnswer{Columns: []string{"kind", "name", "before", "after"}, Rows: differences(a, b)}, nil
}
