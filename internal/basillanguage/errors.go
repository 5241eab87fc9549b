package basillanguage

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrSyntax reports where and why a text could not be parsed.
type ErrSyntax struct {
	Text       string
	Column     int // starts at 1
	Near       string
	Detail     string
	Suggestion string
}

func (e ErrSyntax) Error() string {
	s := fmt.Sprintf("column %d: %s", e.Column, e.Detail)
	if e.Suggestion != "" && e.Suggestion != e.Near {
		s += fmt.Sprintf("; did you mean %q?", e.Suggestion)
	}
	return s
}

// IsErrSyntax reports whether the error is an ErrSyntax.
func IsErrSyntax(err error) bool { return errors.As(err, new(ErrSyntax)) }

// ErrUnknownWord reports a name that is not one of the valid names at its position.
type ErrUnknownWord struct {
	Kind       string // what the word was expected to name
	Word       string
	Column     int // starts at 1; 0 when the position is unknown
	Suggestion string
}

func (e ErrUnknownWord) Error() string {
	s := fmt.Sprintf("unknown %s %q", e.Kind, e.Word)
	if e.Column > 0 {
		s = fmt.Sprintf("column %d: %s", e.Column, s)
	}
	if e.Suggestion != "" {
		s += fmt.Sprintf("; did you mean %q?", e.Suggestion)
	}
	return s
}

// IsErrUnknownWord reports whether the error is an ErrUnknownWord.
func IsErrUnknownWord(err error) bool { return errors.As(err, new(ErrUnknownWord)) }
