package basilfleet_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
)

// kind names what an error says of the request's effect.
func kind(err error) string {
	switch {
	case err == nil:
		return "ok"
	case basilplatform.IsErrOutcomeUnknown(err):
		return "unknown"
	case basilplatform.IsErrUnavailable(err):
		return "unavailable"
	case basilplatform.IsErrRefused(err):
		return "refused"
	}
	return err.Error()
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func cut(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func cutWithin(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"state":"running"}`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// calls are all calls of the three ports; a query has no effect, so its outcome is never unknown.
func calls(address string) []struct {
	name  string
	query bool
	call  func(context.Context) error
} {
	tasks := basilfleet.NewTasks(nil)
	list := basilfleet.NewHostList("http://"+address, nil)
	control := basilfleet.NewHostControl("http://"+address, nil)
	return []struct {
		name  string
		query bool
		call  func(context.Context) error
	}{
		{"list", true, func(ctx context.Context) error {
			_, err := list.List(ctx)
			return err
		}},
		{"status", true, func(ctx context.Context) error {
			_, err := tasks.Status(ctx, address, "j", 1)
			return err
		}},
		{"drained", true, func(ctx context.Context) error {
			_, err := control.Drained(ctx, "h/1")
			return err
		}},
		{"rebooted", true, func(ctx context.Context) error {
			_, err := control.Rebooted(ctx, "h/1", 2)
			return err
		}},
		{"reboot", false, func(ctx context.Context) error { return control.Reboot(ctx, "h/1", 2) }},
		{"start", false, func(ctx context.Context) error { return tasks.Start(ctx, address, basilplatform.Task{Job: "j"}) }},
		{"renew", false, func(ctx context.Context) error { return tasks.Renew(ctx, address, "j", 1, time.Second) }},
		{"checkpoint", false, func(ctx context.Context) error { return tasks.Checkpoint(ctx, address, "j", 1) }},
		{"throttle", false, func(ctx context.Context) error { return tasks.Throttle(ctx, address, "j", 1, 0.5) }},
		{"stop", false, func(ctx context.Context) error {
			_, err := tasks.Stop(ctx, address, "j", 1)
			return err
		}},
	}
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		query   string
		command string
	}{
		{"cut before the answer", cut, "unavailable", "unknown"},
		{"cut within the answer", cutWithin, "unavailable", "unknown"},
		{"empty 200", answer(200, ""), "unavailable", "unknown"},
		{"page of a proxy as 200", answer(200, "<html>"), "unavailable", "unknown"},
		{"half an object", answer(200, `{"hosts":[`), "unavailable", "unknown"},
		{"two objects", answer(200, `{}{}`), "unavailable", "unknown"},
		{"202", answer(202, "{}"), "unavailable", "unknown"},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) }, "unavailable", "unknown"},
		{"404 of a proxy", answer(404, "<html>"), "unavailable", "unknown"},
		{"500 plain", answer(500, ""), "unavailable", "unknown"},
		{"503 plain", answer(503, ""), "unavailable", "unknown"},
		{"503 with an object of another kind", answer(503, `{"error":"x"}`), "unavailable", "unknown"},
		{"503 of an unheard-of kind", answer(503, `{"kind":"strange"}`), "unavailable", "unknown"},
		{"503 typed", answer(503, `{"kind":"unavailable","reason":"r","retry_after_ms":5}`), "unavailable", "unavailable"},
		{"409 typed", answer(409, `{"kind":"refused","reason":"r"}`), "refused", "refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var served atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost { // a transport may send a GET again
					served.Add(1)
				}
				tt.handler(w, r)
			}))
			defer s.Close()
			var commands int64
			for _, c := range calls(strings.TrimPrefix(s.URL, "http://")) {
				want := tt.command
				if c.query {
					want = tt.query
				} else {
					commands++
				}
				err := c.call(t.Context())
				must.EqOp(t, want, kind(err), must.Sprint(c.name, ": ", err))
			}
			must.EqOp(t, commands, served.Load()) // nothing is tried again
		})
	}
}

// An object without its main field is no empty list and no absent task.
func TestEmptyObject(t *testing.T) {
	s := httptest.NewServer(answer(200, "{}"))
	defer s.Close()
	want := map[string]string{"list": "unavailable", "status": "unavailable", "stop": "unknown"}
	for _, c := range calls(strings.TrimPrefix(s.URL, "http://")) {
		err := c.call(t.Context())
		if k, ok := want[c.name]; ok {
			must.EqOp(t, k, kind(err), must.Sprint(c.name))
			must.True(t, basilfleet.IsErrFieldMissing(err))
		} else {
			must.EqOp(t, "ok", kind(err), must.Sprint(c.name))
		}
	}
}

func TestNotSent(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(cut))
	address := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range calls(address) {
		must.EqOp(t, "unavailable", kind(c.call(t.Context())), must.Sprint(c.name, " refused"))
		must.EqOp(t, "unavailable", kind(c.call(gone)), must.Sprint(c.name, " caller left"))
	}
}
