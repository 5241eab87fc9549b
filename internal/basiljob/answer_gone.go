package basiljob

import (
	"context"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// reasonMinterGone is told when nobody is left who knows what became of a job.
const reasonMinterGone = "the entry host that minted the id is gone"

// AnswerGone returns what is known of a job whose minting incarnation is gone.
//
// That is the copy, if there is one, and OutcomeUnknown otherwise; copies and
// table may be nil. A table that can't be read yields its error with OutcomeUnknown.
func AnswerGone(ctx context.Context, id basilapi.JobID, copies *Copies, table basilplatform.Table) (basilapi.JobAnswer, error) {
	a, ok, err := findCopy(ctx, id, copies, table)
	if ok {
		return a, nil
	}
	return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomeUnknown, Reason: reasonMinterGone}, err
}

func findCopy(ctx context.Context, id basilapi.JobID, copies *Copies, table basilplatform.Table) (basilapi.JobAnswer, bool, error) {
	if copies != nil {
		if a, ok := copies.Get(id); ok {
			return a, true, nil
		}
	}
	if table == nil {
		return basilapi.JobAnswer{}, false, nil
	}
	return storedAnswer(ctx, table, id)
}

// SubmitGone answers a submit whose minting incarnation is gone; it never runs the job.
//
// Without a copy, the first submit of an id is refused with OutcomeNotRun: only
// the minting incarnation could have sent the job, it has not had the request,
// and it will never have it. This relies on Retry being set on every repeat;
// HTTP forbids intermediaries to repeat a POST by themselves. A repeat gets OutcomeUnknown.
func SubmitGone(ctx context.Context, r basilapi.SubmitRequest, copies *Copies, table basilplatform.Table) (basilapi.JobAnswer, error) {
	a, ok, _ := findCopy(ctx, r.ID, copies, table)
	if !ok && !r.Retry {
		return basilapi.JobAnswer{ID: r.ID, Outcome: basilapi.OutcomeNotRun, Reason: reasonMinterGone},
			notRun(r.ID, basilapi.CodeMinterGone, reasonMinterGone, 0)
	}
	if !ok {
		return basilapi.JobAnswer{ID: r.ID, Reason: reasonMinterGone}, unknown(r.ID, reasonMinterGone, 0)
	}
	return a, copyProblem(a)
}

// copyProblem returns the problem that goes with a copied answer, which keeps only its message.
func copyProblem(a basilapi.JobAnswer) error {
	switch {
	case a.Outcome == basilapi.OutcomeUnknown:
		return unknown(a.ID, a.Reason, 0)
	case a.Outcome == basilapi.OutcomeNotRun:
		return notRun(a.ID, basilapi.CodeMinterGone, a.Reason, 0)
	case a.Reason != "":
		return problem(basilapi.Problem{Code: basilapi.CodeJobFailed, Outcome: a.Outcome, Message: a.Reason, Job: a.ID})
	}
	return nil
}
