package basildynamo

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"basilstage.example/basilstage/internal/basilplatform/basiltrace"
)

// maxAnswerBytes bounds what is read of an answer; a page of a query holds 1 MB, encoded.
const maxAnswerBytes = 8 << 20

// answerCheck is a transport that fails on a success that is not 200 with a whole JSON object.
//
// The SDK takes an empty answer, or a 204, for one without an item or for a write done.
type answerCheck struct{ next http.RoundTripper }

func newHTTPClient() *http.Client {
	c := basiltrace.NewClient()
	c.Transport = answerCheck{next: c.Transport}
	return c
}

// RoundTrip sends the request and reads its answer whole; it fails with ErrAnswerMalformed.
func (a answerCheck) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := a.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, ErrAnswerMalformed{Status: answer.StatusCode, Cause: err}
	}
	if answer.StatusCode < http.StatusBadRequest && (answer.StatusCode != http.StatusOK || !isObject(text)) {
		return nil, ErrAnswerMalformed{Status: answer.StatusCode}
	}
	answer.Body = io.NopCloser(bytes.NewReader(text))
	return answer, nil
}

func isObject(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) && json.Valid(text)
}
