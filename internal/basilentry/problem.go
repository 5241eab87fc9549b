package basilentry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilcommand"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basillanguage"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/internal/basilwave"
	"basilstage.example/basilstage/pkg/basilapi"
)

// When to come back after refusals that carry no time of their own.
const (
	retryStale   = time.Second
	retryStore   = 2 * time.Second
	retryStop    = 500 * time.Millisecond
	retryRefused = 5 * time.Second
)

// kind is how one type of error is told to a caller.
type kind struct {
	is      func(error) bool
	code    basilapi.Code
	outcome basilapi.Outcome
	retry   time.Duration
	hint    string
}

var kinds = []kind{
	{basilview.IsErrStale, basilapi.CodeStale, basilapi.OutcomeNotRun, retryStale, "ask another entry host"},
	{basillanguage.IsErrSyntax, basilapi.CodeMalformed, basilapi.OutcomeNotRun, 0, "see docs/OPERATIONS.md for the language"},
	{basillanguage.IsErrUnknownWord, basilapi.CodeMalformed, basilapi.OutcomeNotRun, 0, "see docs/OPERATIONS.md for the language"},
	{basilapi.IsErrJobIDMalformed, basilapi.CodeMalformed, basilapi.OutcomeNotRun, 0, "take ids from /v1/job-ids"},
	{basilconfig.IsErrConfigurationInvalid, basilapi.CodeMalformed, basilapi.OutcomeNotRun, 0, "mend the document"},
	{basilconfig.IsErrRevisionConflict, basilapi.CodeConflict, basilapi.OutcomeNotRun, 0, "read the newest revision and apply on top of it"},
	{basilconfig.IsErrRevisionNotExist, basilapi.CodeRefused, basilapi.OutcomeNotRun, 0, "list the revisions"},
	{basilcommand.IsErrDryRunNotKnown, basilapi.CodeRefused, basilapi.OutcomeNotRun, 0, "leave the dry run out"},
	{basilcommand.IsErrPartExists, basilapi.CodeConflict, basilapi.OutcomeNotRun, 0, "use set, or take another name"},
	{basilcommand.IsErrPartNotExist, basilapi.CodeRefused, basilapi.OutcomeNotRun, 0, "ask for the configuration"},
	{basilconfig.IsErrCommandReused, basilapi.CodeConflict, basilapi.OutcomeNotRun, 0, "take a fresh command id"},
	{basilpool.IsErrBudgetExceeded, basilapi.CodeBudget, basilapi.OutcomeNotRun, retryRefused, "ask why the service refuses"},
	{basilpool.IsErrPoolTooSmall, basilapi.CodeBudget, basilapi.OutcomeNotRun, retryRefused, "ask for the pool's hosts"},
	{basilpool.IsErrHostNotExist, basilapi.CodeHostNotExist, basilapi.OutcomeNotRun, 0, "list the hosts"},
	{basilpool.IsErrServiceNotExist, basilapi.CodeUnknownService, basilapi.OutcomeNotRun, 0, "list the services"},
	{basilpool.IsErrHostConflict, basilapi.CodeConflict, basilapi.OutcomeNotRun, 0, "ask why the host is as it is"},
	{basilpool.IsErrHostStale, basilapi.CodeConflict, basilapi.OutcomeNotRun, 0, "ask why the host is as it is"},
	{basilpool.IsErrPoolNotExist, basilapi.CodeRefused, basilapi.OutcomeNotRun, 0, "list the pools"},
	{basilpool.IsErrPoolSame, basilapi.CodeRefused, basilapi.OutcomeNotRun, 0, "name another pool"},
	{basilwave.IsErrWaveNotExist, basilapi.CodeRefused, basilapi.OutcomeNotRun, 0, "list the waves"},
	{basilwave.IsErrWaveExists, basilapi.CodeConflict, basilapi.OutcomeNotRun, 0, "take another name"},
	{basilwave.IsErrWaveConflict, basilapi.CodeConflict, basilapi.OutcomeNotRun, 0, "list the waves"},
	{basilwave.IsErrWaveInvalid, basilapi.CodeMalformed, basilapi.OutcomeNotRun, 0, "mend the wave"},
	{basilview.IsErrMemberNotExist, basilapi.CodeRefused, basilapi.OutcomeNotRun, 0, "list the members"},
	{basiljob.IsErrNotMinted, basilapi.CodeMalformed, basilapi.OutcomeNotRun, 0, "take ids from /v1/job-ids"},
	{basiljob.IsErrRequestConflict, basilapi.CodeConflict, basilapi.OutcomeUnknown, 0, "the id belongs to another request"},
	{basiljob.IsErrTooLate, basilapi.CodeTooLate, basilapi.OutcomePending, 0, "ask for the job"},
	{basiljob.IsErrJobNotExist, basilapi.CodeJobNotExist, basilapi.OutcomeUnknown, 0, "check the id"},
	{basilaudit.IsErrChangeUnknown, basilapi.CodeOutcomeUnknown, basilapi.OutcomeUnknown, retryStore, "give the command again with the same id"},
	{basilaudit.IsErrContended, basilapi.CodeConflict, basilapi.OutcomeNotRun, retryStale, "give the command again"},
	{basilplatform.IsErrOutcomeUnknown, basilapi.CodeOutcomeUnknown, basilapi.OutcomeUnknown, retryStore, "ask again with the same id"},
	{basilplatform.IsErrUnavailable, basilapi.CodeStoreUnavailable, basilapi.OutcomeNotRun, retryStore, "the platform's table service is away"},
	{basilplatform.IsErrRefused, basilapi.CodeRefused, basilapi.OutcomeNotRun, 0, "the platform refuses it"},
}

// problemOf tells any error as a Problem.
func problemOf(err error) basilapi.Problem {
	if p, ok := basilapi.AsProblem(err); ok {
		return p
	}
	for _, k := range kinds {
		if k.is(err) {
			return basilapi.Problem{
				Code: k.code, Outcome: k.outcome, Message: messageOf(err), Hint: k.hint, RetryAfterMS: k.retry.Milliseconds(),
			}
		}
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return basilapi.Problem{Code: basilapi.CodeDeadlineExceeded, Outcome: basilapi.OutcomeUnknown, Message: err.Error()}
	}
	return basilapi.Problem{Code: basilapi.CodeInternal, Outcome: basilapi.OutcomeUnknown, Message: err.Error()}
}

// messageOf tells the error to a person; to one who lost a race, by whom.
func messageOf(err error) string {
	var lost basilpool.ErrHostConflict
	if errors.As(err, &lost) {
		return fmt.Sprintf("%s by %s came first: host %s is %s since audit entry %d", lost.Action, lost.Operator, lost.Host, lost.State, lost.Sequence)
	}
	return err.Error()
}

func refuse(c basilapi.Code, message, hint string, retry time.Duration) error {
	return errors.WithStack(basilapi.ErrProblem{Problem: basilapi.Problem{
		Code: c, Outcome: basilapi.OutcomeNotRun, Message: message, Hint: hint, RetryAfterMS: retry.Milliseconds(),
	}})
}

var statuses = map[basilapi.Code]int{
	basilapi.CodeMalformed:        http.StatusBadRequest,
	basilapi.CodeBodyTooLarge:     http.StatusRequestEntityTooLarge,
	basilapi.CodeUnknownService:   http.StatusNotFound,
	basilapi.CodeUnauthenticated:  http.StatusUnauthorized,
	basilapi.CodeForbidden:        http.StatusForbidden,
	basilapi.CodeQuotaExceeded:    http.StatusTooManyRequests,
	basilapi.CodeOverloaded:       http.StatusServiceUnavailable,
	basilapi.CodeNoRunner:         http.StatusServiceUnavailable,
	basilapi.CodeDeadlineExceeded: http.StatusGatewayTimeout,
	basilapi.CodeStoreUnavailable: http.StatusServiceUnavailable,
	basilapi.CodeStopping:         http.StatusServiceUnavailable,
	basilapi.CodeStale:            http.StatusServiceUnavailable,
	basilapi.CodeMinterGone:       http.StatusGone,
	basilapi.CodeOutcomeUnknown:   http.StatusGatewayTimeout,
	basilapi.CodeJobNotExist:      http.StatusNotFound,
	basilapi.CodeJobFailed:        http.StatusBadGateway,
	basilapi.CodeCancelled:        http.StatusConflict,
	basilapi.CodeTooLate:          http.StatusConflict,
	basilapi.CodeRefused:          http.StatusConflict,
	basilapi.CodeConflict:         http.StatusConflict,
	basilapi.CodeHostNotExist:     http.StatusNotFound,
	basilapi.CodeBudget:           http.StatusConflict,
	basilapi.CodeJobImpossible:    http.StatusUnprocessableEntity,
}

func statusOf(c basilapi.Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}
