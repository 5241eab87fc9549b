package basilrouter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// attemptResult is what is known about one attempt.
type attemptResult struct {
	report         Report
	mayHaveStarted bool
	status         int // HTTP status; 0 without a response
	answer         []byte
	detail         string
}

// send makes one attempt and classifies its result.
func (d *Dispatcher) send(ctx context.Context, q *Request, b Backend, attempt int) attemptResult {
	var w connWatcher
	begin := time.Now()
	response, err := d.client.Do(w.newRequest(ctx, q, b, attempt))
	var a attemptResult
	if err != nil {
		a = w.classifyError(ctx, err)
	} else {
		a = d.readResponse(ctx, response, q, attempt)
	}
	if a.report.Ending == EndingRefused {
		w.sealConnections() // the server may close the connection after a refusal; a request sent on it would be lost
	}
	a.report.Latency = time.Since(begin)
	return a
}

// connWatcher records the connections on which a request may have been written.
type connWatcher struct {
	connections   []*countingConn
	writtenBefore []int64
	untracked     bool
}

func (w *connWatcher) newRequest(ctx context.Context, q *Request, b Backend, attempt int) *http.Request {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
	r := &http.Request{
		Method:        http.MethodPost,
		URL:           runURL(b.Address),
		Header:        make(http.Header),
		Body:          http.NoBody,
		ContentLength: int64(len(q.Payload)),
	}
	if len(q.Payload) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(q.Payload)) // no GetBody, so that the transport can't resend the request
	}
	r.Header.Set("Content-Type", "application/octet-stream")
	r.Header.Set(basilapi.HeaderJob, q.Job)
	r.Header.Set(basilapi.HeaderAttempt, strconv.Itoa(attempt))
	r.Header.Set(basilapi.HeaderService, q.Service)
	return r.WithContext(ctx)
}

func (w *connWatcher) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*countingConn)
	if !ok {
		w.untracked = true
		return
	}
	w.connections = append(w.connections, c)
	w.writtenBefore = append(w.writtenBefore, c.bytesWritten())
}

// sealConnections closes the connections and reports whether no byte of the request was sent or can be sent later.
func (w *connWatcher) sealConnections() bool {
	unsent := !w.untracked
	for i, c := range w.connections {
		unsent = c.seal() == w.writtenBefore[i] && unsent
	}
	return unsent
}

// classifyError classifies an attempt without a response.
func (w *connWatcher) classifyError(ctx context.Context, err error) attemptResult {
	a := attemptResult{mayHaveStarted: !w.sealConnections(), detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		a.report.Ending = EndingAbandoned
	case !a.mayHaveStarted:
		a.report.Ending = EndingUnreachable
	case ctx.Err() != nil:
		a.report.Ending = EndingTimeout
	default:
		a.report.Ending = EndingBroken
	}
	return a
}

// readResponse classifies a response by its headers and reads its body.
func (d *Dispatcher) readResponse(ctx context.Context, response *http.Response, q *Request, attempt int) attemptResult {
	defer response.Body.Close()
	a := attemptResult{mayHaveStarted: true, status: response.StatusCode}
	_, a.report.Leaving = response.Header[http.CanonicalHeaderKey(basilapi.HeaderLeaving)]
	if !d.matchesAttempt(response.Header, q.Job, attempt) {
		a.report.Ending, a.detail = EndingBroken, "the answer is to another job or attempt"
		return a
	}
	if reason, ok := response.Header[http.CanonicalHeaderKey(basilapi.HeaderNotStarted)]; ok {
		return a.classifyRefusal(response.StatusCode, reason[0])
	}
	if err := a.readBody(response); err != nil {
		a.report.Ending, a.detail = EndingBroken, err.Error()
		if ctx.Err() != nil {
			a.report.Ending = endingByContext(ctx)
		}
		return a
	}
	a.report.Ending = endingByStatus(response.StatusCode)
	a.detail = "the backend server answered with status " + strconv.Itoa(response.StatusCode)
	return a
}

// classifyRefusal handles the Basil-Not-Started header; with a status other than 503 it proves nothing.
func (a attemptResult) classifyRefusal(status int, reason string) attemptResult {
	if status != http.StatusServiceUnavailable {
		a.report.Ending, a.detail = EndingBroken, "the answer contradicts itself"
		return a
	}
	a.report.Ending, a.mayHaveStarted = EndingRefused, false
	a.detail = "refused: " + reason
	return a
}

// readBody reads a body of the declared length; it returns ErrIncompleteResponse for any other.
func (a *attemptResult) readBody(response *http.Response) error {
	if response.ContentLength < 0 || response.ContentLength > basilapi.MaxPayloadBytes {
		return errors.WithStack(ErrIncompleteResponse{Declared: response.ContentLength})
	}
	b := make([]byte, response.ContentLength)
	if n, err := io.ReadFull(response.Body, b); err != nil {
		return errors.WithStack(ErrIncompleteResponse{Declared: response.ContentLength, Read: n, Cause: err})
	}
	a.answer = b
	return nil
}

// matchesAttempt reports whether the headers echo the job and the attempt. Unless RequireEcho is set,
// missing headers match too.
func (d *Dispatcher) matchesAttempt(h http.Header, job string, attempt int) bool {
	return d.echoesHeader(h, basilapi.HeaderJob, job) && d.echoesHeader(h, basilapi.HeaderAttempt, strconv.Itoa(attempt))
}

func (d *Dispatcher) echoesHeader(h http.Header, name, value string) bool {
	v, ok := h[http.CanonicalHeaderKey(name)]
	if !ok {
		return !d.options.RequireEcho
	}
	return len(v) == 1 && v[0] == value
}

func endingByContext(ctx context.Context) Ending {
	if errors.Is(ctx.Err(), context.Canceled) {
		return EndingAbandoned
	}
	return EndingTimeout
}

// endingByStatus classifies a complete response by its status.
//
// Statuses that an intermediary or an overloaded server may send don't tell whether
// the job ran, nor do redirects, which are never followed.
func endingByStatus(status int) Ending {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests,
		http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return EndingBroken
	}
	switch {
	case status >= http.StatusInternalServerError:
		return EndingFailed
	case status >= http.StatusBadRequest:
		return EndingRejected
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return EndingAnswered
	}
	return EndingBroken
}
