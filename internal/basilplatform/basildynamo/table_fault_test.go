package basildynamo_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basildynamo"
)

var (
	keyA = basilplatform.Key{Partition: "p", Sort: "a"}
	keyB = basilplatform.Key{Partition: "p", Sort: "b"}
	twoA = basilplatform.Transaction{Token: "t", Writes: []basilplatform.Write{{Key: keyA}, {Key: keyB}}}
)

// kind names what an error says of the request's effect.
func kind(err error) string {
	var c basilplatform.ErrConditionFailed
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &c):
		return "condition " + c.Key.Sort
	case basilplatform.IsErrOutcomeUnknown(err):
		return "unknown"
	case basilplatform.IsErrConflict(err):
		return "conflict"
	case basilplatform.IsErrUnavailable(err):
		return "unavailable"
	case basilplatform.IsErrRefused(err):
		return "refused"
	case basilplatform.IsErrItemNotExist(err):
		return "none"
	}
	return err.Error()
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/x-amz-json-1.0")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func typed(status int, code string) http.HandlerFunc {
	return answer(status, fmt.Sprintf(`{"__type":"com.amazonaws.dynamodb.v20120810#%s","message":"m"}`, code))
}

func cancelled(reasons string) http.HandlerFunc {
	return answer(http.StatusBadRequest, `{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException",`+
		`"Message":"m","CancellationReasons":[`+reasons+`]}`)
}

func reason(code string) string { return `{"Code":"` + code + `"}` }

func cut(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func cutWithin(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

const brokenItem = `{"Item":{"pk":{"S":"p"},"sk":{"S":"a"},"version":{"N":"1.5"},"token":{"S":"t"},"body":{"B":""}}}`

func TestAnswers(t *testing.T) {
	none, condition := reason("None"), reason("ConditionalCheckFailed")
	tests := []struct {
		name     string
		handler  http.HandlerFunc
		get      string
		transact string
	}{
		{"well", answer(200, "{}"), "none", "ok"},
		{"cut before the answer", cut, "unavailable", "unknown"},
		{"cut within the answer", cutWithin(`{"Item`), "unavailable", "unknown"},
		{"cut after a whole object", cutWithin(`{}`), "unavailable", "unknown"},
		{"hangs", hang, "unavailable", "unknown"},
		{"empty 200", answer(200, ""), "unavailable", "unknown"},
		{"page of a proxy as 200", answer(200, "<html>"), "unavailable", "unknown"},
		{"array as 200", answer(200, "[]"), "unavailable", "unknown"},
		{"half an object", answer(200, `{"Item":{`), "unavailable", "unknown"},
		{"item of another kind", answer(200, `{"Item":{"pk":{"S":"p"}}}`), "unavailable", "ok"},
		{"item with a broken version", answer(200, brokenItem), "unavailable", "ok"},
		{"204", answer(204, ""), "unavailable", "unknown"},
		{"redirect", answer(307, ""), "unavailable", "unknown"},
		{"400 without a type", answer(400, "bad"), "unavailable", "unknown"},
		{"404 of a proxy", answer(404, "<html>"), "unavailable", "unknown"},
		{"500 plain", answer(500, ""), "unavailable", "unknown"},
		{"502 of a proxy", answer(502, "<html>"), "unavailable", "unknown"},
		{"internal error", typed(500, "InternalServerError"), "unavailable", "unknown"},
		{"service unavailable", typed(503, "ServiceUnavailable"), "unavailable", "unknown"},
		{"unheard-of type", typed(400, "StrangeException"), "unavailable", "unknown"},
		{"same token in progress", typed(400, "TransactionInProgressException"), "unavailable", "unknown"},
		{"throughput exceeded", typed(400, "ProvisionedThroughputExceededException"), "unavailable", "unavailable"},
		{"throttled", typed(400, "ThrottlingException"), "unavailable", "unavailable"},
		{"throttled with a 503", typed(503, "ThrottlingException"), "unavailable", "unavailable"},
		{"request limit", typed(400, "RequestLimitExceeded"), "unavailable", "unavailable"},
		{"invalid", typed(400, "ValidationException"), "refused", "refused"},
		{"no such table", typed(400, "ResourceNotFoundException"), "refused", "refused"},
		{"access denied", typed(400, "AccessDeniedException"), "refused", "refused"},
		{"token used for other writes", typed(400, "IdempotentParameterMismatchException"), "refused", "refused"},
		{"condition of the second", cancelled(none + "," + condition), "unavailable", "condition b"},
		{"condition of both", cancelled(condition + "," + condition), "unavailable", "condition a"},
		{"conflict and condition", cancelled(reason("TransactionConflict") + "," + condition), "unavailable", "condition b"},
		{"conflict", cancelled(none + "," + reason("TransactionConflict")), "unavailable", "conflict"},
		{"cancelled by throttling", cancelled(none + "," + reason("ThrottlingError")), "unavailable", "unavailable"},
		{"cancelled as invalid", cancelled(reason("ValidationError") + "," + none), "unavailable", "refused"},
		{"cancelled without reasons", cancelled(""), "unavailable", "unavailable"},
		{"cancelled with more reasons than writes", cancelled(none + "," + none + "," + condition), "unavailable", "unavailable"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				tt.handler(w, r)
			}))
			defer s.Close()
			table := basildynamo.New(basildynamo.Options{Endpoint: s.URL, Timeout: timeoutOf(tt.name)})
			_, err := table.Get(t.Context(), keyA)
			must.EqOp(t, tt.get, kind(err), must.Sprint(err))
			must.EqOp(t, tt.transact, kind(table.Transact(t.Context(), twoA)))
			must.EqOp(t, 2, calls.Load()) // nothing is tried again
		})
	}
}

// timeoutOf keeps the one case that waits for it short.
func timeoutOf(name string) time.Duration {
	if name == "hangs" {
		return time.Second
	}
	return time.Minute
}

func TestNotSent(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(cut))
	refusing.Close()
	tests := []struct{ name, endpoint string }{
		{"connection refused", refusing.URL},
		{"no such scheme", "ftp://127.0.0.1:1"},
		{"no endpoint", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := basildynamo.New(basildynamo.Options{Endpoint: tt.endpoint})
			_, err := table.Get(t.Context(), keyA)
			must.EqOp(t, "unavailable", kind(err), must.Sprint(err))
			must.EqOp(t, "unavailable", kind(table.Transact(t.Context(), twoA)))
		})
	}
}

// A transport may send a request again on a fresh connection when a reused one
// fails; for a write that may have been read, it must not.
func TestCutOnReusedConnection(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			cut(w, r)
		}
		answer(200, "{}")(w, r)
	}))
	defer s.Close()
	table := basildynamo.New(basildynamo.Options{Endpoint: s.URL})
	must.EqOp(t, "ok", kind(table.Transact(t.Context(), twoA)))
	must.EqOp(t, "unknown", kind(table.Transact(t.Context(), twoA)))
	must.EqOp(t, 2, calls.Load())
}

// A server that has gone leaves dead connections behind. A write on one is of
// unknown outcome at worst; once they are used up, the refused dial is certain.
func TestServerGoneAfterUse(t *testing.T) {
	s := httptest.NewServer(answer(200, "{}"))
	table := basildynamo.New(basildynamo.Options{Endpoint: s.URL})
	must.EqOp(t, "ok", kind(table.Transact(t.Context(), twoA)))
	s.Close()
	for range 3 {
		must.SliceContains(t, []string{"unavailable", "unknown"}, kind(table.Transact(t.Context(), twoA)))
	}
	must.EqOp(t, "unavailable", kind(table.Transact(t.Context(), twoA)))
}
