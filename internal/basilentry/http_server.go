package basilentry

import (
	"expvar"
	"net/http"
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits of the HTTP servers.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
)

// known serves a request whose caller is authenticated.
type known func(w http.ResponseWriter, r *http.Request, c caller)

// Handler returns what the entry host serves to callers and operators.
func (e *Entry) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/job-ids", e.authenticated(e.mint))
	m.HandleFunc("POST /v1/jobs", e.authenticated(e.submit))
	m.HandleFunc("GET /v1/jobs/{id}", e.authenticated(e.job))
	m.HandleFunc("DELETE /v1/jobs/{id}", e.authenticated(e.cancel))
	m.HandleFunc("POST /v1/query", e.authenticated(e.query))
	m.HandleFunc("POST /v1/command", e.authenticated(e.command))
	m.HandleFunc("GET /healthz", e.healthy)
	m.HandleFunc("GET /readyz", e.ready)
	return m
}

// MetricsHandler returns what the entry host serves at its metrics address.
func (e *Entry) MetricsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /debug/vars", expvar.Handler())
	m.HandleFunc("PUT /debug/log-level", e.setLogLevel)
	return m
}

func (e *Entry) authenticated(serve known) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := authenticate(e.control.View(), e.settings.PlainText(), r)
		if err != nil {
			writeError(w, err)
			return
		}
		serve(w, r, c)
	}
}

func (e *Entry) healthy(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() {
		writeError(w, refuse(basilapi.CodeStopping, "the entry host is stopping", "ask another entry host", retryStop))
		return
	}
	if err := e.control.Check(time.Now()); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout}
}
