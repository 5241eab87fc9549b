package basilquery

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Condition is what one cell of a row must hold.
type Condition struct{ Field, Comparison, Value string }

// Filter tells a subject which rows are asked for, so that it need not read the others.
//
// A subject may return more; the query drops, sorts and cuts what it gets.
type Filter struct {
	columns    []string
	conditions []Condition
	order      string
	descending bool
	limit      int
}

// NewFilter returns the filter of a query without order and limit.
func NewFilter(columns []string, conditions ...Condition) Filter {
	return Filter{columns: columns, conditions: conditions}
}

// Matches tells whether the row meets all conditions.
func (f Filter) Matches(row []string) bool {
	for _, c := range f.conditions {
		if !holds(row[slices.Index(f.columns, c.Field)], c.Comparison, c.Value) {
			return false
		}
	}
	return true
}

// Enough tells whether so many matching rows are all that is asked for, when they come in the subject's own order.
func (f Filter) Enough(rows int) bool { return f.limit > 0 && rows >= f.limit && f.order == "" }

// Bounds returns the least and the greatest whole number that the conditions allow the field.
func (f Filter) Bounds(field string) (low, high int64) {
	low, high = math.MinInt64, math.MaxInt64
	for _, c := range f.conditions {
		n, err := strconv.ParseInt(c.Value, 10, 64)
		if c.Field != field || err != nil {
			continue
		}
		switch c.Comparison {
		case "=":
			low, high = max(low, n), min(high, n)
		case ">":
			low = max(low, n+1)
		case ">=":
			low = max(low, n)
		case "<":
			high = min(high, n-1)
		case "<=":
			high = min(high, n)
		}
	}
	return low, high
}

// finish drops, sorts and cuts the rows.
func (f Filter) finish(rows [][]string) [][]string {
	kept := make([][]string, 0, len(rows))
	for _, r := range rows {
		if f.Matches(r) {
			kept = append(kept, r)
		}
	}
	if f.order != "" {
		f.sort(kept)
	}
	if f.limit > 0 && len(kept) > f.limit {
		kept = kept[:f.limit]
	}
	return kept
}

func (f Filter) sort(rows [][]string) {
	n := slices.Index(f.columns, f.order)
	slices.SortStableFunc(rows, func(a, b []string) int {
		if f.descending {
			return compare(b[n], a[n])
		}
		return compare(a[n], b[n])
	})
}

// compare compares numbers as numbers and all else as text.
func compare(a, b string) int {
	x, errA := strconv.ParseFloat(a, 64)
	y, errB := strconv.ParseFloat(b, 64)
	switch {
	case errA != nil || errB != nil:
		return strings.Compare(a, b)
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

func holds(cell, comparison, value string) bool {
	order := compare(cell, value)
	switch comparison {
	case "~":
		return strings.Contains(cell, value)
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
