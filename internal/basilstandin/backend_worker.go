package basilstandin

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
)

// serveTask serves one kind of request that changes a task.
func serveTask[Q any](b *Backend, serve func(Q) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if !readJSON(w, r, &request) {
			return
		}
		err := serve(request)
		b.cutIfLost()
		answerTask(w, err)
	}
}

// cutIfLost cuts the connection under the fault that loses answers.
func (b *Backend) cutIfLost() {
	if b.Faults().LoseAnswer {
		panic(http.ErrAbortHandler)
	}
}

func answerTask(w http.ResponseWriter, err error) {
	var refused basilplatform.ErrRefused
	switch {
	case err == nil:
		answerJSON(w, http.StatusOK, basilfleet.EmptyAnswer{})
	case errors.As(err, &refused):
		answerRefused(w, refused.Reason)
	default:
		answerUnavailable(w, err.Error())
	}
}

func (b *Backend) serveStop(w http.ResponseWriter, r *http.Request) {
	var request basilfleet.AttemptRequest
	if readJSON(w, r, &request) {
		status := b.StopTask(request)
		b.cutIfLost()
		answerJSON(w, http.StatusOK, status)
	}
}

func (b *Backend) serveTaskStatus(w http.ResponseWriter, r *http.Request) {
	parameters := r.URL.Query()
	attempt, err := strconv.Atoi(parameters.Get(basilfleet.ParameterAttempt))
	if err != nil {
		answerRefused(w, err.Error())
		return
	}
	key := basilfleet.AttemptRequest{Job: parameters.Get(basilfleet.ParameterJob), Attempt: attempt}
	answerJSON(w, http.StatusOK, b.TaskStatus(key))
}
