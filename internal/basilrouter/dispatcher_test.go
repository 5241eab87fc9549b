package basilrouter_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilrouter"
	"basilstage.example/basilstage/pkg/basilapi"
)

const testDeadline = 10 * time.Second

func backends(addresses ...string) []basilrouter.Backend {
	var b []basilrouter.Backend
	for i, a := range addresses {
		b = append(b, basilrouter.Backend{Host: string(rune('a' + i)), Address: a, Epoch: 1})
	}
	return b
}

func newDispatcher(t *testing.T, o basilrouter.RouterOptions, addresses ...string) *basilrouter.Dispatcher {
	r := basilrouter.NewRouter(o)
	r.Update("quote", backends(addresses...))
	transport := basilrouter.NewTransport(1)
	t.Cleanup(transport.CloseIdleConnections)
	return basilrouter.NewDispatcher(r, &http.Client{Transport: transport}, basilrouter.DispatcherOptions{})
}

func quoteRequest(idempotent bool) basilrouter.Request {
	return basilrouter.Request{
		Job: "job", Service: "quote", Payload: []byte("toe"), Idempotent: idempotent, Deadline: time.Now().Add(testDeadline),
	}
}

// scriptedRunner accepts connections and handles each with a fixed script.
type scriptedRunner struct {
	listener net.Listener
	received chan string // one entry per request that was read completely
}

func newScriptedRunner(t *testing.T, script func(c net.Conn, read func() string)) *scriptedRunner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &scriptedRunner{listener: l, received: make(chan string, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go s.serve(script)
	return s
}

func (s *scriptedRunner) address() string { return s.listener.Addr().String() }

func (s *scriptedRunner) serve(script func(c net.Conn, read func() string)) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			script(c, func() string { return s.read(c) })
		}()
	}
}

// read reads one request up to the end of its payload "toe"; it returns "" if the connection fails first.
func (s *scriptedRunner) read(c net.Conn) string {
	var b strings.Builder
	buffer := make([]byte, 1024)
	for !strings.HasSuffix(b.String(), "\r\n\r\ntoe") {
		n, err := c.Read(buffer)
		if err != nil {
			return ""
		}
		b.Write(buffer[:n])
	}
	s.received <- "toe"
	return b.String()
}

// respondWith returns a script that reads one request, writes the text and closes the connection.
func respondWith(text string) func(net.Conn, func() string) {
	return func(c net.Conn, read func() string) {
		read()
		_, _ = c.Write([]byte(text))
	}
}

const successResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

func TestRunUnderFaults(t *testing.T) {
	const (
		ran, unknown, notRun = basilapi.OutcomeRan, basilapi.OutcomeUnknown, basilapi.OutcomeNotRun
		none                 = basilapi.Code(-1)
		anyCount             = -1 // refusals are retried up to their limit; the random pauses make the count vary
	)
	type want struct {
		outcome  basilapi.Outcome
		code     basilapi.Code
		attempts int
		starts   int
	}
	type wants [2]want // not idempotent, idempotent
	done := wants{{ran, none, 1, 1}, {ran, none, 1, 1}}
	unknownOutcome := wants{{unknown, basilapi.CodeOutcomeUnknown, 1, 1}, {unknown, basilapi.CodeOutcomeUnknown, 3, 3}}
	unknownUnread := wants{{unknown, basilapi.CodeOutcomeUnknown, 1, 0}, {unknown, basilapi.CodeOutcomeUnknown, 3, 0}}
	refused := wants{{notRun, basilapi.CodeNoRunner, anyCount, anyCount}, {notRun, basilapi.CodeNoRunner, anyCount, anyCount}}
	failed := wants{{ran, basilapi.CodeJobFailed, 1, 1}, {ran, basilapi.CodeJobFailed, 2, 2}}
	rejected := wants{{ran, basilapi.CodeJobFailed, 1, 1}, {ran, basilapi.CodeJobFailed, 1, 1}}
	type script = func(net.Conn, func() string)
	response := func(text string) script { return respondWith("HTTP/1.1 " + text) }
	tests := []struct {
		name   string
		script script
		wants  wants
	}{
		{"whole answer", respondWith(successResponse), done},
		{"closed after the headers", func(c net.Conn, _ func() string) { _, _ = c.Read(make([]byte, 1)) }, unknownUnread},
		{"closed after the body", respondWith(""), unknownOutcome},
		{"truncated answer", response("200 OK\r\nContent-Length: 400\r\n\r\ndone"), unknownOutcome},
		{"no declared length", response("200 OK\r\n\r\ndone"), unknownOutcome},
		{"chunked answer", response("200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), unknownOutcome},
		{"oversized answer", response("200 OK\r\nContent-Length: 262145\r\n\r\n" + strings.Repeat("x", basilapi.MaxPayloadBytes+1)), unknownOutcome},
		{"typed refusal", response("503 Busy\r\nBasil-Not-Started: full\r\nContent-Length: 0\r\n\r\n"), refused},
		{"typed refusal in a cut answer", response("503 Busy\r\nBasil-Not-Started: full\r\nContent-Length: 9\r\n\r\n"), refused},
		{"refusal header on a 200", response("200 OK\r\nBasil-Not-Started: full\r\nContent-Length: 4\r\n\r\ndone"), unknownOutcome},
		{"503 without the refusal header", response("503 Busy\r\nContent-Length: 0\r\n\r\n"), unknownOutcome},
		{"500", response("500 Oops\r\nContent-Length: 0\r\n\r\n"), failed},
		{"truncated 500", response("500 Oops\r\nContent-Length: 7\r\n\r\nOo"), unknownOutcome},
		{"400", response("400 Bad\r\nContent-Length: 0\r\n\r\n"), rejected},
		{"redirect", response("307 Away\r\nLocation: http://127.0.0.1:1/v1/run\r\nContent-Length: 0\r\n\r\n"), unknownOutcome},
		{"answer to another job", response("200 OK\r\nBasil-Job: other\r\nContent-Length: 4\r\n\r\ndone"), unknownOutcome},
		{"refusal of another attempt", response("503 Busy\r\nBasil-Attempt: 7\r\nBasil-Not-Started: full\r\nContent-Length: 0\r\n\r\n"), unknownOutcome},
		{"no HTTP", respondWith("nonsense\r\n\r\n"), unknownOutcome},
	}
	for _, tt := range tests {
		for n, expected := range tt.wants {
			t.Run(tt.name+[]string{" once", " idempotent"}[n], func(t *testing.T) {
				f := newScriptedRunner(t, tt.script)
				d := newDispatcher(t, basilrouter.RouterOptions{}, f.address(), f.address(), f.address())
				r := d.Run(t.Context(), quoteRequest(n == 1))
				must.Eq(t, expected.outcome, r.Outcome, must.Sprint(r.Problem))
				if expected.attempts == anyCount {
					must.Between(t, 2, r.Attempt, 9)
					expected.attempts, expected.starts = r.Attempt, r.Attempt
				}
				must.Eq(t, expected.attempts, r.Attempt)
				must.Eq(t, expected.starts, len(f.received))
				if expected.code == none {
					must.Nil(t, r.Problem)
					must.Eq(t, "done", string(r.Answer))
					return
				}
				must.Eq(t, expected.code, r.Problem.Code)
				must.Eq(t, expected.outcome, r.Problem.Outcome)
				must.Eq(t, expected.code != basilapi.CodeJobFailed, r.Problem.RetryAfterMS > 0)
			})
		}
	}
}
