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

// trial is what is known of one attempt.
type trial struct {
	report  Report
	started bool // may have started
	status  int  // of the answer, or 0
	answer  []byte
	detail  string
}

// send makes one attempt and tells how it ended.
func (d *Dispatcher) send(ctx context.Context, q *Request, b Backend, attempt int) trial {
	var w wire
	begin := time.Now()
	answer, err := d.client.Do(w.request(ctx, q, b, attempt))
	var t trial
	if err != nil {
		t = w.broken(ctx, err)
	} else {
		t = d.read(ctx, answer, q, attempt)
	}
	if t.report.Ending == EndingRefused {
		w.untouched() // a backend server that refuses may close it, and the next attempt would be lost on the way
	}
	t.report.Latency = time.Since(begin)
	return t
}

// wire watches which connections a request was given to.
type wire struct {
	connections []*meteredConn
	before      []int64
	unmetered   bool
}

func (w *wire) request(ctx context.Context, q *Request, b Backend, attempt int) *http.Request {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.got})
	r := &http.Request{
		Method:        http.MethodPost,
		URL:           runURL(b.Address),
		Header:        make(http.Header),
		Body:          http.NoBody,
		ContentLength: int64(len(q.Payload)),
	}
	if len(q.Payload) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(q.Payload)) // without GetBody, so that the transport can't repeat it
	}
	r.Header.Set("Content-Type", "application/octet-stream")
	r.Header.Set(basilapi.HeaderJob, q.Job)
	r.Header.Set(basilapi.HeaderAttempt, strconv.Itoa(attempt))
	r.Header.Set(basilapi.HeaderService, q.Service)
	return r.WithContext(ctx)
}

func (w *wire) got(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*meteredConn)
	if !ok {
		w.unmetered = true
		return
	}
	w.connections = append(w.connections, c)
	w.before = append(w.before, c.count())
}

// untouched closes the connections and tells whether no byte of the request was or will be sent.
func (w *wire) untouched() bool {
	clean := !w.unmetered
	for i, c := range w.connections {
		clean = c.seal() == w.before[i] && clean
	}
	return clean
}

// broken classifies an attempt that brought no answer.
func (w *wire) broken(ctx context.Context, err error) trial {
	t := trial{started: !w.untouched(), detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		t.report.Ending = EndingAbandoned
	case !t.started:
		t.report.Ending = EndingUnreachable
	case ctx.Err() != nil:
		t.report.Ending = EndingTimeout
	default:
		t.report.Ending = EndingBroken
	}
	return t
}

// read classifies an answer by its headers, and reads the whole of it.
func (d *Dispatcher) read(ctx context.Context, a *http.Response, q *Request, attempt int) trial {
	defer a.Body.Close()
	t := trial{started: true, status: a.StatusCode}
	_, t.report.Leaving = a.Header[http.CanonicalHeaderKey(basilapi.HeaderLeaving)]
	if !d.matches(a.Header, q.Job, attempt) {
		t.report.Ending, t.detail = EndingBroken, "the answer is to another job or attempt"
		return t
	}
	if reason, ok := a.Header[http.CanonicalHeaderKey(basilapi.HeaderNotStarted)]; ok {
		return t.refused(a.StatusCode, reason[0])
	}
	if err := t.readBody(a); err != nil {
		t.report.Ending, t.detail = EndingBroken, err.Error()
		if ctx.Err() != nil {
			t.report.Ending = endingOf(ctx)
		}
		return t
	}
	t.report.Ending = endingByStatus(a.StatusCode)
	t.detail = "the backend server answered with status " + strconv.Itoa(a.StatusCode)
	return t
}

// refused takes the typed refusal; the header with another status proves nothing.
func (t trial) refused(status int, reason string) trial {
	if status != http.StatusServiceUnavailable {
		t.report.Ending, t.detail = EndingBroken, "the answer contradicts itself"
		return t
	}
	t.report.Ending, t.started = EndingRefused, false
	t.detail = "refused: " + reason
	return t
}

// readBody reads a body that has the declared length; it fails with ErrAnswerNotWhole.
func (t *trial) readBody(a *http.Response) error {
	if a.ContentLength < 0 || a.ContentLength > basilapi.MaxPayloadBytes {
		return errors.WithStack(ErrAnswerNotWhole{Declared: a.ContentLength})
	}
	b := make([]byte, a.ContentLength)
	if n, err := io.ReadFull(a.Body, b); err != nil {
		return errors.WithStack(ErrAnswerNotWhole{Declared: a.ContentLength, Read: n, Cause: err})
	}
	t.answer = b
	return nil
}

// matches tells whether the answer names the job and the attempt, or names neither where that will do.
func (d *Dispatcher) matches(h http.Header, job string, attempt int) bool {
	return d.echoes(h, basilapi.HeaderJob, job) && d.echoes(h, basilapi.HeaderAttempt, strconv.Itoa(attempt))
}

func (d *Dispatcher) echoes(h http.Header, name, value string) bool {
	v, ok := h[http.CanonicalHeaderKey(name)]
	if !ok {
		return !d.options.RequireEcho
	}
	return len(v) == 1 && v[0] == value
}

func endingOf(ctx context.Context) Ending {
	if errors.Is(ctx.Err(), context.Canceled) {
		return EndingAbandoned
	}
	return EndingTimeout
}

// endingByStatus tells what a whole answer means.
//
// Statuses by which an intermediary or an overloaded server speaks say nothing
// certain of the job, and neither does a redirect, which is never followed.
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
