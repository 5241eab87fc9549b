package basilrouter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilrouter"
	"basilstage.example/basilstage/pkg/basilapi"
)

func TestRunWithRefusedConnectsIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	a := l.Addr().String()
	for _, idempotent := range []bool{false, true} {
		d := newDispatcher(t, basilrouter.RouterOptions{}, a, a, a)
		r := d.Run(t.Context(), quoteRequest(idempotent))
		must.Eq(t, basilapi.OutcomeNotRun, r.Outcome)
		must.Eq(t, 3, r.Attempt)
		must.Greater(t, int64(0), r.Problem.RetryAfterMS)
	}
}

// The close races with the send, so the outcome may be not-run or unknown, but never ran.
func TestRunOnConnectionsClosedAtOnceIsNeverReportedAsRan(t *testing.T) {
	f := newScriptedRunner(t, func(net.Conn, func() string) {})
	for range 50 {
		r := newDispatcher(t, basilrouter.RouterOptions{}, f.address()).Run(t.Context(), quoteRequest(false))
		must.NotEq(t, basilapi.OutcomeRan, r.Outcome)
		must.Eq(t, 0, len(f.received))
	}
}

func TestRunFollowsNoRedirect(t *testing.T) {
	address := serveHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Location", "/elsewhere")
		w.Header().Set("Content-Length", "0")
		if q.Method == http.MethodPost {
			w.WriteHeader(http.StatusSeeOther)
		}
	})
	r := newDispatcher(t, basilrouter.RouterOptions{}, address).Run(t.Context(), quoteRequest(false))
	must.Eq(t, basilapi.OutcomeUnknown, r.Outcome)
}

func serveHTTP(t *testing.T, h http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// The transport must not resend a request when a kept-alive connection breaks after the send: a job that isn't
// idempotent could run twice.
func TestRunIsNotRepeatedByTheTransport(t *testing.T) {
	for _, payload := range []string{"toe", ""} {
		received := make(chan string, 100)
		address := serveHTTP(t, func(w http.ResponseWriter, q *http.Request) {
			received <- q.Header.Get(basilapi.HeaderJob)
			if q.Header.Get(basilapi.HeaderJob) == "second" {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Content-Length", "0")
		})
		d := newDispatcher(t, basilrouter.RouterOptions{}, address)
		q := quoteRequest(false)
		q.Payload = []byte(payload)
		must.Eq(t, basilapi.OutcomeRan, d.Run(t.Context(), q).Outcome)
		q.Job = "second"
		must.Eq(t, basilapi.OutcomeUnknown, d.Run(t.Context(), q).Outcome)
		must.Eq(t, 2, len(received))
	}
}

// brokenConn fails each write and reports the given number of bytes as written; reads block until it is closed.
type brokenConn struct {
	net.Conn
	bytes int
}

func (c brokenConn) Write([]byte) (int, error) { return c.bytes, errors.New("broken") }

func TestRunOnWriteErrorIsNotRunOnlyIfNoByteWasSent(t *testing.T) {
	for n, expected := range map[int]basilapi.Outcome{0: basilapi.OutcomeNotRun, 1: basilapi.OutcomeUnknown} {
		var attempts int
		transport := basilrouter.NewTransportWithDial(1, func(context.Context, string, string) (net.Conn, error) {
			attempts++
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			return brokenConn{near, n}, nil
		})
		r := basilrouter.NewRouter(basilrouter.RouterOptions{})
		r.Update("quote", backends("127.0.0.1:1"))
		d := basilrouter.NewDispatcher(r, &http.Client{Transport: transport}, basilrouter.DispatcherOptions{})
		result := d.Run(t.Context(), quoteRequest(false))
		must.Eq(t, expected, result.Outcome)
		must.Eq(t, attempts, result.Attempt)
		must.Eq(t, n == 0, attempts == 3)
	}
}

// Guards against a late write: a request that is cancelled while its connection is set up is reported as not run,
// so nothing may be written afterwards.
func TestRunCancelledBeforeTheWriteSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	dialled := make(chan struct{})
	transport := basilrouter.NewTransportWithDial(1, func(context.Context, string, string) (net.Conn, error) {
		close(dialled)
		return near, nil
	})
	r := basilrouter.NewRouter(basilrouter.RouterOptions{})
	r.Update("quote", backends("127.0.0.1:1"))
	d := basilrouter.NewDispatcher(r, &http.Client{Transport: transport}, basilrouter.DispatcherOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-dialled
		cancel()
	}()
	result := d.Run(ctx, quoteRequest(false))
	must.Eq(t, basilapi.OutcomeNotRun, result.Outcome)
	n, err := far.Read(make([]byte, 1))
	must.Eq(t, 0, n)
	must.ErrorIs(t, err, io.EOF)
}

// Attempts that may have started the job are retried only within the budget: its reserve of 10 retries.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	f := newScriptedRunner(t, respondWith(""))
	r := basilrouter.NewRouter(basilrouter.RouterOptions{})
	r.Update("quote", backends(f.address(), f.address(), f.address()))
	d := basilrouter.NewDispatcher(r, nil, basilrouter.DispatcherOptions{})
	const jobs = 20
	for range jobs {
		result := d.Run(t.Context(), quoteRequest(true))
		must.Eq(t, basilapi.OutcomeUnknown, result.Outcome)
		must.Greater(t, 0, result.Problem.RetryAfterMS)
	}
	must.Eq(t, jobs+10, len(f.received))
}

func TestRunUsesTheLeaseOfTheRequest(t *testing.T) {
	f := newScriptedRunner(t, respondWith(successResponse))
	r := basilrouter.NewRouter(basilrouter.RouterOptions{})
	r.Update("quote", backends(f.address()))
	d := basilrouter.NewDispatcher(r, nil, basilrouter.DispatcherOptions{})
	invalidations := []func(epoch int64){
		func(int64) {},
		func(epoch int64) { r.MarkLeaving("a", epoch) },
		func(int64) { r.Update("quote", nil) },
	}
	for n, invalidate := range invalidations {
		q := quoteRequest(false)
		epoch := int64(n + 1)
		var err error
		q.Lease, err = r.Pick("quote", time.Now())
		must.NoError(t, err)
		must.Eq(t, 7, r.FreeCredits("quote", time.Now()))
		invalidate(epoch)
		must.Eq(t, n == 0, d.Run(t.Context(), q).Outcome == basilapi.OutcomeRan)
		r.Update("quote", []basilrouter.Backend{{Host: "a", Address: f.address(), Epoch: epoch + 1}})
		must.Eq(t, 8, r.FreeCredits("quote", time.Now()), must.Sprint("the credit was not returned"))
	}
	must.Eq(t, 1, len(f.received))
}

func TestRunUntilTheDeadlineIsUnknown(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	f := newScriptedRunner(t, func(_ net.Conn, read func() string) {
		read()
		<-hang
	})
	for _, idempotent := range []bool{false, true} {
		q := quoteRequest(idempotent)
		q.Deadline = time.Now().Add(100 * time.Millisecond)
		r := newDispatcher(t, basilrouter.RouterOptions{}, f.address()).Run(t.Context(), q)
		must.Eq(t, basilapi.OutcomeUnknown, r.Outcome)
		must.Eq(t, 1, r.Attempt)
	}
}

func TestRunFallsBackToAnotherRunner(t *testing.T) {
	refusing := newScriptedRunner(t, respondWith("HTTP/1.1 503 Busy\r\nBasil-Not-Started: full\r\nContent-Length: 0\r\n\r\n"))
	good := newScriptedRunner(t, respondWith(successResponse))
	for range 20 {
		d := newDispatcher(t, basilrouter.RouterOptions{}, refusing.address(), good.address())
		r := d.Run(t.Context(), quoteRequest(false))
		must.Eq(t, basilapi.OutcomeRan, r.Outcome)
	}
	must.Eq(t, 20, len(good.received))
}

func TestRunChecksJustBeforeTheSend(t *testing.T) {
	f := newScriptedRunner(t, respondWith(successResponse))
	d := newDispatcher(t, basilrouter.RouterOptions{}, f.address())
	tests := []struct {
		name    string
		change  func(*basilrouter.Request)
		code    basilapi.Code
		context func() context.Context
	}{
		{"stale view", func(q *basilrouter.Request) {
			q.CheckSend = func() error { return errors.New("stale") }
		}, basilapi.CodeStale, t.Context},
		{"entry host stopping", func(q *basilrouter.Request) {
			q.CheckSend = func() error {
				return basilapi.ErrProblem{Problem: basilapi.Problem{Code: basilapi.CodeStopping}}
			}
		}, basilapi.CodeStopping, t.Context},
		{"cancelled job", func(q *basilrouter.Request) {
			q.BeginAttempt = func(int) bool { return false }
		}, basilapi.CodeCancelled, t.Context},
		{"deadline passed", func(q *basilrouter.Request) {
			q.Deadline = time.Now().Add(-time.Second)
		}, basilapi.CodeDeadlineExceeded, t.Context},
		{"unknown service", func(q *basilrouter.Request) { q.Service = "none" }, basilapi.CodeNoRunner, t.Context},
		{"caller gone", func(*basilrouter.Request) {}, basilapi.CodeCancelled, func() context.Context {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			return ctx
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := quoteRequest(false)
			tt.change(&q)
			r := d.Run(tt.context(), q)
			must.Eq(t, basilapi.OutcomeNotRun, r.Outcome)
			must.Eq(t, tt.code, r.Problem.Code)
			must.Eq(t, 0, r.Attempt)
			must.Eq(t, 0, len(f.received))
		})
	}
}

func TestRunNumbersEachAttempt(t *testing.T) {
	f := newScriptedRunner(t, respondWith(""))
	var attempts []int
	q := quoteRequest(true)
	q.BeginAttempt = func(n int) bool {
		attempts = append(attempts, n)
		return true
	}
	newDispatcher(t, basilrouter.RouterOptions{}, f.address()).Run(t.Context(), q)
	must.Eq(t, []int{1, 2, 3}, attempts)
}

func TestLeavingHeaderTakesEffectAtOnce(t *testing.T) {
	tests := map[string]string{
		"with an answer":  "200 OK\r\n",
		"with a refusal":  "503 Leaving\r\nBasil-Not-Started: leaving\r\n",
		"with a failure":  "500 Oops\r\n",
		"with a mismatch": "200 OK\r\nBasil-Job: other\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			leaving := newScriptedRunner(t, respondWith("HTTP/1.1 "+head+"Basil-Leaving: 1\r\nContent-Length: 0\r\n\r\n"))
			var reported []string
			d := newDispatcher(t, basilrouter.RouterOptions{
				OnLeaving: func(host string, _ int64) { reported = append(reported, host) },
			}, leaving.address())
			d.Run(t.Context(), quoteRequest(false))
			must.Eq(t, []string{"a"}, reported)
			starts := len(leaving.received)
			r := d.Run(t.Context(), quoteRequest(false))
			must.Eq(t, basilapi.OutcomeNotRun, r.Outcome)
			must.Eq(t, basilapi.CodeNoRunner, r.Problem.Code)
			must.Eq(t, starts, len(leaving.received))
		})
	}
}

// A runner may close a connection some time after its refusal without announcing it by "Connection: close". A next
// attempt sent on that connection would end with an unknown outcome, although the job was not run.
func TestRefusalOnConnectionClosedLaterIsNotRun(t *testing.T) {
	for _, delay := range []time.Duration{5, 20, 40} {
		t.Run((delay * time.Millisecond).String(), func(t *testing.T) {
			t.Parallel()
			f := newScriptedRunner(t, func(c net.Conn, read func() string) {
				read()
				_, _ = c.Write([]byte("HTTP/1.1 503 Busy\r\nBasil-Not-Started: full\r\nContent-Length: 0\r\n\r\n"))
				time.Sleep(delay * time.Millisecond)
			})
			d := newDispatcher(t, basilrouter.RouterOptions{}, f.address(), f.address(), f.address())
			for range 4 {
				must.Eq(t, basilapi.OutcomeNotRun, d.Run(t.Context(), quoteRequest(true)).Outcome)
			}
		})
	}
}
