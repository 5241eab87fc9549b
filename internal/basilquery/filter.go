package basilquery

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Condition compares one cell of a row with a value.
type Condition struct{ Field, Comparison, Value string }

// Filter describes the requested rows, so that a subject can avoid reading the others.
//
// A subject may return more rows; the query then filters, sorts and truncates them.
type Filter struct {
	columns    []string
	conditions []Condition
	order      string
	descending bool
	limit      int
}

// NewFilter returns a filter without order and limit.
func NewFilter(columns []string, conditions ...Condition) Filter {
	return Filter{columns: columns, conditions: conditions}
}

// Matches reports whether the row satisfies all conditions.
func (f Filter) Matches(row []string) bool {
	for _, c := range f.conditions {
		if !satisfies(row[slices.Index(f.columns, c.Field)], c.Comparison, c.Value) {
			return false
		}
	}
	return true
}

// Enough reports whether the number of matching rows satisfies the limit. It is
// always false if the query sets an order, which needs all matching rows.
func (f Filter) Enough(rows int) bool { return f.limit > 0 && rows >= f.limit && f.order == "" }

// Bounds returns the smallest and the largest integer that the conditions allow for the field.
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

// apply filters, sorts and truncates the rows.
func (f Filter) apply(rows [][]string) [][]string {
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

// compare compares two cells numerically if both are numbers, and as text otherwise.
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

func satisfies(cell, comparison, value string) bool {
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
