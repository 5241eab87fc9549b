package cmd

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrCommandUnknown says that it is not known whether a command was carried out, and how to find out.
type ErrCommandUnknown struct {
	Again string // the line that gives the command again with the same id
	Cause error
}

func (e ErrCommandUnknown) Error() string {
	return fmt.Sprintf("unknown, ask with: %s\n  %s", e.Again, explain(e.Cause))
}

// Unwrap returns the cause.
func (e ErrCommandUnknown) Unwrap() error { return e.Cause }

// IsErrCommandUnknown tells whether the error is an ErrCommandUnknown.
func IsErrCommandUnknown(err error) bool { return errors.As(err, new(ErrCommandUnknown)) }

// ErrCommandRefused says that a command changed nothing, and why.
type ErrCommandRefused struct {
	ID    string
	Text  string // of the command
	Cause error
}

func (e ErrCommandRefused) Error() string {
	return fmt.Sprintf("command %s refused because %s%s", e.ID, reason(e.Cause), pointer(e.Text, e.Cause))
}

// Unwrap returns the cause.
func (e ErrCommandRefused) Unwrap() error { return e.Cause }

// IsErrCommandRefused tells whether the error is an ErrCommandRefused.
func IsErrCommandRefused(err error) bool { return errors.As(err, new(ErrCommandRefused)) }

// ErrQueryMistaken says that a query can't be read, and where.
type ErrQueryMistaken struct {
	Text  string
	Cause error
}

func (e ErrQueryMistaken) Error() string { return explain(e.Cause) + pointer(e.Text, e.Cause) }

// Unwrap returns the cause.
func (e ErrQueryMistaken) Unwrap() error { return e.Cause }

// IsErrQueryMistaken tells whether the error is an ErrQueryMistaken.
func IsErrQueryMistaken(err error) bool { return errors.As(err, new(ErrQueryMistaken)) }

// ErrUsage says that a flag or argument can't be used as it was given.
type ErrUsage struct{ Detail string }

func (e ErrUsage) Error() string { return e.Detail }

// IsErrUsage tells whether the error is an ErrUsage.
func IsErrUsage(err error) bool { return errors.As(err, new(ErrUsage)) }
