package basilapi

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrJobIDMalformed says that a text is no job id.
type ErrJobIDMalformed struct{ Text string }

func (e ErrJobIDMalformed) Error() string {
	return fmt.Sprintf("job id is malformed [text: %.80q]", e.Text)
}

// IsErrJobIDMalformed tells whether the error is an ErrJobIDMalformed.
func IsErrJobIDMalformed(err error) bool { return errors.As(err, new(ErrJobIDMalformed)) }

// ErrProblem is the final, typed answer to a request that was not served.
type ErrProblem struct{ Problem Problem }

func (e ErrProblem) Error() string {
	return fmt.Sprintf("%s [outcome: %s, message: %s, retry after: %s]",
		e.Problem.Code, e.Problem.Outcome, e.Problem.Message, e.Problem.RetryAfter())
}

// IsErrProblem tells whether the error is an ErrProblem.
func IsErrProblem(err error) bool { return errors.As(err, new(ErrProblem)) }

// AsProblem returns the problem that the error carries, and whether it carries one.
func AsProblem(err error) (Problem, bool) {
	var e ErrProblem
	ok := errors.As(err, &e)
	return e.Problem, ok
}

// Problem tells a caller what became of a request, why, and what to do.
type Problem struct {
	Code         Code    `json:"code"`
	Outcome      Outcome `json:"outcome"`
	Message      string  `json:"message"`
	Hint         string  `json:"hint,omitempty"`
	Job          JobID   `json:"job,omitzero"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"` // when to come back
	AskAt        string  `json:"ask_at,omitempty"`         // the path that tells the outcome later
}

// RetryAfter returns when to come back.
func (p Problem) RetryAfter() time.Duration { return time.Duration(p.RetryAfterMS) * time.Millisecond }
