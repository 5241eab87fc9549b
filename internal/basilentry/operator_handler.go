package basilentry

import (
	"net/http"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/pkg/basilapi"
)

// maxDocumentBytes bounds an operator's request, which may carry a configuration.
const maxDocumentBytes = 1 << 20

func (e *Entry) query(w http.ResponseWriter, r *http.Request, c caller) {
	var q basilapi.OperatorRequest
	if err := e.readOperator(w, r, c, &q); err != nil {
		writeError(w, err)
		return
	}
	a, err := e.queries.Run(r.Context(), q.Text)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, a)
}

func (e *Entry) command(w http.ResponseWriter, r *http.Request, c caller) {
	var q basilapi.OperatorRequest
	if err := e.readOperator(w, r, c, &q); err != nil {
		writeError(w, err)
		return
	}
	if q.ID == "" {
		q.ID = ulid.Make().String()
	}
	a, err := e.commands.Run(r.Context(), c.team, q)
	if err != nil {
		e.log.WithField("command", q.ID).WithField("operator", c.team).WithError(err).Warn("command refused")
		writeError(w, err)
		return
	}
	if x, ok, err := e.trail.Command(r.Context(), q.ID); err == nil && ok && !q.DryRun {
		a.Sequence = x.Sequence()
	}
	e.log.WithField("command", q.ID).WithField("operator", c.team).WithField("sequence", a.Sequence).Info("command accepted")
	writeJSON(w, http.StatusOK, a)
}

func (e *Entry) readOperator(w http.ResponseWriter, r *http.Request, c caller, q *basilapi.OperatorRequest) error {
	if err := requireOperator(c); err != nil {
		return err
	}
	return readJSON(w, r, maxDocumentBytes, q)
}
