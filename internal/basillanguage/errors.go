package basillanguage

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrSyntax says where a text leaves the language.
type ErrSyntax struct {
	Text       string
	Column     int // from 1
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

// IsErrSyntax tells whether the error is an ErrSyntax.
func IsErrSyntax(err error) bool { return errors.As(err, new(ErrSyntax)) }

// ErrUnknownWord says that a name stands where only known ones may.
type ErrUnknownWord struct {
	Kind       string // what the word should name
	Word       string
	Column     int // from 1; 0 when the place is not known
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

// IsErrUnknownWord tells whether the error is an ErrUnknownWord.
func IsErrUnknownWord(err error) bool { return errors.As(err, new(ErrUnknownWord)) }
