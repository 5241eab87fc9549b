package basiljob_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

// TestAnswersAfterMinterGone checks the answers given after the entry host that
// minted a job is gone, with copies of the answer in different places.
func TestAnswersAfterMinterGone(t *testing.T) {
	tests := []struct {
		name          string
		peerCopy      bool // another entry host has copies
		tableCopy     bool // the table has copies
		tableDown     bool // the table is down when the answer is fetched
		notSubmitted  bool // the id was not submitted before
		retry         bool
		submitOutcome basilapi.Outcome // outcome returned to a submit
		fetchOutcome  basilapi.Outcome // outcome returned to a fetch
		fetchFails    bool             // the fetch returns an error
	}{
		{"copy at a peer", true, false, false, false, true, basilapi.OutcomeRan, basilapi.OutcomeRan, false},
		{"copy at a peer, not marked as a retry", true, false, false, false, false, basilapi.OutcomeRan, basilapi.OutcomeRan, false},
		{"copy in the table", false, true, false, false, true, basilapi.OutcomeRan, basilapi.OutcomeRan, false},
		{"copy in the table, table down", false, true, true, false, true, basilapi.OutcomeUnknown, basilapi.OutcomeUnknown, true},
		{"no copy", false, false, false, false, true, basilapi.OutcomeUnknown, basilapi.OutcomeUnknown, false},
		{"never submitted", true, true, false, true, false, basilapi.OutcomeNotRun, basilapi.OutcomeUnknown, false},
		{"never submitted, table down", true, true, true, true, false, basilapi.OutcomeNotRun, basilapi.OutcomeUnknown, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				copies := basiljob.NewCopies(basiljob.CopiesOptions{})
				var table basilstandin.Table
				var o basiljob.RegistryOptions
				if tt.peerCopy {
					o.Copiers = append(o.Copiers, peerCopier{copies})
				}
				if tt.tableCopy {
					o.Copiers = append(o.Copiers, basiljob.NewTableCopier(&table, "fukuoka"))
				}
				g := newRegistry(o)
				r := shortRequest(g.Mint(1)[0])
				var runs int
				if !tt.notSubmitted {
					_, err := g.Submit(t.Context(), r, runFor(time.Second, &runs))
					must.NoError(t, err)
				}
				must.NoError(t, g.Drain(t.Context()))
				table.SetFaults(basilstandin.TableFaults{Down: tt.tableDown})

				a, err := basiljob.AnswerAfterMinterGone(t.Context(), r.ID, copies, &table)
				must.Eq(t, tt.fetchFails, err != nil)
				must.Eq(t, tt.fetchOutcome, a.Outcome)
				r.Retry = tt.retry
				a, err = basiljob.SubmitAfterMinterGone(t.Context(), r, copies, &table)
				must.Eq(t, tt.submitOutcome, a.Outcome)
				if p, ok := basilapi.AsProblem(err); ok {
					must.Eq(t, tt.submitOutcome, p.Outcome)
				}
				if tt.submitOutcome == basilapi.OutcomeRan {
					must.Eq(t, r.ID.String(), string(a.Answer))
				}
			})
		})
	}
}

func TestTableCopierBatchesAndSweeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		c := basiljob.NewTableCopier(&table, "fukuoka")
		id := func() basilapi.JobID { return basilapi.NewJobID("fukuoka", ulid.Make()) }
		var answers []basilapi.JobAnswer
		for n := range 1000 {
			answers = append(answers, basilapi.JobAnswer{ID: id(), Outcome: basilapi.OutcomeRan, Answer: fmt.Appendf(nil, "%01000d", n)})
		}
		largest := basilapi.JobAnswer{ID: id(), Outcome: basilapi.OutcomeRan, Answer: make([]byte, basilapi.MaxPayloadBytes)}
		c.Copy(append(answers, largest))
		_, writes := table.Counts()
		must.Between(t, 9, writes, 11)
		for _, want := range []basilapi.JobAnswer{answers[0], answers[999], largest} {
			a, err := basiljob.AnswerAfterMinterGone(t.Context(), want.ID, nil, &table)
			must.NoError(t, err)
			must.Eq(t, want, a)
		}
		must.NoError(t, c.Sweep(t.Context(), time.Now().Add(time.Second)))
		a, err := basiljob.AnswerAfterMinterGone(t.Context(), largest.ID, nil, &table)
		must.NoError(t, err)
		must.Eq(t, basilapi.OutcomeUnknown, a.Outcome)
	})
}

func TestCopiesEnforceLimits(t *testing.T) {
	c := basiljob.NewCopies(basiljob.CopiesOptions{MaxCopies: 10, MaxBytes: 50})
	g := newRegistry(basiljob.RegistryOptions{})
	ids := g.Mint(30)
	for _, id := range ids {
		c.Put([]basilapi.JobAnswer{{ID: id, Outcome: basilapi.OutcomeRan, Answer: []byte("0123456789")}})
		c.Put([]basilapi.JobAnswer{{ID: id, Outcome: basilapi.OutcomeUnknown}}) // ignored: the id already has an answer
	}
	for n, id := range ids {
		a, ok := c.Get(id)
		must.Eq(t, n >= 25, ok)
		must.Eq(t, ok, a.Outcome == basilapi.OutcomeRan)
	}
}
