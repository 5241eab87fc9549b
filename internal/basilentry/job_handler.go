package basilentry

import (
	"net/http"
	"strconv"
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

func (e *Entry) mint(w http.ResponseWriter, r *http.Request, _ caller) {
	var m basilapi.MintRequest
	if err := readJSON(w, r, maxRequestBytes, &m); err != nil {
		writeError(w, err)
		return
	}
	ids, err := e.jobs.Mint(m.Count)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, basilapi.MintAnswer{IDs: ids})
}

func (e *Entry) submit(w http.ResponseWriter, r *http.Request, c caller) {
	var q basilapi.SubmitRequest
	if err := readJSON(w, r, maxRequestBytes, &q); err != nil {
		writeError(w, err)
		return
	}
	if err := e.control.Check(time.Now()); err != nil {
		e.writeAnswer(w, basilapi.JobAnswer{ID: q.ID}, refuseJob(q, err))
		return
	}
	a, err := e.jobs.Submit(r.Context(), c.team, q, 0)
	e.metrics.answered(a, err)
	e.writeAnswer(w, a, err)
}

func (e *Entry) job(w http.ResponseWriter, r *http.Request, _ caller) {
	id, err := basilapi.ParseJobID(r.PathValue("id"))
	if err != nil {
		writeError(w, err)
		return
	}
	a, err := e.jobs.Get(r.Context(), id, 0)
	e.writeAnswer(w, a, err)
}

func (e *Entry) cancel(w http.ResponseWriter, r *http.Request, _ caller) {
	id, err := basilapi.ParseJobID(r.PathValue("id"))
	if err != nil {
		writeError(w, err)
		return
	}
	a, err := e.jobs.Cancel(r.Context(), id, 0)
	e.writeAnswer(w, a, err)
}

func (e *Entry) writeAnswer(w http.ResponseWriter, a basilapi.JobAnswer, err error) {
	w.Header().Set(basilapi.HeaderRevision, strconv.FormatInt(e.control.View().Configuration().Revision(), 10))
	if err != nil {
		p := problemOf(err)
		if p.Job.IsZero() {
			p.Job = a.ID
		}
		writeProblem(w, p)
		return
	}
	status := http.StatusOK
	if a.Outcome == basilapi.OutcomePending {
		status = http.StatusAccepted
	}
	writeJSON(w, status, a)
}
