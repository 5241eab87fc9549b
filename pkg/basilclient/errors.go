package basilclient

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrNoAnswer says that no entry host gave an answer; what was asked for may have been done.
type ErrNoAnswer struct {
	Path  string
	Cause error
}

func (e ErrNoAnswer) Error() string {
	return fmt.Sprintf("no answer from any entry host [path: %s, cause: %v]", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e ErrNoAnswer) Unwrap() error { return e.Cause }

// IsErrNoAnswer tells whether the error is an ErrNoAnswer.
func IsErrNoAnswer(err error) bool { return errors.As(err, new(ErrNoAnswer)) }

// ErrAnswerMalformed says that an entry host's answer can't be read.
type ErrAnswerMalformed struct {
	Path   string
	Status int
}

func (e ErrAnswerMalformed) Error() string {
	return fmt.Sprintf("answer can't be read [path: %s, status: %d]", e.Path, e.Status)
}

// IsErrAnswerMalformed tells whether the error is an ErrAnswerMalformed.
func IsErrAnswerMalformed(err error) bool { return errors.As(err, new(ErrAnswerMalformed)) }
