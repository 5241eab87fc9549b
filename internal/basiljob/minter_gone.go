package basiljob

import (
	"context"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// reasonMinterGone is returned when the minting incarnation is gone and no copy of the job's answer was found.
const reasonMinterGone = "the entry host that minted the id is gone"

// AnswerAfterMinterGone returns the answer of a job whose minting incarnation is gone.
//
// It returns the copied answer if there is one and OutcomeUnknown otherwise. Both
// copies and table may be nil. If the table can't be read, its error is returned
// together with OutcomeUnknown.
func AnswerAfterMinterGone(ctx context.Context, id basilapi.JobID, copies *Copies, table basilplatform.Table) (basilapi.JobAnswer, error) {
	a, ok, err := findCopiedAnswer(ctx, id, copies, table)
	if ok {
		return a, nil
	}
	return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomeUnknown, Reason: reasonMinterGone}, err
}

func findCopiedAnswer(ctx context.Context, id basilapi.JobID, copies *Copies, table basilplatform.Table) (basilapi.JobAnswer, bool, error) {
	if copies != nil {
		if a, ok := copies.Get(id); ok {
			return a, true, nil
		}
	}
	if table == nil {
		return basilapi.JobAnswer{}, false, nil
	}
	return loadStoredAnswer(ctx, table, id)
}

// SubmitAfterMinterGone handles a submit whose minting incarnation is gone; it never runs the job.
//
// If no copy exists, the first submit of an id is refused with OutcomeNotRun: only
// the minting incarnation could have run the job, and it never received the
// request and never will. This relies on clients setting Retry on every repeat;
// HTTP forbids intermediaries to retry a POST on their own. A repeat without a
// copy gets OutcomeUnknown.
func SubmitAfterMinterGone(ctx context.Context, r basilapi.SubmitRequest, copies *Copies, table basilplatform.Table) (basilapi.JobAnswer, error) {
	a, ok, _ := findCopiedAnswer(ctx, r.ID, copies, table)
	if !ok && !r.Retry {
		return basilapi.JobAnswer{ID: r.ID, Outcome: basilapi.OutcomeNotRun, Reason: reasonMinterGone},
			notRunError(r.ID, basilapi.CodeMinterGone, reasonMinterGone, 0)
	}
	if !ok {
		return basilapi.JobAnswer{ID: r.ID, Reason: reasonMinterGone}, outcomeUnknownError(r.ID, reasonMinterGone, 0)
	}
	return a, copyProblem(a)
}

// copyProblem rebuilds the problem of a copied answer. A copy stores only the problem's message.
func copyProblem(a basilapi.JobAnswer) error {
	switch {
	case a.Outcome == basilapi.OutcomeUnknown:
		return outcomeUnknownError(a.ID, a.Reason, 0)
	case a.Outcome == basilapi.OutcomeNotRun:
		return notRunError(a.ID, basilapi.CodeMinterGone, a.Reason, 0)
	case a.Reason != "":
		return problemError(basilapi.Problem{Code: basilapi.CodeJobFailed, Outcome: a.Outcome, Message: a.Reason, Job: a.ID})
	}
	return nil
}
