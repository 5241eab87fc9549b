package basilrouter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

const (
	defaultMaxAttempts = 3
	defaultTimeout     = time.Minute
	maxRefusals        = 8 // of one job
	maxWholeFailures   = 2 // of one job on different backend servers
	retryBase          = 5 * time.Millisecond
	retryMax           = 250 * time.Millisecond
	askAgainAfter      = time.Second
)

// DispatcherOptions are the settings of a Dispatcher; the zero value works.
type DispatcherOptions struct {
	MaxAttempts int           // refused ones aside; 0 is the default
	Timeout     time.Duration // for requests without a deadline; 0 is the default
	RequireEcho bool          // answers must name their job and attempt
}

// Dispatcher sends jobs to backend servers and tells truthfully whether they were run.
type Dispatcher struct {
	router  *Router
	client  *http.Client
	options DispatcherOptions
}

// NewDispatcher returns a dispatcher that sends with the client, or with one of its own for nil.
//
// With a transport other than that of NewTransport, only a failed connect proves
// that a job was not started.
func NewDispatcher(r *Router, c *http.Client, o DispatcherOptions) *Dispatcher {
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if c == nil {
		c = &http.Client{Transport: NewTransport(r.options.EntryHosts)}
	}
	own := *c
	own.Timeout = 0
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Dispatcher{router: r, client: &own, options: o}
}

// Request is one job to run.
type Request struct {
	Job        string
	Service    string
	Payload    []byte
	Idempotent bool
	Deadline   time.Time
	Start      func(attempt int) bool // called just before each send; false cancels the job
	Allowed    func() error           // called before Start; an error forbids the send
	Lease      *Lease                 // taken for the first attempt, or nil; Run ends it
}

// Result is what became of a job.
type Result struct {
	Outcome basilapi.Outcome
	Attempt int    // whose answer it is, or the attempts made
	Answer  []byte // whole, when Outcome is OutcomeRan
	Problem *basilapi.Problem
}

// Run runs one job; each way it can end is a Result, never an error.
func (d *Dispatcher) Run(ctx context.Context, q Request) Result {
	if q.Deadline.IsZero() {
		q.Deadline = time.Now().Add(d.options.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	r := run{dispatcher: d, request: &q}
	for {
		if result, done := r.next(ctx); done {
			return result
		}
		if result, done := r.wait(ctx); done {
			return result
		}
	}
}

func runURL(address string) *url.URL {
	return &url.URL{Scheme: "http", Host: address, Path: basilapi.RunPath}
}

// jittered returns a random wait below a bound that doubles with each attempt.
func jittered(attempt int) time.Duration {
	return rand.N(min(retryBase<<min(attempt-1, 16), retryMax))
}
