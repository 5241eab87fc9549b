package basilquery_test

import (
	"context"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/internal/basilquery"
	"basilstage.example/basilstage/pkg/basilapi"
)

type fruit struct{}

func (fruit) Columns() []string { return []string{"name", "weight"} }

func (fruit) Rows(context.Context, basilquery.Filter) ([][]string, error) {
	return [][]string{{"apple", "9"}, {"melon", "10"}, {"plum", "2"}}, nil
}

func (fruit) Why(_ context.Context, name string) (basilapi.QueryAnswer, error) {
	return basilapi.QueryAnswer{Columns: []string{"why"}, Rows: [][]string{{name + " is ripe"}}}, nil
}

func TestQuery(t *testing.T) {
	var q basilquery.Queries
	q.AddSubject("fruits", fruit{})
	q.AddExplainer("fruit", fruit{})
	q.AddExplainer("refused fruit", fruit{})
	q.Diff = func(_ context.Context, from, to int64) (basilapi.QueryAnswer, error) {
		return basilapi.QueryAnswer{Rows: [][]string{{strconv.FormatInt(from, 10), strconv.FormatInt(to, 10)}}}, nil
	}
	tests := []struct {
		text    string
		rows    [][]string
		wantErr string
	}{
		{"fruits", [][]string{{"apple", "9"}, {"melon", "10"}, {"plum", "2"}}, ""},
		{`fruits where weight > 2 and name = "melon"`, [][]string{{"melon", "10"}}, ""},
		{"fruits where weight >= 9 limit 1", [][]string{{"apple", "9"}}, ""},
		{"FRUITS where name ~ l and weight != 9", [][]string{{"melon", "10"}, {"plum", "2"}}, ""},
		{"fruits order by weight", [][]string{{"plum", "2"}, {"apple", "9"}, {"melon", "10"}}, ""},
		{"fruits order by name desc limit 2", [][]string{{"plum", "2"}, {"melon", "10"}}, ""},
		{"why fruit plum", [][]string{{"plum is ripe"}}, ""},
		{"why refused fruit plum", [][]string{{"plum is ripe"}}, ""},
		{"diff 3 5", [][]string{{"3", "5"}}, ""},
		{"diff 3 x", nil, `column 8: "x" is not a whole number of at least 0`},
		{"why friut plum", nil, `column 5: unknown kind "friut"; did you mean "fruit"?`},
		{"fruits limit 0", nil, `column 14: "0" is not a whole number of at least 1`},
		{"fruits order by wieght", nil, `column 17: unknown field "wieght"; did you mean "weight"?`},
		{"friuts", nil, `column 1: unknown subject "friuts"; did you mean "fruits"?`},
		{"fruits where wieght > 2", nil, `column 14: unknown field "wieght"; did you mean "weight"?`},
		{"fruits wehre weight > 2", nil, `column 8: unexpected token "wehre"; did you mean "where"?`},
		{"", nil, `column 1: unexpected token "<EOF>"`},
		{"fruits where", nil, `column 13: unexpected token "<EOF>" (expected Condition ("and" Condition)*)`},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			a, err := q.Run(t.Context(), tt.text)
			if tt.wantErr == "" {
				must.NoError(t, err)
				must.Eq(t, tt.rows, a.Rows)
				return
			}
			must.True(t, basillanguage.IsErrSyntax(err) || basillanguage.IsErrUnknownWord(err))
			must.EqOp(t, tt.wantErr, err.Error())
		})
	}
}
