package basilentry

import (
	"expvar"
	"net/http"
	"strings"
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

// endpoint is one method on one path.
type endpoint struct {
	method, path string
	serve        http.HandlerFunc
}

// Handler returns what the entry host serves to callers and, unless they have an address of their own, to operators.
func (e *Entry) Handler() http.Handler {
	all := append(e.healthEndpoints(),
		endpoint{http.MethodPost, "/v1/job-ids", e.authenticated(e.mint)},
		endpoint{http.MethodPost, "/v1/jobs", e.authenticated(e.submit)},
		endpoint{http.MethodGet, "/v1/jobs/{id}", e.authenticated(e.job)},
		endpoint{http.MethodDelete, "/v1/jobs/{id}", e.authenticated(e.cancel)},
	)
	if e.ownOperatorAddress() == "" {
		all = append(all, e.operatorEndpoints()...)
	}
	return newMux(all)
}

// OperatorHandler returns what the entry host serves at the operators' own address.
func (e *Entry) OperatorHandler() http.Handler {
	return newMux(append(e.healthEndpoints(), e.operatorEndpoints()...))
}

// ownOperatorAddress returns the address that only operators use, or "" when they share that of callers.
func (e *Entry) ownOperatorAddress() string {
	if a := e.settings.OperatorAddress(); a != e.settings.HTTPAddress() {
		return a
	}
	return ""
}

func (e *Entry) healthEndpoints() []endpoint {
	return []endpoint{{http.MethodGet, "/healthz", e.healthy}, {http.MethodGet, "/readyz", e.ready}}
}

func (e *Entry) operatorEndpoints() []endpoint {
	return []endpoint{
		{http.MethodPost, "/v1/query", e.authenticated(e.query)},
		{http.MethodPost, "/v1/command", e.authenticated(e.command)},
	}
}

// newMux serves the endpoints and answers all else with a Problem.
func newMux(endpoints []endpoint) http.Handler {
	m := http.NewServeMux()
	methods := make(map[string][]string) // by path
	for _, p := range endpoints {
		m.HandleFunc(p.method+" "+p.path, p.serve)
		methods[p.path] = append(methods[p.path], p.method)
	}
	for path, allowed := range methods {
		m.HandleFunc(path, wrongMethod(strings.Join(allowed, ", ")))
	}
	m.HandleFunc("/", unknownPath)
	return m
}

func wrongMethod(allowed string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", allowed)
		writeJSON(w, http.StatusMethodNotAllowed, basilapi.Problem{
			Code: basilapi.CodeMalformed, Outcome: basilapi.OutcomeNotRun,
			Message: "method " + r.Method + " is not served at this path", Hint: "use " + allowed,
		})
	}
}

func unknownPath(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusNotFound, basilapi.Problem{
		Code: basilapi.CodeMalformed, Outcome: basilapi.OutcomeNotRun,
		Message: "nothing is served at this path", Hint: "see docs/API.md; operators may have an address of their own",
	})
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
		c, err := authenticate(e.control.View().Configuration(), access{open: e.settings.PlainText(), bootstrapHash: e.settings.BootstrapHash()}, r)
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
