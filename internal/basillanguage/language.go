package basillanguage

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

// suggestLimit is the most edits at which a word counts as near.
const suggestLimit = 3

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comparison", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.:/-]*`},
	{Name: "Comma", Pattern: `,`},
	{Name: "whitespace", Pattern: `\s+`},
})

// NewParser returns a parser of the grammar G over the language's tokens.
func NewParser[G any](o ...participle.Option) *participle.Parser[G] {
	all := append([]participle.Option{participle.Lexer(tokens), participle.Unquote("String"), participle.CaseInsensitive("Word")}, o...)
	return participle.MustBuild[G](all...)
}

// Parse reads the text; it fails with ErrSyntax.
func Parse[G any](p *participle.Parser[G], text string, known []string) (*G, error) {
	parsed, err := p.ParseString("", text)
	if err == nil {
		return parsed, nil
	}
	e := ErrSyntax{Text: text, Detail: err.Error()}
	var at participle.Error
	if errors.As(err, &at) {
		e.Column = at.Position().Column
		e.Detail = at.Message()
		e.Near = wordAt(text, at.Position().Offset)
		e.Suggestion = Nearest(e.Near, known)
	}
	return nil, errors.WithStack(e)
}

// Word is one word of a sentence and its place.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word|String)"`
}

// Unknown returns the ErrUnknownWord for a word that is none of the known ones.
func (w Word) Unknown(kind string, known []string) error {
	return errors.WithStack(ErrUnknownWord{
		Kind: kind, Word: w.Text, Column: w.Pos.Column, Suggestion: Nearest(w.Text, known),
	})
}

// Wrong returns the ErrSyntax for a word that can't stand where it does.
func (w Word) Wrong(detail string) error {
	return errors.WithStack(ErrSyntax{Column: w.Pos.Column, Near: w.Text, Detail: detail})
}

// Int returns the word as a whole number of at least the least one; it fails with ErrSyntax.
func (w Word) Int(least int64) (int64, error) {
	n, err := strconv.ParseInt(w.Text, 10, 64)
	if err != nil || n < least {
		return 0, w.Wrong(fmt.Sprintf("%q is not a whole number of at least %d", w.Text, least))
	}
	return n, nil
}

func wordAt(text string, offset int) string {
	if offset >= len(text) {
		return ""
	}
	word, _, _ := strings.Cut(text[offset:], " ")
	return word
}

// Nearest returns the known word that is most like the given one, or "" when none is near.
func Nearest(word string, known []string) string {
	nearest := ""
	least := suggestLimit + 1
	for _, k := range known {
		d := levenshtein.ComputeDistance(strings.ToLower(word), k)
		if d < least && d < len(k) {
			nearest = k
			least = d
		}
	}
	return nearest
}
