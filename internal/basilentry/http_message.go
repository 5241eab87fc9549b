package basilentry

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// maxRequestBytes bounds a request's JSON: the payload in base64 and its frame.
const maxRequestBytes = basilapi.MaxPayloadBytes*4/3 + 4<<10

// readJSON decodes the request's body; it refuses bodies that are malformed or too large.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if errors.As(err, new(*http.MaxBytesError)) {
		return refuse(basilapi.CodeBodyTooLarge, "the request's body is too large", "send at most "+strconv.FormatInt(limit, 10)+" bytes", 0)
	}
	if err != nil {
		return refuse(basilapi.CodeMalformed, "the request's body could not be read", "send it again", 0)
	}
	if err := json.Unmarshal(b, into); err != nil {
		return refuse(basilapi.CodeMalformed, "the request's body is not the expected JSON: "+err.Error(), "see docs/API.md", 0)
	}
	return nil
}

// writeJSON answers with the value, whole or not at all.
func writeJSON(w http.ResponseWriter, status int, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		b = []byte(`{"code":"internal","outcome":"unknown","message":"the answer could not be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // a caller that hung up asks again with the job's id
}

func writeError(w http.ResponseWriter, err error) { writeProblem(w, problemOf(err)) }

func writeProblem(w http.ResponseWriter, p basilapi.Problem) {
	if p.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(p.RetryAfter().Seconds()), 'f', 0, 64))
	}
	writeJSON(w, statusOf(p.Code), p)
}

// remaining returns the request's time limit, or the fallback.
func remaining(r basilapi.SubmitRequest, fallback time.Duration) time.Duration {
	if r.DeadlineMS > 0 {
		return r.Deadline()
	}
	return fallback
}
