package basilquery

import (
	"context"
	"maps"
	"slices"
	"strings"

	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Subject is one kind of thing that operators ask for.
type Subject interface {
	// Columns names the cells of a row.
	Columns() []string
	// Rows returns at least the rows that the filter asks for.
	Rows(ctx context.Context, f Filter) ([][]string, error)
}

// Explainer tells why one thing of a kind is as it is.
type Explainer interface {
	Why(ctx context.Context, name string) (basilapi.QueryAnswer, error)
}

// Differ tells what differs between two revisions of the configuration.
type Differ func(ctx context.Context, from, to int64) (basilapi.QueryAnswer, error)

// Queries answers questions about its subjects; its zero value knows none.
type Queries struct {
	Diff       Differ // nil knows no revisions
	subjects   map[string]Subject
	explainers map[string]Explainer
}

// AddSubject lets operators list the subject under the name.
func (q *Queries) AddSubject(name string, s Subject) {
	if q.subjects == nil {
		q.subjects = make(map[string]Subject)
	}
	q.subjects[name] = s
}

// AddExplainer lets operators ask why about the kind, which may begin with "refused ".
func (q *Queries) AddExplainer(kind string, e Explainer) {
	if q.explainers == nil {
		q.explainers = make(map[string]Explainer)
	}
	q.explainers[kind] = e
}

// Run answers one question; it fails with basillanguage.ErrSyntax, basillanguage.ErrUnknownWord or the subject's error.
func (q *Queries) Run(ctx context.Context, text string) (basilapi.QueryAnswer, error) {
	known := slices.Sorted(maps.Keys(q.subjects))
	parsed, err := basillanguage.Parse(parser, text, append(known, keywords...))
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	switch {
	case parsed.Why != nil:
		return q.why(ctx, parsed.Why)
	case parsed.Diff != nil && q.Diff != nil:
		return q.diff(ctx, parsed.Diff)
	case parsed.List != nil:
		return q.list(ctx, parsed.List)
	}
	return basilapi.QueryAnswer{}, basillanguage.Word{Text: text}.Unknown("subject", known)
}

func (q *Queries) why(ctx context.Context, w *why) (basilapi.QueryAnswer, error) {
	prefix := ""
	if w.Refused {
		prefix = "refused "
	}
	var known []string
	for k := range q.explainers {
		rest, ok := strings.CutPrefix(k, prefix)
		if ok && !strings.Contains(rest, " ") {
			known = append(known, rest)
		}
	}
	e, ok := q.explainers[prefix+strings.ToLower(w.Kind.Text)]
	if !ok {
		slices.Sort(known)
		return basilapi.QueryAnswer{}, w.Kind.Unknown("kind", known)
	}
	return e.Why(ctx, w.Name.Text)
}

func (q *Queries) diff(ctx context.Context, d *diff) (basilapi.QueryAnswer, error) {
	from, err := d.From.Int(0)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	to, err := d.To.Int(0)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	return q.Diff(ctx, from, to)
}

func (q *Queries) list(ctx context.Context, l *list) (basilapi.QueryAnswer, error) {
	s, ok := q.subjects[strings.ToLower(l.Subject.Text)]
	if !ok {
		return basilapi.QueryAnswer{}, l.Subject.Unknown("subject", slices.Sorted(maps.Keys(q.subjects)))
	}
	f, err := filterOf(s.Columns(), l)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	rows, err := s.Rows(ctx, f)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	return basilapi.QueryAnswer{Columns: f.columns, Rows: f.finish(rows)}, nil
}

func filterOf(columns []string, l *list) (Filter, error) {
	f := Filter{columns: columns}
	for _, c := range l.Conditions {
		name, err := field(columns, c.Field)
		if err != nil {
			return f, err
		}
		f.conditions = append(f.conditions, Condition{Field: name, Comparison: c.Comparison, Value: c.Value.Text})
	}
	if l.Order != nil {
		name, err := field(columns, l.Order.Field)
		if err != nil {
			return f, err
		}
		f.order = name
		f.descending = l.Order.Descending
	}
	if l.Limit != nil {
		n, err := l.Limit.Int(1)
		if err != nil {
			return f, err
		}
		f.limit = int(n)
	}
	return f, nil
}

func field(columns []string, w basillanguage.Word) (string, error) {
	name := strings.ToLower(w.Text)
	if !slices.Contains(columns, name) {
		return "", w.Unknown("field", columns)
	}
	return name, nil
}
