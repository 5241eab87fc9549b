package basilquery

import (
	"context"
	"maps"
	"slices"
	"strings"

	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Subject is a kind of object that operators can list.
type Subject interface {
	// Columns returns the column names, in the order of the cells of a row.
	Columns() []string
	// Rows returns at least the rows that match the filter.
	Rows(ctx context.Context, f Filter) ([][]string, error)
}

// Explainer explains the state of one object of a kind.
type Explainer interface {
	Why(ctx context.Context, name string) (basilapi.QueryAnswer, error)
}

// Differ returns the differences between two revisions of the configuration.
type Differ func(ctx context.Context, from, to int64) (basilapi.QueryAnswer, error)

// Queries executes queries on registered subjects. The zero value has no subjects.
type Queries struct {
	Diff       Differ // nil if diff queries are not supported
	subjects   map[string]Subject
	explainers map[string]Explainer
}

// AddSubject registers a subject under the name by which operators list it.
func (q *Queries) AddSubject(name string, s Subject) {
	if q.subjects == nil {
		q.subjects = make(map[string]Subject)
	}
	q.subjects[name] = s
}

// AddExplainer registers the explainer for "why" queries on the kind. The kind may have the prefix "refused ".
func (q *Queries) AddExplainer(kind string, e Explainer) {
	if q.explainers == nil {
		q.explainers = make(map[string]Explainer)
	}
	q.explainers[kind] = e
}

// Run parses and executes one query; it fails with basillanguage.ErrSyntax, basillanguage.ErrUnknownWord or the subject's error.
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
	f, err := parseFilter(s.Columns(), l)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	rows, err := s.Rows(ctx, f)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	return basilapi.QueryAnswer{Columns: f.columns, Rows: f.apply(rows)}, nil
}

func parseFilter(columns []string, l *list) (Filter, error) {
	f := Filter{columns: columns}
	for _, c := range l.Conditions {
		name, err := columnName(columns, c.Field)
		if err != nil {
			return f, err
		}
		f.conditions = append(f.conditions, Condition{Field: name, Comparison: c.Comparison, Value: c.Value.Text})
	}
	if l.Order != nil {
		name, err := columnName(columns, l.Order.Field)
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

func columnName(columns []string, w basillanguage.Word) (string, error) {
	name := strings.ToLower(w.Text)
	if !slices.Contains(columns, name) {
		return "", w.Unknown("field", columns)
	}
	return name, nil
}
