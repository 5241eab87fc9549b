package basilstandin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
)

const contentTypeJSON = "application/json"

func answerJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func answerRefused(w http.ResponseWriter, reason string) {
	answerJSON(w, http.StatusConflict, basilfleet.FailureRecord{Kind: basilfleet.FailureKindRefused, Reason: reason})
}

func answerUnavailable(w http.ResponseWriter, reason string) {
	answerJSON(w, http.StatusServiceUnavailable, basilfleet.FailureRecord{Kind: basilfleet.FailureKindUnavailable, Reason: reason})
}

// readJSON reads the request's body into value, or answers that it is refused.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		answerRefused(w, err.Error())
		return false
	}
	return true
}
