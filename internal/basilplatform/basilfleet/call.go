package basilfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basiltrace"
)

// callTimeout bounds a call whose context has no earlier deadline.
const callTimeout = 5 * time.Second

// maxAnswerBytes bounds what is read of an answer; a list of 13,000 hosts takes 3 MB.
const maxAnswerBytes = 32 << 20

const contentTypeJSON = "application/json"

// caller sends requests and tells what is known of their effect.
type caller struct{ client *http.Client }

func newCaller(c *http.Client) caller {
	if c == nil {
		return caller{client: basiltrace.NewClient()}
	}
	own := *c
	own.CheckRedirect = basiltrace.StayPut
	return caller{client: &own}
}

// query asks for data; a failure is ErrUnavailable or ErrRefused.
func query[A any](ctx context.Context, c caller, operation, url string) (A, error) {
	answer, err := send[A](ctx, c, operation, http.MethodGet, url, nil)
	var unknown basilplatform.ErrOutcomeUnknown
	if errors.As(err, &unknown) {
		return answer, basilplatform.ErrUnavailable{Operation: operation, Cause: unknown.Cause}
	}
	return answer, err
}

// command asks for an effect; a failure is ErrUnavailable, ErrRefused or ErrOutcomeUnknown.
func command[A any](ctx context.Context, c caller, operation, url string, request any) (A, error) {
	body, err := json.Marshal(request)
	if err != nil {
		var none A
		return none, basilplatform.ErrRefused{Operation: operation, Reason: err.Error()}
	}
	return send[A](ctx, c, operation, http.MethodPost, url, body)
}

func send[A any](ctx context.Context, c caller, operation, method, url string, body []byte) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var none A
	var trace basiltrace.RequestTrace
	r, err := http.NewRequestWithContext(trace.Context(ctx), method, url, bytes.NewReader(body))
	if err != nil {
		return none, basilplatform.ErrRefused{Operation: operation, Reason: err.Error()}
	}
	r.Header.Set("Content-Type", contentTypeJSON)
	answer, err := c.client.Do(r)
	if err != nil && !trace.MaySent() {
		return none, basilplatform.ErrUnavailable{Operation: operation, Cause: err}
	}
	if err != nil {
		return none, basilplatform.ErrOutcomeUnknown{Operation: operation, Cause: err}
	}
	defer answer.Body.Close()
	return decode[A](operation, answer)
}

// decode reads an answer whole; what it can't read leaves the outcome unknown.
func decode[A any](operation string, answer *http.Response) (A, error) {
	var value A
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return value, unreadable(operation, answer.StatusCode, err)
	}
	if answer.StatusCode != http.StatusOK {
		return value, failure(operation, answer.StatusCode, text)
	}
	if err := json.Unmarshal(text, &value); err != nil {
		var none A
		return none, unreadable(operation, answer.StatusCode, err)
	}
	return value, nil
}

// failure believes only a typed failure; any other may come from between here and the server.
func failure(operation string, status int, text []byte) error {
	var f FailureRecord
	if err := json.Unmarshal(text, &f); err != nil {
		return unreadable(operation, status, err)
	}
	switch f.Kind {
	case FailureKindRefused:
		return basilplatform.ErrRefused{Operation: operation, Reason: f.Reason}
	case FailureKindUnavailable:
		return basilplatform.ErrUnavailable{
			Operation:  operation,
			RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond,
			Cause:      ErrNotTaken{Reason: f.Reason},
		}
	}
	return unreadable(operation, status, nil)
}

func unreadable(operation string, status int, cause error) error {
	return basilplatform.ErrOutcomeUnknown{Operation: operation, Cause: ErrAnswerUnreadable{Status: status, Cause: cause}}
}

// incomplete is the error of an answer without the field that it is all about.
func incomplete(operation, field string) error {
	return basilplatform.ErrUnavailable{Operation: operation, Cause: ErrFieldMissing{Field: field}}
}
