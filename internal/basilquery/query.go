package basilquery

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Subject is one kind of thing that operators ask for.
type Subject interface {
	// Columns names the cells of a row.
	Columns() []string
	// Rows returns all rows.
	Rows(ctx context.Context) ([][]string, error)
}

// Explainer tells why one thing of a kind is as it is.
type Explainer interface {
	Why(ctx context.Context, name string) (basilapi.QueryAnswer, error)
}

// Queries answers questions about its subjects; its zero value knows none.
type Queries struct {
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

// AddExplainer lets operators ask why about the kind.
func (q *Queries) AddExplainer(kind string, e Explainer) {
	if q.explainers == nil {
		q.explainers = make(map[string]Explainer)
	}
	q.explainers[kind] = e
}

// Run answers one question; it fails with basillanguage.ErrSyntax, basillanguage.ErrUnknownWord or the subject's error.
func (q *Queries) Run(ctx context.Context, text string) (basilapi.QueryAnswer, error) {
	known := slices.Sorted(maps.Keys(q.subjects))
	parsed, err := basillanguage.Parse(parser, text, append(known, "where", "and", "limit", "why"))
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	if parsed.Why != nil {
		return q.why(ctx, parsed.Why)
	}
	return q.list(ctx, parsed.List)
}

func (q *Queries) why(ctx context.Context, w *why) (basilapi.QueryAnswer, error) {
	e, ok := q.explainers[strings.ToLower(w.Kind)]
	if !ok {
		return basilapi.QueryAnswer{}, unknown("kind", w.Kind, slices.Sorted(maps.Keys(q.explainers)))
	}
	return e.Why(ctx, w.Name)
}

func (q *Queries) list(ctx context.Context, l *list) (basilapi.QueryAnswer, error) {
	s, ok := q.subjects[strings.ToLower(l.Subject)]
	if !ok {
		return basilapi.QueryAnswer{}, unknown("subject", l.Subject, slices.Sorted(maps.Keys(q.subjects)))
	}
	columns := s.Columns()
	for _, c := range l.Conditions {
		if !slices.Contains(columns, strings.ToLower(c.Field)) {
			return basilapi.QueryAnswer{}, unknown("field", c.Field, columns)
		}
	}
	rows, err := s.Rows(ctx)
	if err != nil {
		return basilapi.QueryAnswer{}, err
	}
	kept := rows[:0]
	for _, r := range rows {
		if matches(columns, r, l.Conditions) {
			kept = append(kept, r)
		}
	}
	if l.Limit > 0 && len(kept) > l.Limit {
		kept = kept[:l.Limit]
	}
	return basilapi.QueryAnswer{Columns: columns, Rows: kept}, nil
}

func unknown(kind, word string, known []string) error {
	return errors.WithStack(basillanguage.ErrUnknownWord{
		Kind: kind, Word: word, Suggestion: basillanguage.Nearest(word, known),
	})
}

func matches(columns, row []string, conditions []condition) bool {
	for _, c := range conditions {
		cell := row[slices.Index(columns, strings.ToLower(c.Field))]
		if !holds(cell, c.Comparison, c.Value) {
			return false
		}
	}
	return true
}

// holds compares numbers as numbers and all else as text.
func holds(cell, comparison, value string) bool {
	if comparison == "~" {
		return strings.Contains(cell, value)
	}
	order := strings.Compare(cell, value)
	a, errA := strconv.ParseFloat(cell, 64)
	b, errB := strconv.ParseFloat(value, 64)
	if errA == nil && errB == nil {
		order = compareNumbers(a, b)
	}
	switch comparison {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

func compareNumbers(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
