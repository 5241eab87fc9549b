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

// maxSuggestionDistance is the highest edit distance at which a known word is suggested.
const maxSuggestionDistance = 3

var languageLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comparison", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.:/-]*`},
	{Name: "Comma", Pattern: `,`},
	{Name: "whitespace", Pattern: `\s+`},
})

// NewParser returns a parser for the grammar G that uses the shared lexer.
func NewParser[G any](o ...participle.Option) *participle.Parser[G] {
	all := append([]participle.Option{participle.Lexer(languageLexer), participle.Unquote("String"), participle.CaseInsensitive("Word")}, o...)
	return participle.MustBuild[G](all...)
}

// Parse parses the text; it fails with ErrSyntax, which suggests one of the known words if one is close.
func Parse[G any](p *participle.Parser[G], text string, known []string) (*G, error) {
	parsed, err := p.ParseString("", text)
	if err == nil {
		return parsed, nil
	}
	e := ErrSyntax{Text: text, Detail: err.Error()}
	var parseErr participle.Error
	if errors.As(err, &parseErr) {
		e.Column = parseErr.Position().Column
		e.Detail = parseErr.Message()
		e.Near = wordAt(text, parseErr.Position().Offset)
		e.Suggestion = Nearest(e.Near, known)
	}
	return nil, errors.WithStack(e)
}

// Word is a word or quoted string and its position in the text.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word|String)"`
}

// Unknown returns an ErrUnknownWord for a word that is not one of the known words.
func (w Word) Unknown(kind string, known []string) error {
	return errors.WithStack(ErrUnknownWord{
		Kind: kind, Word: w.Text, Column: w.Pos.Column, Suggestion: Nearest(w.Text, known),
	})
}

// Invalid returns an ErrSyntax for a word that is invalid at its position.
func (w Word) Invalid(detail string) error {
	return errors.WithStack(ErrSyntax{Column: w.Pos.Column, Near: w.Text, Detail: detail})
}

// Int parses the word as an integer not below minimum; it fails with ErrSyntax.
func (w Word) Int(minimum int64) (int64, error) {
	n, err := strconv.ParseInt(w.Text, 10, 64)
	if err != nil || n < minimum {
		return 0, w.Invalid(fmt.Sprintf("%q is not a whole number of at least %d", w.Text, minimum))
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

// Nearest returns the known word with the smallest edit distance to the given one, or "" when none is close enough.
func Nearest(word string, known []string) string {
	nearest := ""
	distance := maxSuggestionDistance + 1
	for _, k := range known {
		d := levenshtein.ComputeDistance(strings.ToLower(word), k)
		if d < distance && d < len(k) {
			nearest = k
			distance = d
		}
	}
	return nearest
}
